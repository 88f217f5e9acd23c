package quota

import (
	"sort"
	"time"

	"teaselring/mesh"
)

// Status is the state of one account on one node, for operators.
type Status struct {
	Account mesh.AccountName `json:"account"`
	Rate    float64          `json:"rate"`
	Burst   float64          `json:"burst"`
	// What the node holds for the requests that it admits.
	Credits      int         `json:"credits"`
	Lines        int         `json:"lines"`
	LinesInUse   int         `json:"lines_in_use"`
	Waiting      int         `json:"waiting"`
	PerSecond    float64     `json:"per_second"` // requests at this node
	GrantingNode mesh.NodeID `json:"granting_node,omitempty"`
	// What the node grants to others; nil if it is not asked.
	Granting *GrantStatus `json:"granting,omitempty"`
}

// GrantStatus is the state of an account's bucket.
type GrantStatus struct {
	Share   float64             `json:"share"` // sum of the shares that are delegated to the node
	Tokens  float64             `json:"tokens"`
	Size    float64             `json:"size"`
	Refused float64             `json:"refused_per_second"` // by all nodes
	Held    map[mesh.NodeID]int `json:"held,omitempty"`     // unused credits by node
}

// Status returns the state of all accounts with a limit, by name.
func (h *Holder) Status(now time.Time, g *Grantor) []Status {
	list := make([]Status, 0, len(h.accounts))
	for name, a := range h.accounts {
		a.expire(now, h.settings)
		shard := shardOf(name)
		list = append(list, Status{
			Account: name, Rate: a.limit.Rate, Burst: a.limit.Burst, Credits: a.credits, Lines: a.lineCount, LinesInUse: len(a.lineUses),
			Waiting: a.waiting, PerSecond: a.rate.at(now), GrantingNode: h.shards[shard].delegate, Granting: g.status(now, name, a.limit, h.count),
		})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Account < list[j].Account })
	return list
}

func (g *Grantor) status(now time.Time, name mesh.AccountName, l Limit, nodes int) *GrantStatus {
	s := &g.shards[shardOf(name)]
	b := s.buckets[name]
	if b == nil {
		return nil
	}
	term := renewalsPerTerm * renewal(nodes)
	share, _ := s.shares(now, term)
	size, _ := g.fill(now, s, b, l, term)
	status := &GrantStatus{Share: share, Tokens: b.tokens, Size: size, Refused: b.refused, Held: map[mesh.NodeID]int{}}
	for node, h := range b.held {
		if h.count > 0 {
			status.Held[node] = h.count
		}
	}
	return status
}
