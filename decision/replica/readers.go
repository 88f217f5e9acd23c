package replica

import "teaselring/mesh"

// Source returns whether the node itself follows the store, and if not, the
// node of its zone that it follows: the first in an order that all agree on.
// Nodes that were found silent or behind are passed over, so that the next one
// takes their place. A node without a view follows the store.
func Source(view *mesh.View, self mesh.Identity, silent func(mesh.NodeID) bool) (reads bool, from *mesh.Member) {
	if view == nil {
		return true, nil
	}
	for _, m := range view.Ranked("", func(m *mesh.Member) bool { return m.Zone == self.Zone }) {
		if m.Node == self.Node {
			return true, nil
		}
		if !silent(m.Node) {
			return false, m
		}
	}
	return true, nil
}
