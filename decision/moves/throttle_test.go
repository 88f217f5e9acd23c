package moves

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/mesh"
)

var _ = Describe("the report throttle", func() {
	// A rule that only counts ticks would delay the report of a cut.
	It("sends a cut at once and other reports when they are due", func() {
		c := NewReportThrottle()
		var sent []uint64
		for i := uint64(1); i <= 9; i++ {
			routes := []mesh.Comparison{{Route: "r", New: mesh.Tally{Calls: uint32(i)}}}
			if c.ShouldSend(&mesh.Evidence{Move: "m", Sequence: i, Cut: i >= 6, Routes: routes}, 4) {
				sent = append(sent, i)
			}
		}
		Expect(sent).To(Equal([]uint64{1, 5, 6}))
	})

	// Receivers take a report after a longer gap as a new baseline.
	It("never leaves a gap that makes receivers take a new baseline", func() {
		c := NewReportThrottle()
		Expect(c.ShouldSend(&mesh.Evidence{Move: "m", Sequence: 1}, 1000)).To(BeTrue())
		Expect(c.ShouldSend(&mesh.Evidence{Move: "m", Sequence: 1 + maxReportGap}, 1000)).To(BeTrue())
	})

	// A move without calls cost a node 22.6 KB/s on its links with 12 nodes and
	// 87.7 KB/s with 150, because each node repeated the same report every
	// second.
	It("sends a report without new calls only to keep the baseline", func() {
		c := NewReportThrottle()
		var sent []uint64
		for i := uint64(1); i <= 21; i++ {
			if c.ShouldSend(&mesh.Evidence{Move: "m", Sequence: i}, 1) {
				sent = append(sent, i)
			}
		}
		Expect(sent).To(Equal([]uint64{1, 11, 21}))
	})

	DescribeTable("stays within the budget",
		func(nodes, routes, budget, ticks int) { Expect(TicksPerReport(nodes, routes, budget)).To(Equal(ticks)) },
		Entry("two nodes", 2, 1, 8000, 1),
		Entry("a small service", 12, 6, 8000, 13),
		Entry("a large mesh", 1200, 6, 8000, 1242),
	)
})
