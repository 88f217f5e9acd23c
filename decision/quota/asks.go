package quota

import (
	"maps"
	"slices"
	"sort"
	"time"

	"teaselring/mesh"
)

// Outgoing is an ask and the granting node that gets it.
type Outgoing struct {
	To   mesh.NodeID
	Sent time.Time
	Ask  Ask
}

// Asks returns the asks that are due. Each must be followed by Answered or Failed.
func (h *Holder) Asks(now time.Time) []Outgoing {
	if len(h.nodes) == 0 || len(h.accounts) == 0 {
		return nil
	}
	plans := h.plan(now)
	demands := h.demands(now, plans)
	var due []Outgoing
	for _, to := range slices.Sorted(maps.Keys(plans)) {
		p, pl := h.peer(to), plans[to]
		if p.inFlight || !pl.due(now, p, demands[to], renewal(h.count)) {
			continue
		}
		due = append(due, h.ask(now, to, pl, demands[to]))
	}
	return due
}

// plan is what one granting node is asked for.
type plan struct {
	shards   []int  // whose demand it gets
	delegate uint32 // shards to delegate
	change   bool   // a delegation begins or ends
	probe    bool   // it is skipped and may answer again
}

func (p *plan) due(now time.Time, peer *peer, demands []named, interval time.Duration) bool {
	since := now.Sub(peer.asked)
	if p.probe {
		return !now.Before(peer.probeAfter)
	}
	urgent, report := false, p.change
	for _, d := range demands {
		urgent = urgent || (d.account.waiting > 0 && !now.Before(d.account.askAfter))
		report = report || d.account.due
	}
	return urgent || since >= interval || (report && since >= askGap) || (p.change && peer.stampAt.After(peer.asked))
}

// plan assigns each shard in use to its first usable granting node.
func (h *Holder) plan(now time.Time) map[mesh.NodeID]*plan {
	plans := map[mesh.NodeID]*plan{}
	at := func(node mesh.NodeID) *plan {
		if plans[node] == nil {
			plans[node] = &plan{}
		}
		return plans[node]
	}
	for i := range h.shards {
		s := &h.shards[i]
		if !s.used {
			continue
		}
		target := h.target(s, func(skipped mesh.NodeID) { at(skipped).probe = true })
		pl := at(target)
		pl.shards = append(pl.shards, i)
		if s.delegate != "" && !now.Before(s.until) {
			s.delegate = ""
		}
		switch {
		case s.delegate != "" && s.delegate != target:
			if h.peer(s.delegate).usable() {
				at(s.delegate).change = true // without its bit, which ends the delegation
			}
		case h.peer(target).stampAt.IsZero():
		default:
			pl.delegate |= 1 << i
			pl.change = pl.change || s.delegate == ""
		}
	}
	for _, pl := range plans {
		pl.probe = pl.probe && len(pl.shards) == 0 && !pl.change
	}
	return plans
}

// target returns the first usable candidate of a shard; the node itself always is.
func (h *Holder) target(s *holderShard, skip func(mesh.NodeID)) mesh.NodeID {
	for _, node := range s.candidates {
		if node == h.self || h.peer(node).usable() {
			return node
		}
		skip(node)
	}
	return h.self
}

func (h *Holder) peer(node mesh.NodeID) *peer {
	if h.peers[node] == nil {
		h.peers[node] = &peer{}
	}
	return h.peers[node]
}

// named is an account with its name.
type named struct {
	name    mesh.AccountName
	account *account
}

// demands returns the accounts with something to report, by granting node.
func (h *Holder) demands(now time.Time, plans map[mesh.NodeID]*plan) map[mesh.NodeID][]named {
	var byShard [Shards]mesh.NodeID
	for to, pl := range plans {
		for _, shard := range pl.shards {
			byShard[shard] = to
		}
	}
	demands := map[mesh.NodeID][]named{}
	for name, a := range h.accounts {
		a.expire(now, h.settings)
		if a.waiting+a.credits+a.returned+a.refused+len(a.lineUses) == 0 && a.want(now) == 0 {
			continue
		}
		to := byShard[shardOf(name)]
		demands[to] = append(demands[to], named{name, a})
	}
	return demands
}

