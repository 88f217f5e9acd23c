package replica

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/mesh"
)

var _ = Describe("the node that another one follows", func() {
	now := time.Unix(1000, 0)
	member := func(node, zone string, life mesh.Incarnation) mesh.Member {
		return mesh.Member{Node: mesh.NodeID(node), Zone: mesh.Zone(zone), Incarnation: life}
	}
	view := &mesh.View{Self: "a", Members: []mesh.Member{member("a", "z", 1), member("b", "z", 1), member("c", "z", 1), member("e", "z", 1), member("d", "y", 1)}}

	zone := func(name string) (ranked []*mesh.Member) {
		return view.Ranked("", func(m *mesh.Member) bool { return string(m.Zone) == name })
	}
	source := func(self *mesh.Member, p *Passed) Choice {
		return Source(view, mesh.Identity{Node: self.Node, Zone: self.Zone}, p, now)
	}

	It("is the first of its zone, which follows the store itself", func() {
		order := zone("z")
		Expect(source(order[0], NewPassed())).To(Equal(Choice{Reads: true}))
		for _, m := range order[1:] {
			Expect(source(m, NewPassed())).To(Equal(Choice{From: order[0]}))
		}
	})

	It("is the next one when the first is silent or has lost the store", func() {
		order, p := zone("z"), NewPassed()
		p.NoteSilent(order[0], now)
		p.NoteLost(order[1], now)
		Expect(source(order[1], p)).To(Equal(Choice{Reads: true}))
		Expect(source(order[3], p)).To(Equal(Choice{From: order[2]}))
	})

	It("is the store when all others are silent", func() {
		p := NewPassed()
		for i := range view.Members {
			p.NoteSilent(&view.Members[i], now)
		}
		for _, m := range zone("z") {
			Expect(source(m, p)).To(Equal(Choice{Reads: true}))
		}
	})

	// All nodes of a zone asked a store that was down: half of the calls of such a day.
	It("is in another zone, or nobody, when the first of the zone have lost the store", func() {
		order, p := zone("z"), NewPassed()
		for _, m := range order[:mostLost] {
			p.NoteLost(m, now)
		}
		last := order[len(order)-1]
		other := zone("y")[0]
		Expect(source(last, p)).To(Equal(Choice{From: other}))
		p.NoteLost(other, now)
		Expect(source(last, p)).To(Equal(Choice{}))
		Expect(source(order[1], p)).To(Equal(Choice{Reads: true}), "the first ones go on asking the store")
	})

	// The row of a machine that was gone for good stood first; its zone learned of
	// changes up to 1.4 s late, every 3 s.
	It("is passed over longer each time that it does not answer", func() {
		p, gone := NewPassed(), member("b", "z", 1)
		p.NoteSilent(&gone, now)
		Expect(p.Silent(&gone, now.Add(2*time.Second))).To(BeTrue())
		Expect(p.Silent(&gone, now.Add(4*time.Second))).To(BeFalse())
		for range 20 {
			p.NoteSilent(&gone, now)
		}
		Expect(p.Silent(&gone, now.Add(40*time.Second))).To(BeTrue())
		Expect(p.Silent(&gone, now.Add(50*time.Second))).To(BeFalse())
	})

	It("is asked at once when it has started again, and first passed over briefly after an answer", func() {
		p, m := NewPassed(), member("b", "z", 1)
		p.NoteSilent(&m, now)
		next := member("b", "z", 2)
		Expect(p.Silent(&next, now)).To(BeFalse())
		p.NoteSilent(&m, now)
		p.NoteCurrent(&m)
		p.NoteSilent(&m, now)
		Expect(p.Silent(&m, now.Add(4*time.Second))).To(BeFalse())
	})
})
