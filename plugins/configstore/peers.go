package configstore

import (
	"time"

	"teaselring/mesh"
)

const (
	// silence is how long after its last message a peer counts as linked; it
	// covers two missed heartbeats.
	silence = 1500 * time.Millisecond
	// maxPeers bounds what is remembered of peers: the design scale of 1,200
	// nodes with replacements of ten minutes.
	maxPeers = 4096
)

// peer is what the duty remembers of a node that it has had a link to.
type peer struct {
	at      time.Time    // last message
	highest mesh.Version // highest version that it had in force
}

type peers map[mesh.NodeID]peer

// seen notes a message that shows a peer's version in force.
func (p peers) seen(node mesh.NodeID, now time.Time, inForce mesh.Version) {
	old, known := p[node]
	if !known && len(p) >= maxPeers {
		p.dropOldest()
	}
	p[node] = peer{at: now, highest: max(old.highest, inForce)}
}

func (p peers) dropOldest() {
	var oldest mesh.NodeID
	first := true
	for node, peer := range p {
		if first || peer.at.Before(p[oldest].at) {
			oldest, first = node, false
		}
	}
	delete(p, oldest)
}

// count returns the number of peers that are linked now.
func (p peers) count(now time.Time) int {
	linked := 0
	for _, peer := range p {
		if now.Sub(peer.at) < silence {
			linked++
		}
	}
	return linked
}

func (p peers) linked(now time.Time) bool { return p.count(now) > 0 }

// known returns how many peers the node knows of: those alive in its view, or
// those linked when there is no view.
func (k *keeper) known(now time.Time) int {
	linked := k.peers.count(now)
	view := k.view()
	if view == nil {
		return linked
	}
	alive := 0
	for i := range view.Members {
		if m := &view.Members[i]; m.Node != k.Self.Node && m.State == mesh.NodeAlive {
			alive++
		}
	}
	return max(alive, linked)
}

// remembered returns the highest version that a node is known to have had in
// force, from its heartbeats or its entry in the view.
func (k *keeper) remembered(node mesh.NodeID) mesh.Version {
	highest := k.peers[node].highest
	if view := k.view(); view != nil {
		for i := range view.Members {
			if view.Members[i].Node == node {
				highest = max(highest, view.Members[i].InForce)
			}
		}
	}
	return highest
}

func (k *keeper) view() *mesh.View {
	if k.View == nil {
		return nil
	}
	return k.View.Load()
}
