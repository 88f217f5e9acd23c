package replica

import (
	"time"

	"teaselring/mesh"
)

// Choice says where a node takes its rows from.
type Choice struct {
	Reads bool         // from the store itself
	From  *mesh.Member // from this node; nil and not Reads: from nobody for now
}

// mostLost is the number of nodes of one zone, and of other zones, that have lost
// the store from which on it counts as lost for all. Without it every node of a
// large mesh asks a store that is down.
const mostLost = 3

// Source returns where a node takes its rows from: from the first of its zone, in
// an order that all agree on, which reads the store. Nodes that were found silent
// or out of touch with the store are passed over. A node only follows nodes
// before it in the order, so that no two follow each other. When the first of
// the zone have lost the store, those of other zones are asked: it may refuse
// single machines.
func Source(view *mesh.View, self mesh.Identity, passed *Passed, now time.Time) Choice {
	lost := 0
	for _, m := range view.Ranked("", func(m *mesh.Member) bool { return m.Zone == self.Zone }) {
		switch {
		case m.Node == self.Node:
			return Choice{Reads: true}
		case passed.Silent(m, now):
		case !passed.Lost(m, now):
			return Choice{From: m}
		default:
			if lost++; lost == mostLost {
				return elsewhere(view, self, passed, now)
			}
		}
	}
	return Choice{Reads: true}
}

// elsewhere looks for the first node of another zone.
func elsewhere(view *mesh.View, self mesh.Identity, passed *Passed, now time.Time) Choice {
	lost := 0
	asked := map[mesh.Zone]bool{self.Zone: true}
	for _, m := range view.Ranked("", func(*mesh.Member) bool { return true }) {
		switch {
		case asked[m.Zone] || passed.Silent(m, now):
		case !passed.Lost(m, now):
			return Choice{From: m}
		default:
			asked[m.Zone] = true
			if lost++; lost == mostLost {
				return Choice{}
			}
		}
	}
	return Choice{}
}
