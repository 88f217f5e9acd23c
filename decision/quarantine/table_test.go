package quarantine

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/mesh"
)

var start = time.Unix(1000, 0)

// of builds a crash of a process that is alone on its node.
func of(process string, prints ...uint64) *mesh.Crash {
	return &mesh.Crash{Service: "stock", Node: mesh.NodeID("n" + process), Process: process, Fingerprints: prints}
}

var _ = Describe("Table", func() {
	var t *Table
	BeforeEach(func() { t = New(DefaultParams()) })
	blocked := func(now time.Time, prints ...uint64) (found []uint64) {
		for _, p := range prints {
			if t.Blocked("stock", p, now) {
				found = append(found, p)
			}
		}
		return found
	}

	DescribeTable("crashes that quarantine",
		func(reports []*mesh.Crash, want []uint64) {
			for _, c := range reports {
				t.Report(c, start)
			}
			Expect(blocked(start, 1, 2, 3, 4, 5)).To(ConsistOf(want))
		},
		Entry("one crash blames nobody", []*mesh.Crash{of("p", 1)}, nil),
		Entry("the request in both crashes, not its neighbours", []*mesh.Crash{of("p", 1, 2, 3), of("q", 4, 1, 5)}, []uint64{1}),
		Entry("two reports of one crash", []*mesh.Crash{of("p", 1), of("p", 1)}, nil),
		Entry("two crashes on one node after a restart", []*mesh.Crash{
			of("p", 1), {Service: "stock", Node: "np", Process: "p2", Fingerprints: []uint64{1}},
		}, []uint64{1}),
		Entry("crashes of different services", []*mesh.Crash{
			of("p", 1), {Service: "billing", Node: "x", Process: "b", Fingerprints: []uint64{1}},
		}, nil),
		Entry("two independent culprits", []*mesh.Crash{of("p", 1), of("q", 2), of("r", 1, 2)}, []uint64{1, 2}),
	)

	It("does not blame a popular request that this node saw end normally", func() {
		t.Report(of("p", 1, 2), start)
		t.Completed("stock", 2, start)
		_, quarantined := t.Report(of("q", 1, 2), start)
		Expect(quarantined).To(ConsistOf(uint64(1)))
		Expect(blocked(start, 1, 2)).To(ConsistOf(uint64(1)))
	})

	It("ends by itself after the span, and old crashes no longer count", func() {
		t.Report(of("p", 1), start)
		t.Report(of("q", 1), start.Add(time.Minute))
		Expect(blocked(start.Add(11*time.Minute-1), 1)).To(HaveLen(1))
		Expect(blocked(start.Add(11*time.Minute), 1)).To(BeEmpty())
		t.Report(of("r", 1), start.Add(12*time.Minute))
		Expect(blocked(start.Add(12*time.Minute), 1)).To(BeEmpty())
		t.Expire(start.Add(time.Hour))
		Expect([]int{t.Len(), len(t.crashes), len(t.seen)}).To(Equal([]int{0, 0, 0}))
	})

	It("bounds its memory and does not take old reports for new ones when thousands crash", func() {
		p := Params{Span: time.Minute, MaxCrashes: 3, MaxPerCrash: 4, MaxBlocked: 2, MaxHarmless: 5, MaxSeen: 50}
		t = New(p)
		for i := range 200 {
			t.Report(of(fmt.Sprint(i), 1, 2, 3, 4, 5, 6), start)
			t.Completed("stock", uint64(100+i), start)
		}
		isNew, _ := t.Report(of("0", 1), start)
		Expect(isNew).To(BeFalse())
		Expect([]int{t.Len(), len(t.crashes), len(t.seen), len(t.harmless), len(t.order)}).To(Equal([]int{2, 3, 50, 5, 5}))
	})
})
