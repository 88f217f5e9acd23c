package membership

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/mesh"
	"teaselring/result"
)

var start = time.Unix(1_000_000, 0)

func after(d time.Duration) time.Time { return start.Add(d) }

func joined(node mesh.NodeID) *State {
	s := New(mesh.Member{Node: node, Incarnation: 10}, DefaultConfig())
	s.Join()
	s.Changes()
	return s
}

func alive(node mesh.NodeID, inc mesh.Incarnation, seq uint64) mesh.Member {
	return mesh.Member{Node: node, Incarnation: inc, Sequence: seq, State: mesh.NodeAlive}
}

func with(m mesh.Member, state mesh.NodeState, by ...mesh.NodeID) mesh.Member {
	m.State, m.SuspectedBy = state, by
	return m
}

func (s *State) stateOf(node mesh.NodeID) mesh.NodeState {
	if e := s.entries[node]; e != nil {
		return e.State
	}
	return 0
}

// ticks runs Tick every 100 ms up to and including the given time.
func ticks(s *State, from, to time.Duration) {
	for d := from; d <= to; d += 100 * time.Millisecond {
		s.Tick(after(d))
	}
}

var _ = DescribeTable("entries are ordered by incarnation, sequence and state",
	func(current, received mesh.Member, want mesh.NodeState, wantSeq uint64) {
		s := joined("me")
		Expect(s.Merge([]mesh.Member{current}, start)).To(Succeed())
		Expect(s.Merge([]mesh.Member{received}, start)).To(Succeed())
		Expect(s.stateOf("p")).To(Equal(want))
		Expect(s.entries["p"].Sequence).To(Equal(wantSeq))
	},
	Entry("higher incarnation", alive("p", 1, 9), alive("p", 2, 0), mesh.NodeAlive, uint64(0)),
	Entry("lower incarnation", alive("p", 2, 0), with(alive("p", 1, 9), mesh.NodeDead, "a", "b"), mesh.NodeAlive, uint64(0)),
	Entry("lower sequence", alive("p", 1, 5), with(alive("p", 1, 4), mesh.NodeLeft), mesh.NodeAlive, uint64(5)),
	Entry("suspicion", alive("p", 1, 5), with(alive("p", 1, 5), mesh.NodeSuspect, "a"), mesh.NodeSuspect, uint64(5)),
	Entry("second distinct suspicion", with(alive("p", 1, 5), mesh.NodeSuspect, "a"), with(alive("p", 1, 5), mesh.NodeSuspect, "b"), mesh.NodeDead, uint64(5)),
	Entry("same suspicion again", with(alive("p", 1, 5), mesh.NodeSuspect, "a"), with(alive("p", 1, 5), mesh.NodeSuspect, "a"), mesh.NodeSuspect, uint64(5)),
	Entry("death declared by one node", alive("p", 1, 5), with(alive("p", 1, 5), mesh.NodeDead, "a"), mesh.NodeSuspect, uint64(5)),
	Entry("refutation", with(alive("p", 1, 5), mesh.NodeSuspect, "a"), alive("p", 1, 6), mesh.NodeAlive, uint64(6)),
	Entry("suspicion ended by a restart", with(alive("p", 1, 5), mesh.NodeSuspect, "a"), alive("p", 2, 0), mesh.NodeAlive, uint64(0)),
	Entry("left", alive("p", 1, 5), with(alive("p", 1, 6), mesh.NodeLeft), mesh.NodeLeft, uint64(6)),
	Entry("left after suspicion", with(alive("p", 1, 5), mesh.NodeSuspect), with(alive("p", 1, 5), mesh.NodeLeft), mesh.NodeLeft, uint64(5)),
)

