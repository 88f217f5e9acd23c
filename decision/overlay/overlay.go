// Package overlay decides which peers a node links to: whom it dials, whom it
// accepts and how long it waits between attempts. It is pure: time and random
// numbers are arguments.
package overlay

import (
	"hash/fnv"
	"slices"

	"teaselring/mesh"
)

// Dials is the number of peers that a node dials: its successor on the hash
// ring and three chosen by rendezvous hashing.
const Dials = 4

// Peer is a member that can be dialled.
type Peer struct {
	Node    mesh.NodeID
	Zone    mesh.Zone
	Region  mesh.Region
	Address string // IP:port
}

// Targets returns the peers that self dials, the successor first. Peers in
// avoid, such as those that refused a link a moment ago, are passed over. The
// result has no duplicates, and fewer than Dials entries only when there are
// fewer peers.
func Targets(self mesh.Identity, peers []Peer, avoid map[mesh.NodeID]bool) []Peer {
	usable := make([]ranked, 0, len(peers))
	own := position(self.Node)
	for _, p := range peers {
		if p.Node == self.Node || avoid[p.Node] || p.Address == "" {
			continue
		}
		at := position(p.Node)
		usable = append(usable, ranked{p, at - own, pairScore(own, at)})
	}
	t := chooser{usable: usable}
	t.successor()
	t.best(func(p *Peer) bool { return p.Region == self.Region && p.Zone == self.Zone })
	t.best(func(p *Peer) bool { return p.Region == self.Region && p.Zone != self.Zone })
	t.best(func(p *Peer) bool { return p.Region != self.Region })
	for len(t.chosen) < min(Dials, len(usable)) {
		t.best(func(*Peer) bool { return true })
	}
	return t.chosen
}

// ranked is a peer with its two orders.
type ranked struct {
	Peer
	distance uint64 // clockwise on the ring
	score    uint64 // rendezvous hash with the dialling node
}

type chooser struct {
	usable []ranked
	chosen []Peer
}

func (t *chooser) successor() {
	next := -1
	for i := range t.usable {
		if next < 0 || t.usable[i].distance < t.usable[next].distance {
			next = i
		}
	}
	if next >= 0 {
		t.chosen = append(t.chosen, t.usable[next].Peer)
	}
}

// best adds the peer with the highest score among those of a class that are
// not chosen yet, if there is one.
func (t *chooser) best(class func(*Peer) bool) {
	best := -1
	for i := range t.usable {
		p := &t.usable[i]
		if !class(&p.Peer) || t.has(p.Node) {
			continue
		}
		if best < 0 || p.score > t.usable[best].score {
			best = i
		}
	}
	if best >= 0 {
		t.chosen = append(t.chosen, t.usable[best].Peer)
	}
}

func (t *chooser) has(node mesh.NodeID) bool {
	return slices.ContainsFunc(t.chosen, func(p Peer) bool { return p.Node == node })
}

// position is the place of a node on the ring.
func position(node mesh.NodeID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(node))
	return mix(h.Sum64())
}

func pairScore(own, peer uint64) uint64 { return mix(own*0x9e3779b97f4a7c15 + peer) }

// mix spreads the entropy of FNV over the whole word.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// KeepNew decides between two links of one pair of nodes: an established one
// and a new one. The dial of the lower node id wins. A second dial of the same
// node shows that this node has lost the first, so it replaces it.
func KeepNew(establishedDialer, newDialer, a, b mesh.NodeID) bool {
	return newDialer == min(a, b) || newDialer == establishedDialer
}
