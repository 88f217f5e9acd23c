package quota

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/mesh"
)

// onlyNode is a granting node with one asking node, which delegates all shares.
type onlyNode struct {
	grantor *Grantor
	now     time.Time
	limit   Limit
	last    Stamp
	seq     uint64
}

func newOnlyNode(l Limit) *onlyNode {
	now := time.Unix(1000, 0)
	o := &onlyNode{grantor: NewGrantor(testSettings, 7, now), now: now, limit: l}
	o.ask(Demand{}, 0) // for a stamp
	return o
}

func (o *onlyNode) limits(mesh.AccountName) (Limit, bool) { return o.limit, true }

// message returns an ask with the newest stamp.
func (o *onlyNode) message(d Demand, delegated uint32) *Ask {
	o.seq++
	d.Account = "a"
	return &Ask{Node: "n", Boot: 1, Seq: o.seq, Nodes: 1, Echo: o.last, Delegated: delegated, Demands: []Demand{d}}
}

func (o *onlyNode) ask(d Demand, delegated uint32) Grant {
	GinkgoHelper()
	answer, ok := o.grantor.Answer(o.now, o.message(d, delegated), 1, o.limits)
	Expect(ok).To(BeTrue())
	o.last = answer.Stamp
	return answer.Grants[0]
}

// wait renews the delegations for a time.
func (o *onlyNode) wait(d time.Duration) {
	for end := o.now.Add(d); o.now.Before(end); o.ask(Demand{}, all) {
		o.now = o.now.Add(min(500*time.Millisecond, end.Sub(o.now)))
	}
}

const all = 1<<Shards - 1

var _ = Describe("a granting node", func() {
	const rate, burst = 10, 100
	allowance := testSettings.allowance(Limit{rate, burst})

	It("begins with an empty bucket, and holds the burst only when credit of another node has expired", func() {
		o := newOnlyNode(Limit{rate, burst})
		Expect(o.ask(Demand{Waiting: 1000}, all).Granted).To(BeZero())
		o.wait(2 * time.Second)
		Expect(o.ask(Demand{Waiting: 1000}, all).Granted).To(BeNumerically("~", startShare*allowance, 1))
		o.wait(30 * time.Second)
		Expect(o.ask(Demand{Waiting: 1000}, all).Granted).To(BeNumerically("~", burst+extraBurstShare*allowance, 1))
	})

	It("counts unused credits of nodes as part of the bucket", func() {
		o := newOnlyNode(Limit{rate, burst})
		o.wait(30 * time.Second)
		full := burst + extraBurstShare*allowance
		extra := o.ask(Demand{Want: 20}, all).Extra
		Expect(extra).To(Equal(20))
		for range 20 {
			o.now = o.now.Add(500 * time.Millisecond)
			o.ask(Demand{Held: extra}, all)
		}
		Expect(o.ask(Demand{Held: extra, Waiting: 1000}, all).Granted).To(BeNumerically("~", full-float64(extra), 1))
	})

	It("has no credit when the delegation has ended or was taken back", func() {
		o := newOnlyNode(Limit{rate, burst})
		o.wait(30 * time.Second)
		o.now = o.now.Add(renewalsPerTerm * renewal(1))
		Expect(o.ask(Demand{Waiting: 1000}, 0).Granted).To(BeZero())
		o.wait(30 * time.Second)
		o.ask(Demand{}, 0)
		Expect(o.ask(Demand{Waiting: 1000}, 0).Granted).To(BeZero())
	})

	// An ask may arrive long after its sender has delegated the shares to another node.
	It("takes a delegation from the stamp of the ask, not from its arrival", func() {
		o := newOnlyNode(Limit{rate, burst})
		o.wait(time.Second)
		late := o.message(Demand{Waiting: 1000}, all)
		o.now = o.now.Add(time.Minute)
		_, ok := o.grantor.Answer(o.now, late, 1, o.limits)
		Expect(ok).To(BeTrue())
		o.now = o.now.Add(time.Second)
		other := o.message(Demand{Waiting: 1000}, 0)
		other.Node = "other"
		answer, ok := o.grantor.Answer(o.now, other, 1, o.limits)
		Expect(ok).To(BeTrue())
		Expect(answer.Grants[0].Granted).To(BeZero())
	})

	It("ignores an ask that a newer one of the node has overtaken", func() {
		o := newOnlyNode(Limit{rate, burst})
		late := o.message(Demand{}, all)
		o.ask(Demand{}, 0)
		_, ok := o.grantor.Answer(o.now, late, 1, o.limits)
		Expect(ok).To(BeFalse())
	})
})

// Guards against credit that moves from one window into another at the node.
var _ = Describe("the credit of a request that did not run", func() {
	It("goes back to the granting node, and not to the next request", func() {
		now := time.Unix(1000, 0)
		h := NewHolder(Settings{Window: 5 * time.Second}, "n", 1, now, false)
		h.SetNodes([]mesh.NodeID{"n"}, true)
		h.SetLimits(map[mesh.AccountName]Limit{"a": {1, 1}})
		Expect(h.Take(now, "a")).To(Equal(Waiting))
		out := h.Asks(now)
		Expect(out).To(HaveLen(1))
		h.Answered(now, &out[0], &Answer{Term: time.Second, Grants: []Grant{{Account: "a", Granted: 1}}})
		h.Return("a")
		Expect(h.Take(now, "a")).To(Equal(Waiting))
		now = now.Add(askGap)
		Expect(h.Asks(now)[0].Ask.Demands[0].Returned).To(Equal(1))
	})
})
