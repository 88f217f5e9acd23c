package configstore

import (
	"time"

	"teaselring/mesh"
)

const (
	// linkTimeout is the time after its last message for which a peer counts as
	// linked; it covers two missed heartbeats.
	linkTimeout = 1500 * time.Millisecond
	// maxPeers limits the number of remembered peers. It leaves room for 1,200
	// nodes at design scale and for those that replace them within ten minutes.
	maxPeers = 4096
)

// peer holds what the duty remembers of a node that was linked.
type peer struct {
	lastMessage    time.Time
	highestInForce mesh.Version // highest version that the peer had in force
}

type peers map[mesh.NodeID]peer

// recordMessage records the version in force that a peer's message carries.
func (p peers) recordMessage(node mesh.NodeID, now time.Time, inForce mesh.Version) {
	old, known := p[node]
	if !known && len(p) >= maxPeers {
		p.evictOldest()
	}
	p[node] = peer{lastMessage: now, highestInForce: max(old.highestInForce, inForce)}
}

func (p peers) evictOldest() {
	var oldest mesh.NodeID
	first := true
	for node, peer := range p {
		if first || peer.lastMessage.Before(p[oldest].lastMessage) {
			oldest, first = node, false
		}
	}
	delete(p, oldest)
}

// linkedCount returns the number of linked peers.
func (p peers) linkedCount(now time.Time) int {
	linked := 0
	for _, peer := range p {
		if now.Sub(peer.lastMessage) < linkTimeout {
			linked++
		}
	}
	return linked
}

func (p peers) anyLinked(now time.Time) bool { return p.linkedCount(now) > 0 }

// peerCount returns the number of known peers: those alive in the view, or the
// linked ones if these are more or there is no view.
func (d *configDuty) peerCount(now time.Time) int {
	linked := d.peers.linkedCount(now)
	view := d.view()
	if view == nil {
		return linked
	}
	alive := 0
	for i := range view.Members {
		if m := &view.Members[i]; m.Node != d.Self.Node && m.State == mesh.NodeAlive {
			alive++
		}
	}
	return max(alive, linked)
}

// remembered returns the highest version that a node is known to have had in
// force, from its heartbeats or its entry in the view.
func (d *configDuty) remembered(node mesh.NodeID) mesh.Version {
	highestInForce := d.peers[node].highestInForce
	if view := d.view(); view != nil {
		for i := range view.Members {
			if view.Members[i].Node == node {
				highestInForce = max(highestInForce, view.Members[i].InForce)
			}
		}
	}
	return highestInForce
}

func (d *configDuty) view() *mesh.View {
	if d.View == nil {
		return nil
	}
	return d.View.Load()
}
