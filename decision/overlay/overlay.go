// Package overlay decides which peers a node links to: which it dials, which it
// accepts and the backoff between attempts. It is pure: time and random numbers
// are arguments.
package overlay

import (
	"hash/fnv"
	"slices"

	"teaselring/mesh"
)

// DialCount is the number of peers that a node dials: its successor on the hash
// ring and three chosen by rendezvous hashing.
const DialCount = 4

// Peer is a member that can be dialled.
type Peer struct {
	Node    mesh.NodeID
	Zone    mesh.Zone
	Region  mesh.Region
	Address string // IP:port
}

// Targets returns the peers that self dials, the successor first. Peers in avoid,
// such as those that recently refused a link, are skipped. The result has no
// duplicates, and fewer than DialCount entries only when there are fewer peers.
func Targets(self mesh.Identity, peers []Peer, avoid map[mesh.NodeID]bool) []Peer {
	candidates := make([]rankedPeer, 0, len(peers))
	own := position(self.Node)
	for _, p := range peers {
		if p.Node == self.Node || avoid[p.Node] || p.Address == "" {
			continue
		}
		at := position(p.Node)
		candidates = append(candidates, rankedPeer{p, at - own, pairScore(own, at)})
	}
	t := selector{candidates: candidates}
	t.successor()
	t.best(func(p *Peer) bool { return p.Region == self.Region && p.Zone == self.Zone })
	t.best(func(p *Peer) bool { return p.Region == self.Region && p.Zone != self.Zone })
	t.best(func(p *Peer) bool { return p.Region != self.Region })
	for len(t.chosen) < min(DialCount, len(candidates)) {
		t.best(func(*Peer) bool { return true })
	}
	return t.chosen
}

// rankedPeer is a peer with its two sort keys.
type rankedPeer struct {
	Peer
	distance uint64 // clockwise on the ring
	score    uint64 // rendezvous hash with the dialling node
}

type selector struct {
	candidates []rankedPeer
	chosen     []Peer
}

func (t *selector) successor() {
	next := -1
	for i := range t.candidates {
		if next < 0 || t.candidates[i].distance < t.candidates[next].distance {
			next = i
		}
	}
	if next >= 0 {
		t.chosen = append(t.chosen, t.candidates[next].Peer)
	}
}

// best adds the peer with the highest score among those of a class that are not
// chosen yet, if any.
func (t *selector) best(class func(*Peer) bool) {
	best := -1
	for i := range t.candidates {
		p := &t.candidates[i]
		if !class(&p.Peer) || t.isChosen(p.Node) {
			continue
		}
		if best < 0 || p.score > t.candidates[best].score {
			best = i
		}
	}
	if best >= 0 {
		t.chosen = append(t.chosen, t.candidates[best].Peer)
	}
}

func (t *selector) isChosen(node mesh.NodeID) bool {
	return slices.ContainsFunc(t.chosen, func(p Peer) bool { return p.Node == node })
}

// position is the position of a node on the hash ring.
func position(node mesh.NodeID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(node))
	return mix(h.Sum64())
}

func pairScore(own, peer uint64) uint64 { return mix(own*0x9e3779b97f4a7c15 + peer) }

// mix is a 64-bit hash finalizer.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// KeepNewLink reports whether a new link between nodes a and b replaces the
// established one. The link dialled by the lower node id wins. A second dial by the
// same node means that this node has lost the first link, so the new one replaces
// it.
func KeepNewLink(establishedDialer, newDialer, a, b mesh.NodeID) bool {
	return newDialer == min(a, b) || newDialer == establishedDialer
}
