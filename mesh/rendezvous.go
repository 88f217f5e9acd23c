package mesh

import (
	"hash/fnv"
	"sort"
)

// RankByHash returns the members for which include returns true, ordered by
// rendezvous hashing: all nodes compute the same order, and it changes little when a
// member joins or leaves. A different salt gives an independent order.
func (v *View) RankByHash(salt string, include func(*Member) bool) []*Member {
	var members []*Member
	weights := map[NodeID]uint64{}
	for i := range v.Members {
		m := &v.Members[i]
		if !include(m) {
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
