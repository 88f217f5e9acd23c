package replica

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/mesh"
)

var _ = Describe("the node that another one follows", func() {
	now := time.Unix(1000, 0)
	member := func(node, zone string, incarnation mesh.Incarnation) mesh.Member {
		return mesh.Member{Node: mesh.NodeID(node), Zone: mesh.Zone(zone), Incarnation: incarnation}
	}
	view := &mesh.View{Self: "a", Members: []mesh.Member{member("a", "z", 1), member("b", "z", 1), member("c", "z", 1), member("e", "z", 1), member("d", "y", 1)}}

	zone := func(name string) (ranked []*mesh.Member) {
		return view.RankByHash("", func(m *mesh.Member) bool { return string(m.Zone) == name })
	}
	source := func(self *mesh.Member, p *PeerBackoff) SourceChoice {
		return Source(view, mesh.Identity{Node: self.Node, Zone: self.Zone}, p, now)
	}

	It("is the first of its zone, which reads the store", func() {
		order := zone("z")
		Expect(source(order[0], NewPeerBackoff())).To(Equal(SourceChoice{ReadStore: true}))
		for _, m := range order[1:] {
			Expect(source(m, NewPeerBackoff())).To(Equal(SourceChoice{Peer: order[0]}))
		}
	})

	It("is the next one when the first does not respond or has lost the store", func() {
		order, p := zone("z"), NewPeerBackoff()
		p.RecordNoResponse(order[0], now)
		p.RecordStoreLost(order[1], now)
		Expect(source(order[1], p)).To(Equal(SourceChoice{ReadStore: true}))
		Expect(source(order[3], p)).To(Equal(SourceChoice{Peer: order[2]}))
	})

	It("is the store when no other node responds", func() {
		p := NewPeerBackoff()
		for i := range view.Members {
			p.RecordNoResponse(&view.Members[i], now)
		}
		for _, m := range zone("z") {
			Expect(source(m, p)).To(Equal(SourceChoice{ReadStore: true}))
		}
	})

	// Guards against all nodes of a zone sending requests to a store that is down:
	// these were half of the calls on a day with an outage.
	It("is in another zone, or missing, when the first nodes of the zone have lost the store", func() {
		order, p := zone("z"), NewPeerBackoff()
		for _, m := range order[:storeLostThreshold] {
			p.RecordStoreLost(m, now)
		}
		last := order[len(order)-1]
		other := zone("y")[0]
		Expect(source(last, p)).To(Equal(SourceChoice{Peer: other}))
		p.RecordStoreLost(other, now)
		Expect(source(last, p)).To(Equal(SourceChoice{}))
		Expect(source(order[1], p)).To(Equal(SourceChoice{ReadStore: true}), "the first nodes continue to read the store")
	})

	// Guards against the row of a removed machine that is first in the order: its zone
	// received changes up to 1.4 s late, every 3 s.
	It("is skipped longer after each request without a response", func() {
		p, absent := NewPeerBackoff(), member("b", "z", 1)
		p.RecordNoResponse(&absent, now)
		Expect(p.Unresponsive(&absent, now.Add(2*time.Second))).To(BeTrue())
		Expect(p.Unresponsive(&absent, now.Add(4*time.Second))).To(BeFalse())
		for range 20 {
			p.RecordNoResponse(&absent, now)
		}
		Expect(p.Unresponsive(&absent, now.Add(40*time.Second))).To(BeTrue())
		Expect(p.Unresponsive(&absent, now.Add(50*time.Second))).To(BeFalse())
	})

	It("is tried immediately after its restart, and its backoff is reset by a response", func() {
		p, m := NewPeerBackoff(), member("b", "z", 1)
		p.RecordNoResponse(&m, now)
		next := member("b", "z", 2)
		Expect(p.Unresponsive(&next, now)).To(BeFalse())
		p.RecordNoResponse(&m, now)
		p.RecordConnected(&m)
		p.RecordNoResponse(&m, now)
		Expect(p.Unresponsive(&m, now.Add(4*time.Second))).To(BeFalse())
	})
})
