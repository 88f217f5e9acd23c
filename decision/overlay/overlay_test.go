package overlay

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/mesh"
	"teaselring/result"
)

// fleet returns n nodes in 3 regions and 8 zones.
func fleet(n int, seed uint64) []Peer {
	peers := make([]Peer, n)
	for i := range peers {
		zone := i % 8
		peers[i] = Peer{
			Node:    mesh.NodeID(fmt.Sprintf("node-%d-%d", seed, i)),
			Zone:    mesh.Zone(fmt.Sprint("z", zone)),
			Region:  mesh.Region(fmt.Sprint("r", zone%3)),
			Address: fmt.Sprintf("127.0.0.1:%d", i+1),
		}
	}
	return peers
}

func identity(p Peer) mesh.Identity {
	return mesh.Identity{Node: p.Node, Zone: p.Zone, Region: p.Region}
}

// graph is the set of links of a fleet.
type graph struct {
	neighbours map[mesh.NodeID][]mesh.NodeID
	accepted   map[mesh.NodeID]int
}

// link dials the targets of all nodes, the nodes in random order. A node that is
// refused adds the peer to its avoid set and chooses another one.
func link(peers []Peer, random *rand.Rand) graph {
	g := graph{map[mesh.NodeID][]mesh.NodeID{}, map[mesh.NodeID]int{}}
	linked := map[[2]mesh.NodeID]bool{}
	for _, i := range random.Perm(len(peers)) {
		self := peers[i]
		avoid := map[mesh.NodeID]bool{}
		for again := true; again; {
			again = false
			for _, t := range Targets(identity(self), peers, avoid) {
				pair := [2]mesh.NodeID{min(self.Node, t.Node), max(self.Node, t.Node)}
				if linked[pair] {
					continue
				}
				if g.accepted[t.Node] >= MaxAccepted {
					avoid[t.Node], again = true, true
					continue
				}
				linked[pair] = true
				g.accepted[t.Node]++
				g.neighbours[self.Node] = append(g.neighbours[self.Node], t.Node)
				g.neighbours[t.Node] = append(g.neighbours[t.Node], self.Node)
			}
		}
	}
	return g
}

// reachable returns how many nodes outside removed the first such node reaches,
// and the largest number of hops.
func (g graph) reachable(peers []Peer, removed map[mesh.NodeID]bool) (count, hops int) {
	depth := map[mesh.NodeID]int{}
	var queue []mesh.NodeID
	for _, p := range peers {
		if !removed[p.Node] {
			queue = append(queue, p.Node)
			depth[p.Node] = 0
			break
		}
	}
	for ; len(queue) > 0; queue = queue[1:] {
		for _, n := range g.neighbours[queue[0]] {
			if _, seen := depth[n]; !seen && !removed[n] {
				depth[n] = depth[queue[0]] + 1
				hops = max(hops, depth[n])
				queue = append(queue, n)
			}
		}
	}
	return len(depth), hops
}

// Nodes in a disconnected part would get no new configurations; an unbounded degree
// would exceed the byte budget of a node.
var _ = DescribeTable("the graph of links",
	func(n int, seed uint64) {
		random := rand.New(rand.NewPCG(seed, 1))
		peers := fleet(n, seed)
		g := link(peers, random)
		count, hops := g.reachable(peers, nil)
		Expect(count).To(Equal(n), "not connected")
		Expect(hops).To(BeNumerically("<=", 10))
		for _, p := range peers {
			Expect(g.accepted[p.Node]).To(BeNumerically("<=", MaxAccepted))
			Expect(len(g.neighbours[p.Node]) - g.accepted[p.Node]).To(BeNumerically("<=", DialCount))
		}

		removed := map[mesh.NodeID]bool{}
		var rest []Peer
		for rank, i := range random.Perm(n) {
			if rank < n/3 {
				removed[peers[i].Node] = true
			} else {
				rest = append(rest, peers[i])
			}
		}
		count, _ = g.reachable(peers, removed)
		Expect(count).To(BeNumerically(">=", len(rest)*95/100), "before any repair")
		count, _ = link(rest, random).reachable(rest, nil)
		Expect(count).To(Equal(len(rest)), "after the repair")
	},
	Entry("12 nodes, seed 1", 12, uint64(1)),
	Entry("12 nodes, seed 2", 12, uint64(2)),
	Entry("12 nodes, seed 3", 12, uint64(3)),
	Entry("150 nodes, seed 1", 150, uint64(1)),
	Entry("150 nodes, seed 2", 150, uint64(2)),
	Entry("150 nodes, seed 3", 150, uint64(3)),
	Entry("1200 nodes, seed 1", 1200, uint64(1)),
	Entry("1200 nodes, seed 2", 1200, uint64(2)),
)

