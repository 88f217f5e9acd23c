package replica

import (
	"fmt"
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
	// source returns the choice of a node whose probes are all answered by nodes that are
	// connected to the store.
	source := func(self *mesh.Member, p *PeerBackoff) SourceChoice {
		GinkgoHelper()
		var current CurrentSource
		for range view.Members {
			choice := Source(view, mesh.Identity{Node: self.Node, Zone: self.Zone}, current, p, now)
			if choice.Probe == nil {
				return choice
			}
			current = CurrentSource{Peer: choice.Probe.Node}
		}
		Fail("the choice does not settle")
		return SourceChoice{}
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

// follower is a node of a zone some of whose machines are lost for good at the time 0,
// without a trace: their rows stay and their addresses don't respond. All other nodes are
// connected to the store.
type follower struct {
	view    *mesh.View
	self    mesh.Identity
	lost    map[mesh.NodeID]bool
	backoff *PeerBackoff
	current CurrentSource
	now     time.Time
	probe   *mesh.Member // that has no response yet
	probed  time.Time    // when it gets one, or the node gives up
	sourced time.Time    // when the node last had a source

	longestGap time.Duration // without a source
	reads      time.Duration // from the store
}

const (
	// detectionTime is the time until a request to a followed node that was lost ends.
	detectionTime = 1400 * time.Millisecond
	// connectTime is the time until a connection to a lost machine is given up.
	connectTime = 250 * time.Millisecond
	step        = 50 * time.Millisecond
)

func (f *follower) advance() {
	f.now = f.now.Add(step)
	if f.probe != nil && !f.now.Before(f.probed) {
		if f.lost[f.probe.Node] {
			f.backoff.RecordNoResponse(f.probe, f.now)
			f.current.Failures++
		} else {
			f.backoff.RecordConnected(f.probe)
			f.current.Peer = f.probe.Node
		}
		f.probe = nil
	}
	choice := Source(f.view, f.self, f.current, f.backoff, f.now)
	f.current.Apply(choice)
	if choice.Probe != nil && f.probe == nil {
		f.probe, f.probed = choice.Probe, f.now.Add(step)
		if f.lost[f.probe.Node] {
			f.probed = f.now.Add(connectTime)
		}
	}
	if f.current.Store {
		f.reads += step
	}
	if f.current.Store || (f.current.Peer != "" && !f.lost[f.current.Peer]) {
		f.sourced = f.now
	}
	f.longestGap = max(f.longestGap, f.now.Sub(f.sourced))
}

// lose ends the following of a lost machine after the time that it takes to notice.
func (f *follower) lose() {
	for end := f.now.Add(detectionTime); f.lost[f.current.Peer] && f.now.Before(end); {
		f.now = f.now.Add(step)
	}
	f.longestGap = f.now.Sub(f.sourced)
	if f.lost[f.current.Peer] {
		f.backoff.RecordNoResponse(f.view.Member(f.current.Peer), f.now)
		f.current.Peer = ""
	}
}

// A node stopped reading the store to try lost machines one after the other, and again
// when their pauses, which began together, were over (review/5).
var _ = DescribeTable("after a loss of machines of a zone, of",
	func(machines, lostCount int, first bool) {
		const configBound = 2 * time.Second // the smallest of the deployments
		view := &mesh.View{}
		for i := range machines {
			view.Members = append(view.Members, mesh.Member{Node: mesh.NodeID(fmt.Sprintf("m%03d", i)), Zone: "z", Incarnation: 1})
		}
		ranked := view.RankByHash("", func(*mesh.Member) bool { return true })
		lost, survivors := ranked[:lostCount], ranked[lostCount:]
		if !first {
			lost, survivors = ranked[machines-lostCount:], ranked[:machines-lostCount]
		}
		isLost := map[mesh.NodeID]bool{}
		for _, m := range lost {
			isLost[m.Node] = true
		}
		for i, m := range survivors {
			begin := time.Unix(1000, 0)
			f := &follower{view: view, self: mesh.Identity{Node: m.Node, Zone: "z"}, backoff: NewPeerBackoff(), now: begin, sourced: begin}
			for range 20 { // before the loss
				f.advance()
			}
			f.lost = isLost
			f.lose()
			for f.now.Before(begin.Add(3 * time.Second)) {
				f.advance()
			}
			Expect(f.longestGap).To(BeNumerically("<", configBound), "%s has no source", m.Node)
			f.longestGap, f.reads = 0, 0
			settled := f.now
			for f.now.Before(begin.Add(3 * time.Minute)) {
				f.advance()
			}
			Expect(f.longestGap).To(BeZero(), "%s loses its source to a probe", m.Node)
			searched := time.Duration(lostCount) * connectTime // at most, by nodes that read the store meanwhile
			if i == 0 {
				Expect(f.reads).To(BeNumerically("~", f.now.Sub(settled), step), "the first survivor reads the store")
			} else {
				Expect(f.reads).To(BeNumerically("<=", searched), "%s reads the store", m.Node)
			}
		}
	},
	Entry("3 machines, the first", 3, 1, true),
	Entry("3 machines, the first two", 3, 2, true),
	Entry("18 machines, the first 16", 18, 16, true),
	Entry("18 machines, the last 16", 18, 16, false),
	Entry("18 machines, all but the last", 18, 17, true),
	Entry("50 machines, the first half", 50, 25, true),
	Entry("50 machines, all but the last two", 50, 48, true),
)
