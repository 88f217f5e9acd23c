package rollout

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/mesh"
)

// Guards against a move that runs again after the store came back from a copy, since its
// order has another revision then.
var _ = Describe("the order of a move, after the store came back from a copy", func() {
	first := mesh.Order{Service: "s", Target: "v2", Duration: 12 * time.Second, Revision: mesh.Stamp(1, 40), Row: mesh.Stamp(1, 40)}
	ended := mesh.Rollout{Service: "s", Order: first.Revision, New: "v2", Phase: mesh.MoveDone}
	row := func(revision uint64, change func(o *mesh.Order)) mesh.Order {
		o := first
		o.Revision, o.Row = revision, revision
		if change != nil {
			change(&o)
		}
		return o
	}

	DescribeTable("is the known one or another",
		func(next mesh.Order, continued bool) { Expect(first.ContinuedBy(&next)).To(Equal(continued)) },
		Entry("as in the copy", row(mesh.Stamp(2, 40), nil), true),
		Entry("written again", row(mesh.Stamp(2, 31), nil), true),
		Entry("given again in the same era", row(mesh.Stamp(1, 50), nil), false),
		Entry("for another target", row(mesh.Stamp(2, 31), func(o *mesh.Order) { o.Target = "v3" }), false),
		Entry("with another duration", row(mesh.Stamp(2, 31), func(o *mesh.Order) { o.Duration = time.Minute }), false),
	)

	DescribeTable("is answered by the rollout at a node that started since",
		func(o mesh.Order, r mesh.Rollout, answered bool) { Expect(Answered(&r, &o)).To(Equal(answered)) },
		Entry("with the order in the copy", row(mesh.Stamp(2, 40), nil), ended, true),
		Entry("with the order written again and recorded", row(mesh.Stamp(2, 31), nil), recorded(ended, mesh.Stamp(2, 31)), true),
		Entry("with the recorded order in a second copy", row(mesh.Stamp(3, 31), nil), recorded(ended, mesh.Stamp(2, 31)), true),
		Entry("with the order written again and not yet recorded", row(mesh.Stamp(2, 31), nil), ended, false),
		Entry("with a later order", row(mesh.Stamp(1, 41), nil), ended, false),
		Entry("with an earlier order", row(mesh.Stamp(1, 39), nil), ended, true),
		Entry("without a rollout", row(mesh.Stamp(2, 40), nil), mesh.Rollout{}, false),
	)

	It("is recorded once if it was written again", func() {
		again := first
		again.Row = mesh.Stamp(2, 31)
		Expect(RowToRecord(&ended, &again)).To(Equal(again.Row))
		named := recorded(ended, again.Row)
		Expect(RowToRecord(&named, &again)).To(BeZero())
		inCopy := first
		inCopy.Row = mesh.Stamp(2, 40)
		Expect(RowToRecord(&ended, &inCopy)).To(BeZero(), "it has the version that the rollout names")
	})

	It("waits for nodes that know its end only where it was found at the start in a later era", func() {
		o := row(mesh.Stamp(2, 31), func(o *mesh.Order) { o.Found, o.FirstSeen = true, time.Minute })
		Expect(AwaitsRewrite(&o, time.Minute)).To(BeTrue())
		Expect(AwaitsRewrite(&o, time.Minute+rewriteWait)).To(BeFalse())
		arrived := o
		arrived.Found = false
		Expect(AwaitsRewrite(&arrived, time.Minute)).To(BeFalse())
		firstEraOrder := row(mesh.Stamp(1, 31), func(o *mesh.Order) { o.Found, o.FirstSeen = true, time.Minute })
		Expect(AwaitsRewrite(&firstEraOrder, time.Minute)).To(BeFalse())
	})
})

func recorded(r mesh.Rollout, row uint64) mesh.Rollout {
	r.OrderRow = row
	return r
}
