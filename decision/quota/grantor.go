package quota

import (
	"math"
	"slices"
	"time"

	"teaselring/mesh"
)

const (
	// prefetchShare is the part of a bucket that nodes may hold as unused credits. The rest
	// is for nodes that hold none.
	prefetchShare = 0.3
	// minWholeShare is the share of all nodes from which a bucket holds at least one
	// request. With fewer, as in a partition, many such buckets would exceed the allowance.
	minWholeShare = 0.25
	// refusedDecay is the time constant of the rate of refused requests.
	refusedDecay = time.Second
	// gatherTime is the time in which the shares of most nodes arrive at a new granting
	// node. Before, the rate is too low to tell when an account has room.
	gatherTime = 500 * time.Millisecond
	// minRoomWait and maxRoomWait bound the time until an account has room.
	minRoomWait = 20 * time.Millisecond
	maxRoomWait = 5 * time.Second
)

// Grantor grants credit to nodes. It is the state of the granting node and is lost when
// the node restarts: its buckets then begin empty.
type Grantor struct {
	settings Settings
	boot     uint64
	start    time.Time
	senders  map[mesh.NodeID]*sender
	shards   [Shards]grantorShard
}

// sender is what is known of a node that asks.
type sender struct {
	boot, seq uint64
	ended     []uint64 // earlier starts, the newest last
	heard     time.Time
}

// maxEnded bounds the earlier starts of a node whose late asks are recognised.
const maxEnded = 8

type grantorShard struct {
	delegations map[mesh.NodeID]*delegation
	buckets     map[mesh.AccountName]*bucket
	sums        shareSums
	fresh       float64   // sum of the shares that were delegated fresh
	began       time.Time // when the first share was delegated while there was none
}

// shareSums are the sums over the delegations of a shard.
type shareSums struct {
	all        float64
	mature     float64   // of those that began at least a term ago
	validUntil time.Time // zero: not valid
}

// delegation is the share of a node for all accounts of a shard.
type delegation struct {
	share        float64
	since, until time.Time
	fresh        bool
}

// bucket is the token bucket of an account.
type bucket struct {
	tokens   float64
	fresh    float64 // shares delegated fresh for which it got its first tokens
	held     map[mesh.NodeID]heldCredits
	refused  float64 // requests per second, decaying
	updated  time.Time
	lastUsed time.Time
}

type heldCredits struct {
	count int
	until time.Time
}

// NewGrantor returns the state after a start. Boot distinguishes the starts of the node.
func NewGrantor(settings Settings, boot uint64, now time.Time) *Grantor {
	g := &Grantor{settings: settings, boot: boot, start: now, senders: map[mesh.NodeID]*sender{}}
	for i := range g.shards {
		g.shards[i] = grantorShard{delegations: map[mesh.NodeID]*delegation{}, buckets: map[mesh.AccountName]*bucket{}}
	}
	return g
}

// Answer handles an ask. Nodes is the number of nodes that the granting node knows; limit
// returns the limit of an account, false if it has none. It returns false for an ask that
// is older than another one of its sender.
func (g *Grantor) Answer(now time.Time, ask *Ask, nodes int, limit func(mesh.AccountName) (Limit, bool)) (Answer, bool) {
	term := renewalsPerTerm * renewal(nodes)
	if !g.accept(now, ask, 2*term) {
		return Answer{}, false
	}
	for i := range g.shards {
		g.delegate(now, i, ask, nodes, term, limit)
	}
	answer := Answer{Stamp: Stamp{Boot: g.boot, At: now.Sub(g.start)}, Term: term}
	for i := range ask.Demands {
		d := &ask.Demands[i]
		if l, limited := limit(d.Account); limited {
			answer.Grants = append(answer.Grants, g.grant(now, ask.Node, d, l, term))
		}
	}
	return answer, true
}

// accept reports whether an ask is the newest one of its sender. A late one would restore
// a delegation that has ended.
func (g *Grantor) accept(now time.Time, ask *Ask, forget time.Duration) bool {
	s := g.senders[ask.Node]
	if s == nil || now.Sub(s.heard) > forget {
		g.senders[ask.Node] = &sender{boot: ask.Boot, seq: ask.Seq, heard: now}
		return true
	}
	if (ask.Boot == s.boot && ask.Seq <= s.seq) || slices.Contains(s.ended, ask.Boot) {
		return false
	}
	if ask.Boot != s.boot {
		s.ended = append(s.ended[max(0, len(s.ended)-maxEnded+1):], s.boot)
	}
	s.boot, s.seq, s.heard = ask.Boot, ask.Seq, now
	return true
}

// delegate records or ends the sender's delegation of one shard. Buckets are filled by
// the shares before the change.
func (g *Grantor) delegate(now time.Time, shard int, ask *Ask, nodes int, term time.Duration, limit func(mesh.AccountName) (Limit, bool)) {
	s := &g.shards[shard]
	current := s.delegations[ask.Node]
	until := g.start.Add(ask.Echo.At + term)
	wanted := ask.Delegated&(1<<shard) != 0 && ask.Echo.Boot == g.boot && ask.Echo.At <= now.Sub(g.start) && until.After(now)
	if current == nil && !wanted {
		return
	}
	share := 1 / float64(max(nodes, ask.Nodes))
	if wanted && current != nil && current.until.After(now) && current.share == share {
		current.until = until
		return
	}
	g.fillAll(now, s, term, limit)
	s.sums = shareSums{}
	if !wanted {
		delete(s.delegations, ask.Node)
		return
	}
	if len(s.delegations) == 0 {
		s.began = now
	}
	if current == nil || !current.until.After(now) {
		current = &delegation{since: now, fresh: ask.Fresh&(1<<shard) != 0}
		s.delegations[ask.Node] = current
		if current.fresh {
			s.fresh = min(s.fresh+share, 1)
		}
	}
	current.until, current.share = until, share
}