var _ = Describe("targets", func() {
	It("cover the own zone, the region and another region", func() {
		peers := fleet(150, 7)
		targets := Targets(identity(peers[0]), peers, nil)
		Expect(targets).To(HaveLen(DialCount))
		Expect(targets[1].Zone).To(Equal(peers[0].Zone))
		Expect(targets[2].Region).To(Equal(peers[0].Region))
		Expect(targets[2].Zone).NotTo(Equal(peers[0].Zone))
		Expect(targets[3].Region).NotTo(Equal(peers[0].Region))
	})

	// The only node of a small region must not be dialled by all others forever.
	It("skip peers that refused", func() {
		peers := fleet(20, 7)
		first := Targets(identity(peers[0]), peers, nil)
		second := Targets(identity(peers[0]), peers, map[mesh.NodeID]bool{first[3].Node: true})
		Expect(second).To(HaveLen(DialCount))
		Expect(second).NotTo(ContainElement(first[3]))
	})
})

// When two nodes dial each other at the same time, both must keep the same link.
// Otherwise each closes the one that the other keeps.
var _ = DescribeTable("two links of one pair",
	func(established, dialer mesh.NodeID, keepNew bool) {
		Expect(KeepNewLink(established, dialer, "a", "b")).To(Equal(keepNew))
		Expect(KeepNewLink(established, dialer, "b", "a")).To(Equal(keepNew))
	},
	Entry("the lower id dials second", mesh.NodeID("b"), mesh.NodeID("a"), true),
	Entry("the higher id dials second", mesh.NodeID("a"), mesh.NodeID("b"), false),
	Entry("the same node dials again", mesh.NodeID("b"), mesh.NodeID("b"), true),
)

var _ = Describe("admission", func() {
	It("accepts a burst, then the rate, up to the maximum number of links", func() {
		start := time.Unix(0, 0)
		a := Admission{MaxLinks: 1000, PerSecond: AcceptPerSecond}
		admitted := 0
		for ms := range 3000 {
			if a.Admit(start.Add(time.Duration(ms)*time.Millisecond), admitted) == nil {
				admitted++
			}
		}
		Expect(admitted).To(BeNumerically("~", 4*AcceptPerSecond, 1))
		a = Admission{MaxLinks: MaxAccepted, PerSecond: AcceptPerSecond}
		Expect(a.Admit(start, MaxAccepted-1)).To(Succeed())
		Expect(result.Of(a.Admit(start, MaxAccepted))).To(Equal(result.TooManyLinks))
	})
})

var _ = Describe("backoff", func() {
	It("is spread from 0 to a bound that doubles up to the maximum", func() {
		b := Backoff{First: time.Second, Max: 10 * time.Second}
		Expect(b.Delay(0, 0)).To(BeZero())
		Expect(b.Delay(0, 0.5)).To(Equal(500 * time.Millisecond))
		Expect(b.Delay(2, 0.5)).To(Equal(2 * time.Second))
		Expect(b.Delay(1000, 0.5)).To(Equal(5 * time.Second))
	})
})

var _ = Describe("rejoin", func() {
	It("picks only addresses that are not of live members", func() {
		live := map[string]bool{"s1": true}
		Expect(RejoinAddress([]string{"s1"}, nil, live, 0.9)).To(BeEmpty())
		Expect(RejoinAddress([]string{"s1", "s2"}, []string{"d1"}, live, 0)).To(Equal("s2"))
		Expect(RejoinAddress([]string{"s1", "s2"}, []string{"d1"}, live, 0.99)).To(Equal("d1"))
	})
})