var _ = Describe("a silent peer", func() {
	var s *State
	BeforeEach(func() {
		s = joined("me")
		Expect(s.Merge([]mesh.Member{alive("p", 1, 0)}, start)).To(Succeed())
		s.LinkUp("p", start)
		s.Changes()
	})

	It("is suspected after 1.5 s and dead at 2.5 s when nobody refutes", func() {
		ticks(s, 0, 1400*time.Millisecond)
		Expect(s.stateOf("p")).To(Equal(mesh.NodeAlive))
		ticks(s, 1500*time.Millisecond, 2400*time.Millisecond)
		Expect(s.stateOf("p")).To(Equal(mesh.NodeSuspect))
		Expect(s.Changes()).To(HaveExactElements(HaveField("SuspectedBy", []mesh.NodeID{"me"})))
		s.Tick(after(2500 * time.Millisecond))
		Expect(s.stateOf("p")).To(Equal(mesh.NodeDead))
	})

	It("is dead at once with a second suspecting node", func() {
		ticks(s, 0, 1500*time.Millisecond)
		Expect(s.Merge([]mesh.Member{with(alive("p", 1, 0), mesh.NodeSuspect, "q")}, after(1600*time.Millisecond))).To(Succeed())
		Expect(s.stateOf("p")).To(Equal(mesh.NodeDead))
	})

	It("stays alive when it refutes in time", func() {
		ticks(s, 0, 1500*time.Millisecond)
		Expect(s.Merge([]mesh.Member{alive("p", 1, 1)}, after(1700*time.Millisecond))).To(Succeed())
		ticks(s, 1800*time.Millisecond, 9*time.Second)
		Expect(s.stateOf("p")).To(Equal(mesh.NodeAlive))
	})

	It("is suspected when its connection broke and was not re-established", func() {
		s.LinkLost("p")
		s.RecordMessage("p", after(time.Second))
		ticks(s, 0, 1500*time.Millisecond)
		Expect(s.stateOf("p")).To(Equal(mesh.NodeSuspect))
	})

	DescribeTable("is suspected after silence on its link or a failed dial",
		func(linked bool, incarnation mesh.Incarnation, want mesh.NodeState) {
			if !linked {
				s.LinkClosed("p")
			}
			s.PeerUnreachable("p", incarnation, start)
			Expect(s.stateOf("p")).To(Equal(want))
		},
		Entry("silent link", true, mesh.Incarnation(1), mesh.NodeSuspect),
		Entry("silent link whose hello had a provisional incarnation", true, mesh.Incarnation(0), mesh.NodeSuspect),
		Entry("failed dial", false, mesh.Incarnation(1), mesh.NodeSuspect),
		Entry("failed dial of an earlier incarnation", false, mesh.Incarnation(0), mesh.NodeAlive),
	)

	It("is not suspected when the link was closed on purpose or re-established", func() {
		s.LinkClosed("p")
		ticks(s, 0, 3*time.Second)
		Expect(s.stateOf("p")).To(Equal(mesh.NodeAlive))
		s.LinkUp("p", after(3*time.Second))
		s.LinkLost("p")
		s.LinkUp("p", after(4*time.Second))
		ticks(s, 3100*time.Millisecond, 5400*time.Millisecond)
		Expect(s.stateOf("p")).To(Equal(mesh.NodeAlive))
	})

	// Guards against suspicions of peers whose messages a paused node did not read.
	It("is not suspected because this node was paused", func() {
		ticks(s, 0, time.Second)
		s.Tick(after(11 * time.Second))
		Expect(s.stateOf("p")).To(Equal(mesh.NodeAlive))
		Expect(s.Counts().Pauses).To(BeEquivalentTo(1))
		s.RecordMessage("p", after(11*time.Second+50*time.Millisecond))
		ticks(s, 11100*time.Millisecond, 12500*time.Millisecond)
		Expect(s.stateOf("p")).To(Equal(mesh.NodeAlive))
	})
})

var _ = Describe("a suspicion received from another node", func() {
	It("expires without the suspecting node, which may have died too", func() {
		s := joined("me")
		Expect(s.Merge([]mesh.Member{with(alive("p", 1, 0), mesh.NodeSuspect, "q")}, start)).To(Succeed())
		ticks(s, 0, 2400*time.Millisecond)
		Expect(s.stateOf("p")).To(Equal(mesh.NodeSuspect))
		s.Tick(after(2500 * time.Millisecond))
		Expect(s.stateOf("p")).To(Equal(mesh.NodeDead))
	})
})

var _ = Describe("the node itself", func() {
	It("refutes being suspected or declared dead with a higher sequence", func() {
		s := joined("me")
		Expect(s.Merge([]mesh.Member{with(alive("me", 10, 0), mesh.NodeSuspect, "q")}, start)).To(Succeed())
		Expect(s.Changes()).To(HaveExactElements(And(HaveField("Sequence", uint64(1)), HaveField("State", mesh.NodeAlive))))
		Expect(s.Merge([]mesh.Member{with(alive("me", 10, 7), mesh.NodeDead, "q", "r")}, start)).To(Succeed())
		Expect(s.Self().Sequence).To(Equal(uint64(8)))
		Expect(s.Counts().Refutations).To(BeEquivalentTo(2))
	})

	It("rises above the incarnation of its previous process before it joins", func() {
		s := New(mesh.Member{Node: "me", Incarnation: 10}, DefaultConfig())
		Expect(s.Merge([]mesh.Member{with(alive("me", 50, 7), mesh.NodeLeft)}, start)).To(Succeed())
		Expect(s.Changes()).To(BeEmpty())
		s.Join()
		Expect(s.Self().Incarnation).To(Equal(mesh.Incarnation(51)))
		Expect(s.Changes()).To(HaveLen(1))
	})

	// Two processes with one id would refute each other forever.
	It("fails when a later process uses its id", func() {
		s := joined("me")
		err := s.Merge([]mesh.Member{alive("me", 11, 0)}, start)
		Expect(result.Of(err)).To(Equal(result.Conflict))
	})

	It("stays left once it has left", func() {
		s := joined("me")
		s.Leave()
		s.UpdateSelf(func(m *mesh.Member) { m.InForce = 3 })
		Expect(s.Merge([]mesh.Member{with(alive("me", 10, 5), mesh.NodeDead, "q", "r")}, start)).To(Succeed())
		Expect(s.Self().State).To(Equal(mesh.NodeLeft))
	})
})

