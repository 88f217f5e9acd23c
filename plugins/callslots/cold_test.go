package callslots

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/result"
)

// Cold servers got all calls that fitted into their slots, and crashed: 276 times in 30 s
// after a power loss.
var _ = Describe("a cold upstream", func() {
	var (
		n     *node
		calls int
	)
	announce := func(heardAt, coldUntil time.Time) {
		n.local.Store(&port.Local{
			Endpoint: mesh.Endpoint{Service: "stock", Version: "v1", Slots: 100, State: mesh.EndpointReady, Process: "p1"},
			Address:  netip.MustParseAddrPort("127.0.0.1:9000"), HeardAt: heardAt, ColdUntil: coldUntil,
		})
	}
	configure := func(coldRate float64) {
		n.snapshot.Store(&mesh.Snapshot{Services: map[mesh.ServiceID]mesh.Service{"stock": {Slots: 100, Queue: 100, ColdRate: coldRate}}})
	}
	// admit sends calls one after the other and returns how many were admitted.
	admit := func(offered int) (admitted int) {
		for range offered {
			calls++
			_, err := kernel.Do(context.Background(), n.Admits, admitOf(mesh.AttemptID(fmt.Sprint(calls))))
			if err == nil {
				admitted++
				continue
			}
			Expect(result.Of(err)).To(Equal(result.QueueFull))
		}
		return admitted
	}
	hour := time.Now().Add(time.Hour)
	// The rate is so low that only the burst of 2 starts during a spec.
	const rate = 0.001
	BeforeEach(func() {
		n = startNode("10s")
		configure(rate)
		announce(time.Now(), hour)
	})

	It("gets no more calls than it tolerates, and reports a lower limit", func() {
		Expect(admit(50)).To(Equal(2))
		Expect(n.Load.Load().Limit).To(Equal(1))
		Expect(n.Load.Load().Queued).To(BeZero(), "calls that can't start in time are refused at once")
	})

	It("gets all calls once it is warm", func() {
		Expect(admit(50)).To(Equal(2))
		announce(time.Now(), time.Time{})
		Expect(admit(50)).To(Equal(50))
		Expect(n.Load.Load().Limit).To(Equal(100))
	})

	It("is one that was not heard since the start of the node", func() {
		announce(time.Time{}, time.Time{})
		Expect(admit(50)).To(Equal(2))
	})

	DescribeTable("is one that may have restarted", func(event func()) {
		announce(time.Now(), time.Time{})
		Expect(admit(1)).To(Equal(1))
		event()
		Expect(admit(50)).To(BeNumerically("<=", 2))
		announce(time.Now(), time.Time{})
		Expect(admit(50)).To(Equal(50), "it was heard since")
	},
		Entry("since it refused a connection", func() {
			Expect(n.Releases.Send(context.Background(), port.SlotRelease{Attempt: mesh.AttemptID(fmt.Sprint(calls)), Unreachable: true})).To(Succeed())
			Eventually(n.Load.Load).Should(HaveValue(HaveField("InFlight", 0)))
		}),
		Entry("since its connections broke", func() {
			Expect(n.Releases.Send(context.Background(), port.SlotRelease{Attempt: mesh.AttemptID(fmt.Sprint(calls)), ConnectionLost: true})).To(Succeed())
			Eventually(n.Load.Load).Should(HaveValue(HaveField("InFlight", 0)))
		}),
		Entry("during an evacuation of its zone", func() {
			n.zones.Store(&port.Evacuations{Zones: []mesh.Zone{"z"}})
			time.Sleep(2 * localPollInterval)
			n.zones.Store(&port.Evacuations{})
		}),
	)

	// After a power loss other nodes may have the configuration first.
	It("gets nothing before the node knows what it tolerates", func() {
		n = startNode("10s")
		n.snapshot.Store(nil)
		announce(time.Now(), hour)
		_, err := kernel.Do(context.Background(), n.Admits, admitOf("1"))
		Expect(result.Of(err)).To(Equal(result.Draining))
		configure(rate)
		Expect(admit(50)).To(Equal(2))
	})

	It("has no bound where the service has no cold rate", func() {
		configure(0)
		Expect(admit(50)).To(Equal(50))
		Expect(n.Load.Load().Limit).To(Equal(100))
	})
})