// ask builds an ask and records what it reports.
func (h *Holder) ask(now time.Time, to mesh.NodeID, pl *plan, demands []named) Outgoing {
	p := h.peer(to)
	p.inFlight, p.asked = true, now
	h.seq++
	o := Outgoing{To: to, Sent: now, Ask: Ask{Node: h.self, Boot: h.boot, Seq: h.seq, Nodes: h.count, Echo: p.stamp, Delegated: pl.delegate}}
	for i := range h.shards {
		if pl.delegate&(1<<i) != 0 {
			s := &h.shards[i]
			s.delegate, s.until = to, p.stampAt.Add(tolerant(p.term))
			if s.first == "" {
				s.first, s.firstBoot = to, p.stamp.Boot
			}
			if s.first != to || s.firstBoot != p.stamp.Boot {
				s.firstBoot = 0 // no start of a node
			} else if h.firstStart {
				o.Ask.Fresh |= 1 << i
			}
		}
	}
	sort.Slice(demands, func(i, j int) bool { return demands[i].name < demands[j].name })
	for _, d := range demands[:min(len(demands), maxDemands)] {
		a := d.account
		o.Ask.Demands = append(o.Ask.Demands, Demand{
			Account: d.name, Held: a.credits, Waiting: a.waiting, Unpaid: len(a.lineUses),
			Want: max(0, a.want(now)-a.credits), Returned: a.returned, Refused: a.refused,
		})
		a.returned, a.refused, a.due = 0, 0, false
		a.askAfter = now.Add(minRoomWait) // if there is an answer without a grant
	}
	return o
}

// Decided is the number of waiting requests of an account that an answer decided, in the
// order in which they began to wait.
type Decided struct {
	Account           mesh.AccountName
	Admitted, Refused int
}

// Answered handles the answer to an ask.
func (h *Holder) Answered(now time.Time, o *Outgoing, answer *Answer) []Decided {
	p := h.peer(o.To)
	p.inFlight, p.failures = false, 0
	restarted := p.stamp.Boot != answer.Stamp.Boot
	p.stamp, p.stampAt, p.term = answer.Stamp, now, answer.Term
	for i := range h.shards {
		if s := &h.shards[i]; s.delegate == o.To && (restarted || o.Ask.Delegated&(1<<i) == 0) {
			s.delegate = "" // the granting node has ended it, or no longer knows it
		}
	}
	var decided []Decided
	for i := range answer.Grants {
		g := &answer.Grants[i]
		if a := h.accounts[g.Account]; a != nil {
			if d := h.apply(now, o, g, a, answer.Term); d.Admitted+d.Refused > 0 {
				decided = append(decided, d)
			}
		}
	}
	return decided
}

// apply uses a grant. Credit that was granted to requests which no longer wait is dropped,
// since the granting node counts it as used.
func (h *Holder) apply(now time.Time, o *Outgoing, g *Grant, a *account, term time.Duration) Decided {
	d := Decided{Account: g.Account}
	a.expire(now, h.settings)
	a.lineUses = a.lineUses[min(len(a.lineUses), max(0, g.Paid)):]
	d.Admitted = min(a.waiting, max(0, g.Granted))
	a.waiting -= d.Admitted
	a.credits += max(0, g.Extra)
	a.expires = o.Sent.Add(term)
	if !now.Before(a.expires) {
		a.credits = 0
	}
	used := min(a.waiting, a.credits)
	a.waiting, a.credits, d.Admitted = a.waiting-used, a.credits-used, d.Admitted+used
	a.grant, a.askAfter = *g, now
	switch {
	case g.Wait == 0:
	case g.Wait+g.Spread <= maxRoom:
		a.askAfter = now.Add(g.Wait)
	default:
		a.closed = now.Add(min(max(g.Wait, minClosed), maxClosed))
		d.Refused = a.waiting
		a.refused += a.waiting
		a.waiting = 0
	}
	return d
}

// Failed handles an ask without answer. Gone is set with proof that the granting node's
// process has ended, so that nothing it granted is granted again.
func (h *Holder) Failed(now time.Time, o *Outgoing, gone bool) {
	p := h.peer(o.To)
	p.inFlight = false
	p.failures++
	if gone {
		p.failures = max(p.failures, failuresToSkip)
		p.stamp, p.stampAt = Stamp{}, time.Time{}
		for i := range h.shards {
			if h.shards[i].delegate == o.To {
				h.shards[i].delegate = ""
			}
		}
	}
	delay := minProbeDelay << min(max(p.failures-failuresToSkip, 0), 10)
	p.probeAfter = now.Add(min(delay, maxProbeDelay))
}
