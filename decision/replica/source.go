package replica

import (
	"time"

	"teaselring/mesh"
)

// SourceChoice is the source from which a node reads rows.
type SourceChoice struct {
	ReadStore bool         // read from the store itself
	Peer      *mesh.Member // read from this node; nil without ReadStore: no source for now
}

// storeLostThreshold is the number of nodes without a connection to the store from
// which on it counts as lost for all. It applies to the own zone and to the other
// zones. Without it every node of a large mesh sends requests to a store that is
// down.
const storeLostThreshold = 3

// Source selects the source of a node's rows: the first node of its zone, in an
// order that is the same on all nodes; that node reads the store. Unresponsive
// nodes and nodes that lost the store are skipped. Within its zone a node only
// follows nodes before it in the order, so that no two follow each other. When
// storeLostThreshold nodes of the zone have lost the store, nodes of other zones
// are tried: the store may refuse single machines.
func Source(view *mesh.View, self mesh.Identity, backoff *PeerBackoff, now time.Time) SourceChoice {
	lostCount := 0
	for _, m := range view.RankByHash("", func(m *mesh.Member) bool { return m.Zone == self.Zone }) {
		switch {
		case m.Node == self.Node:
			return SourceChoice{ReadStore: true}
		case backoff.Unresponsive(m, now):
		case !backoff.StoreLost(m, now):
			return SourceChoice{Peer: m}
		default:
			if lostCount++; lostCount == storeLostThreshold {
				return sourceInOtherZone(view, self, backoff, now)
			}
		}
	}
	return SourceChoice{ReadStore: true}
}

// sourceInOtherZone selects the first usable node of another zone. One node that
// lost the store rules out its zone.
func sourceInOtherZone(view *mesh.View, self mesh.Identity, backoff *PeerBackoff, now time.Time) SourceChoice {
	lostCount := 0
	triedZones := map[mesh.Zone]bool{self.Zone: true}
	for _, m := range view.RankByHash("", func(*mesh.Member) bool { return true }) {
		switch {
		case triedZones[m.Zone] || backoff.Unresponsive(m, now):
		case !backoff.StoreLost(m, now):
			return SourceChoice{Peer: m}
		default:
			triedZones[m.Zone] = true
			if lostCount++; lostCount == storeLostThreshold {
				return SourceChoice{}
			}
		}
	}
	return SourceChoice{}
}