var _ = Describe("tombstones", func() {
	It("keep an old entry from being added again for 10 minutes, and no longer", func() {
		s := joined("me")
		Expect(s.Merge([]mesh.Member{alive("p", 1, 5)}, start)).To(Succeed())
		Expect(s.Merge([]mesh.Member{with(alive("p", 1, 5), mesh.NodeDead, "a", "b")}, start)).To(Succeed())
		Expect(s.Merge([]mesh.Member{alive("p", 1, 5)}, start)).To(Succeed())
		Expect(s.stateOf("p")).To(Equal(mesh.NodeDead))
		s.Tick(after(10*time.Minute + time.Second))
		Expect(s.stateOf("p")).To(BeZero())
		Expect(s.Merge([]mesh.Member{with(alive("p", 1, 5), mesh.NodeDead, "a", "b")}, start)).To(Succeed())
		Expect(s.stateOf("p")).To(BeZero(), "tombstones must not be gossiped forever")
	})
})

var _ = Describe("the view", func() {
	It("is bounded, sorted, and rebuilt only after a change", func() {
		s := joined("me")
		var many []mesh.Member
		for i := range 6000 {
			many = append(many, alive(mesh.NodeID(fmt.Sprintf("n%04d", i)), 1, 0))
		}
		Expect(s.Merge(many, start)).To(Succeed())
		view := s.View()
		Expect(view.Members).To(HaveLen(5000))
		Expect(view.Members[0].Node < view.Members[1].Node).To(BeTrue())
		Expect(s.View()).To(BeNil())
		Expect(s.Counts().Refused).To(BeEquivalentTo(1001))
	})

	// Differences that the digests don't cover would never be repaired, and equal
	// views with different digests would be exchanged forever.
	It("converges on two nodes by exchanging the buckets that differ", func() {
		for seed := range uint64(20) {
			random := rand.New(rand.NewPCG(seed, 2))
			a, b := joined("a"), joined("b")
			for range 200 {
				m := alive(mesh.NodeID(fmt.Sprint("n", random.IntN(60))), mesh.Incarnation(random.IntN(3)), random.Uint64N(3))
				switch random.IntN(4) {
				case 0:
					m = with(m, mesh.NodeSuspect, mesh.NodeID(fmt.Sprint("s", random.IntN(3))))
				case 1:
					m = with(m, mesh.NodeDead, "x", "y")
				}
				target := []*State{a, b}[random.IntN(2)]
				Expect(target.Merge([]mesh.Member{m}, start)).To(Succeed())
			}
			for range 3 {
				Expect(a.Merge(b.DifferingMembers(a.BucketDigests()), start)).To(Succeed())
				Expect(b.Merge(a.DifferingMembers(b.BucketDigests()), start)).To(Succeed())
			}
			Expect(a.Digest()).To(Equal(b.Digest()), "seed %d", seed)
			Expect(a.DifferingMembers(b.BucketDigests())).To(BeEmpty())
		}
	})
})

var _ = Describe("the upstream beside the node", func() {
	ready := mesh.Endpoint{Service: "s", Version: "1", Slots: 2, State: mesh.EndpointReady, Process: "p1"}

	It("is gone after 3 s without an announcement and returns with one", func() {
		u := NewUpstream(3 * time.Second)
		Expect(u.Announce(ready, start)).To(BeTrue())
		Expect(u.Announce(ready, after(time.Second))).To(BeFalse())
		for d := time.Second; d < 4*time.Second; d += 100 * time.Millisecond {
			Expect(u.Tick(after(d))).To(BeFalse())
		}
		Expect(u.Tick(after(4 * time.Second))).To(BeTrue())
		Expect(u.Tick(after(4100 * time.Millisecond))).To(BeFalse())
		Expect(u.Announce(ready, after(6*time.Second))).To(BeTrue())
	})

	It("is not gone because the node was paused", func() {
		u := NewUpstream(3 * time.Second)
		u.Announce(ready, start)
		u.Tick(start)
		Expect(u.Tick(after(20 * time.Second))).To(BeFalse())
		Expect(u.Tick(after(20100 * time.Millisecond))).To(BeFalse())
	})

	It("stays draining until another process replaces it", func() {
		u := NewUpstream(3 * time.Second)
		Expect(u.Drain()).To(BeFalse())
		u.Announce(ready, start)
		Expect(u.Drain()).To(BeTrue())
		Expect(u.Announce(ready, start)).To(BeFalse())
		Expect(u.Endpoint().State).To(Equal(mesh.EndpointDraining))
		next := ready
		next.Process = "p2"
		Expect(u.Announce(next, start)).To(BeTrue())
		Expect(u.Endpoint().State).To(Equal(mesh.EndpointReady))
	})
})
