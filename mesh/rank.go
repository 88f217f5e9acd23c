package mesh

import (
	"hash/fnv"
	"sort"
)

// Ranked returns the members for which keep returns true in an order that all
// nodes agree on and that changes little when one comes or goes (rendezvous
// hashing). Salt gives each use an order of its own.
func (v *View) Ranked(salt string, keep func(*Member) bool) []*Member {
	var members []*Member
	weights := map[NodeID]uint64{}
	for i := range v.Members {
		m := &v.Members[i]
		if !keep(m) {
			continue
		}
		h := fnv.New64a()
		_, _ = h.Write([]byte(salt + string(m.Node)))
		weights[m.Node] = h.Sum64()
		members = append(members, m)
	}
	sort.Slice(members, func(i, j int) bool { return weights[members[i].Node] > weights[members[j].Node] })
	return members
}