// fillAll fills the buckets of a shard and drops those that are no longer used.
func (g *Grantor) fillAll(now time.Time, s *grantorShard, term time.Duration, limit func(mesh.AccountName) (Limit, bool)) {
	for name, b := range s.buckets {
		if l, limited := limit(name); limited && now.Sub(b.lastUsed) < 4*term {
			g.fill(now, s, b, l, term)
		} else {
			delete(s.buckets, name) // it begins empty if it is used again
		}
	}
}

// shares returns the sum of the delegated shares, and of those that were delegated for so
// long that credit which another node granted for them has expired.
func (s *grantorShard) shares(now time.Time, term time.Duration) (all, mature float64) {
	if now.Before(s.sums.validUntil) {
		return s.sums.all, s.sums.mature
	}
	s.sums = shareSums{validUntil: now.Add(term)}
	for node, d := range s.delegations {
		if !d.until.After(now) {
			delete(s.delegations, node)
			continue
		}
		change := d.until
		s.sums.all += d.share
		if matureAt := d.since.Add(tolerant(term)); d.fresh || !matureAt.After(now) {
			s.sums.mature += d.share
		} else if matureAt.Before(change) {
			change = matureAt
		}
		if change.Before(s.sums.validUntil) {
			s.sums.validUntil = change
		}
	}
	s.sums.all, s.sums.mature = min(s.sums.all, 1), min(s.sums.mature, 1)
	return s.sums.all, s.sums.mature
}

// fill adds the tokens since the last update, up to the bucket's size.
func (g *Grantor) fill(now time.Time, s *grantorShard, b *bucket, l Limit, term time.Duration) (size, rate float64) {
	all, mature := s.shares(now, term)
	allowance := g.settings.allowance(l)
	size, rate = (l.Burst+extraBurstShare*allowance)*mature+startShare*allowance*(all-mature), l.Rate*all
	if all >= minWholeShare {
		size = max(size, 1)
	}
	elapsed := max(now.Sub(b.updated), 0)
	b.updated = now
	if s.fresh > b.fresh {
		b.tokens += (startShare + extraBurstShare) * allowance * (s.fresh - b.fresh)
		b.fresh = s.fresh
	}
	b.refused *= math.Exp(-elapsed.Seconds() / refusedDecay.Seconds())
	b.tokens = max(0, min(b.tokens+rate*elapsed.Seconds(), size-float64(b.heldByAll(now))))
	return size, rate
}

func (b *bucket) heldByAll(now time.Time) (sum int) {
	for node, h := range b.held {
		if !h.until.After(now) {
			delete(b.held, node)
			continue
		}
		sum += h.count
	}
	return sum
}

// take removes up to n whole tokens and returns their number.
func (b *bucket) take(n int) int {
	n = max(0, min(n, int(b.tokens)))
	b.tokens -= float64(n)
	return n
}

// grant decides on one account's demand: first for waiting requests, then for those that
// were admitted without credit, then for credits to hold.
func (g *Grantor) grant(now time.Time, node mesh.NodeID, d *Demand, l Limit, term time.Duration) Grant {
	s := &g.shards[shardOf(d.Account)]
	b := s.buckets[d.Account]
	if b == nil {
		b = &bucket{held: map[mesh.NodeID]heldCredits{}, updated: now}
		s.buckets[d.Account] = b
	}
	b.lastUsed = now
	b.held[node] = heldCredits{count: d.Held, until: now.Add(tolerant(term))}
	size, rate := g.fill(now, s, b, l, term)
	b.tokens = max(0, min(b.tokens+float64(d.Returned), size-float64(b.heldByAll(now))))
	b.refused += float64(d.Refused) / refusedDecay.Seconds()
	grant := Grant{Account: d.Account, Granted: b.take(d.Waiting), Paid: b.take(d.Unpaid)}
	if missing := d.Waiting + d.Unpaid - grant.Granted - grant.Paid; missing > 0 {
		grant.Excess = b.refused + float64(d.Waiting-grant.Granted)
		if now.Sub(s.began) < gatherTime {
			grant.Wait = minRoomWait
			return grant
		}
		grant.Wait = roomAfter(1-b.tokens, rate, minRoomWait)
		grant.Spread = roomAfter(grant.Excess, rate, 0)
		return grant
	}
	room := prefetchShare*size - float64(b.heldByAll(now))
	spare := b.tokens - (1-prefetchShare)*size
	grant.Extra = b.take(int(min(float64(d.Want), room, spare)))
	b.held[node] = heldCredits{count: d.Held + grant.Extra, until: now.Add(tolerant(term))}
	return grant
}

// roomAfter returns the time until a rate has produced a number of tokens.
func roomAfter(tokens, rate float64, least time.Duration) time.Duration {
	if rate <= 0 { // the shares arrive within moments, or when a delegation elsewhere ends
		return least
	}
	return min(max(time.Duration(tokens/rate*float64(time.Second)), least), maxRoomWait)
}
