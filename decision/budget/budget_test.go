package budget

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestBudget(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "budget")
}

var _ = Describe("the plan", func() {
	// Guards against shares that together exceed the limits of an instance.
	DescribeTable("stays within the limits of the process", func(megabytes int64, descriptors, clients int) {
		p := NewPlan(Limits{MemoryBytes: megabytes << 20, FileDescriptors: descriptors})
		connections, bytes := 0, int64(0)
		for _, s := range p.Shares {
			connections += s.Connections
			bytes += s.Bytes + int64(s.Connections)*connectionBytes
			Expect(s.Reserved).To(BeNumerically(">", 2*SmallBytes), "room for ordinary requests")
		}
		Expect(connections).To(BeNumerically("<", descriptors*4/5), "descriptors for outgoing connections")
		Expect(bytes).To(BeNumerically("<", (megabytes<<20)-min(baseBytes, megabytes<<19)))
		Expect(p.Shares[Outbound].Connections).To(Equal(clients))
		Expect(p.Shares[Outbound].Bytes).To(BeNumerically(">", 4<<20), "a body and a response that are held")
	},
		Entry("184 MB", int64(184), 4100, 1349),
		Entry("284 MB", int64(284), 4100, 1640),
		Entry("536 MB", int64(536), 8192, 3276),
	)

	It("limits nothing that is unknown, except the clients' connections", func() {
		p := NewPlan(Limits{})
		Expect(p.RuntimeBytes).To(BeZero())
		Expect(p.Shares[Outbound].Connections).To(Equal(unlimitedOutbound))
		Expect(p.Shares[Inbound].Fits(1<<40, 1<<40, 1<<40)).To(BeTrue())
	})
})

// Pattern: a burst of clients takes the whole share.
var _ = Describe("a share that is used up", func() {
	share := Share{Bytes: 10 << 20, Reserved: 1 << 20}
	It("keeps its reserved part for small requests", func() {
		Expect(share.Fits(9<<20, 0, SmallBytes)).To(BeTrue())
		Expect(share.Fits(9<<20, SmallBytes, 1)).To(BeFalse())
		Expect(share.Fits(10<<20, 0, 1)).To(BeFalse())
	})
})

var _ = Describe("the connection to close", func() {
	waited := func(moved int64, d time.Duration) Progress { return Progress{Moved: moved, Waited: d} }
	silent := Usage{Quiet: time.Second}
	idle := Usage{Quiet: time.Minute, Proven: true}
	slowBody := Usage{InBody: true, Held: 1 << 20, Receive: waited(1000, time.Second)}
	fastBody := Usage{InBody: true, Held: 1 << 20, Receive: waited(1<<20, time.Second)}
	unread := Usage{Calls: 1, Held: 2 << 20, Send: waited(0, time.Second), Proven: true}
	busy := Usage{Calls: 1, Held: 4 << 20, Quiet: time.Minute, Proven: true}
	fresh := Usage{Quiet: time.Millisecond}

	DescribeTable("is the one that is missed least", func(bytes bool, want int, all ...Usage) {
		Expect(Victim(all, bytes)).To(Equal(want))
	},
		Entry("one without a request before slow ones", false, 2, slowBody, idle, silent),
		Entry("a slow one before an idle one", false, 1, idle, slowBody, busy),
		Entry("the slow one that holds most", true, 1, slowBody, unread, busy),
		Entry("one that holds bytes, for bytes", true, 1, silent, slowBody),
		Entry("none that makes progress, works or is new", false, -1, fastBody, busy, fresh),
	)

	// Guards against cutting off an upload on a slow link, as long as it keeps sending.
	It("is too slow only below the minimum rate over a whole window", func() {
		Expect(waited(2_000*10, RateWindow).TooSlow()).To(BeFalse())
		Expect(waited(50, RateWindow).TooSlow()).To(BeTrue())
		Expect(waited(0, RateWindow-1).TooSlow()).To(BeFalse())
	})

	// Guards against short fields that take far more memory than their bytes.
	It("charges a head by its fields", func() {
		Expect(HeadCost([]byte("a:\r\nb:\r\n"))).To(BeNumerically(">", 400))
	})
})
