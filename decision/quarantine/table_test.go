package quarantine

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/mesh"
)

var start = time.Unix(1000, 0)

// crashOf builds a crash of a process that is the only one on its node.
func crashOf(process string, prints ...uint64) *mesh.Crash {
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

	DescribeTable("quarantine after crashes",
		func(reports []*mesh.Crash, want []uint64) {
			for _, c := range reports {
				t.Report(c, start)
			}
			Expect(blocked(start, 1, 2, 3, 4, 5)).To(ConsistOf(want))
		},
		Entry("none after one crash", []*mesh.Crash{crashOf("p", 1)}, nil),
		Entry("only the request in both crashes", []*mesh.Crash{crashOf("p", 1, 2, 3), crashOf("q", 4, 1, 5)}, []uint64{1}),
		Entry("two reports of one crash", []*mesh.Crash{crashOf("p", 1), crashOf("p", 1)}, nil),
		Entry("two crashes on one node after a restart", []*mesh.Crash{
			crashOf("p", 1), {Service: "stock", Node: "np", Process: "p2", Fingerprints: []uint64{1}},
		}, []uint64{1}),
		Entry("crashes of different services", []*mesh.Crash{
			crashOf("p", 1), {Service: "billing", Node: "x", Process: "b", Fingerprints: []uint64{1}},
		}, nil),
		Entry("two requests that crash independently", []*mesh.Crash{crashOf("p", 1), crashOf("q", 2), crashOf("r", 1, 2)}, []uint64{1, 2}),
	)

	It("does not quarantine a popular request that completed on this node", func() {
		t.Report(crashOf("p", 1, 2), start)
		t.RecordCompletion("stock", 2, start)
		_, quarantined := t.Report(crashOf("q", 1, 2), start)
		Expect(quarantined).To(ConsistOf(uint64(1)))
		Expect(blocked(start, 1, 2)).To(ConsistOf(uint64(1)))
	})

	It("ends after the span, when old crashes no longer count", func() {
		t.Report(crashOf("p", 1), start)
		t.Report(crashOf("q", 1), start.Add(time.Minute))
		Expect(blocked(start.Add(11*time.Minute-1), 1)).To(HaveLen(1))
		Expect(blocked(start.Add(11*time.Minute), 1)).To(BeEmpty())
		t.Report(crashOf("r", 1), start.Add(12*time.Minute))
		Expect(blocked(start.Add(12*time.Minute), 1)).To(BeEmpty())
		t.Expire(start.Add(time.Hour))
		Expect([]int{t.Len(), len(t.crashes), len(t.reported)}).To(Equal([]int{0, 0, 0}))
	})

	It("bounds its memory and still detects duplicate reports after many crashes", func() {
		p := Params{Span: time.Minute, MaxCrashes: 3, MaxPerCrash: 4, MaxBlocked: 2, MaxHarmless: 5, MaxKnownReports: 50}
		t = New(p)
		for i := range 200 {
			t.Report(crashOf(fmt.Sprint(i), 1, 2, 3, 4, 5, 6), start)
			t.RecordCompletion("stock", uint64(100+i), start)
		}
		isNew, _ := t.Report(crashOf("0", 1), start)
		Expect(isNew).To(BeFalse())
		Expect([]int{t.Len(), len(t.crashes), len(t.reported), len(t.harmless), len(t.harmlessOrder)}).To(Equal([]int{2, 3, 50, 5, 5}))
	})
})
