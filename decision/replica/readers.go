package replica

import (
	"hash/fnv"
	"sort"

	"teaselring/mesh"
)

// Source returns whether the node itself follows the store, and if not, the
// node of its zone that it follows: the first in an order that all agree on.
// Nodes that were found silent or behind are passed over, so that the next one
// takes their place. A node without a view follows the store.
func Source(view *mesh.View, self mesh.Identity, silent func(mesh.NodeID) bool) (reads bool, from *mesh.Member) {
	if view == nil {
		return true, nil
	}
	for _, m := range ranked(view, self.Zone) {
		if m.Node == self.Node {
			return true, nil
		}
		if !silent(m.Node) {
			return false, m
		}
	}
	return true, nil
}

// ranked returns the nodes of a zone in an order that all nodes agree on and that
// changes little when one comes or goes.
func ranked(view *mesh.View, zone mesh.Zone) []*mesh.Member {
	var members []*mesh.Member
	weights := map[mesh.NodeID]uint64{}
	for i := range view.Members {
		m := &view.Members[i]
		if m.Zone != zone {
			continue
		}
		h := fnv.New64a()
		_, _ = h.Write([]byte(m.Node))
		weights[m.Node] = h.Sum64()
		members = append(members, m)
	}
	sort.Slice(members, func(i, j int) bool { return weights[members[i].Node] > weights[members[j].Node] })
	return members
}
