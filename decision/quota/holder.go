package quota

import (
	"slices"
	"sort"
	"time"

	"teaselring/mesh"
)

const (
	// maxCandidates is the number of granting nodes that a node tries in order before it
	// grants credit to itself, from its own share.
	maxCandidates = 3
	// askGap is the least time between two asks to one granting node, unless a request
	// waits. It bounds how late the granting node learns of demand.
	askGap = 100 * time.Millisecond
	// failuresToSkip is the number of asks without answer after which a granting node is
	// skipped. A busy instance stands still for up to 100 ms at a time.
	failuresToSkip = 2
	minProbeDelay  = 500 * time.Millisecond
	maxProbeDelay  = 8 * time.Second
	// holdTime is the time for which a node holds credit ahead of its demand: the gap
	// between two asks, an answer, and a pause of either node.
	holdTime = 300 * time.Millisecond
	// minAssumedNodes is the least number of nodes by which a node divides limits before it
	// knows all nodes. A node that knows only itself would otherwise spend the whole limit.
	minAssumedNodes = 24
	// activeTime is how long a node holds credit for an account without requests.
	activeTime = 10 * time.Second
	// maxWant bounds the credits that a node holds for one account.
	maxWant = 50
	// maxRoom is the time until there is room for which requests wait.
	maxRoom = 40 * time.Millisecond
	// minClosed and maxClosed bound the time for which requests are refused without
	// asking again.
	minClosed = 50 * time.Millisecond
	maxClosed = 200 * time.Millisecond
)

// Holder is the state of a node that admits requests: its credit, and which nodes grant it.
type Holder struct {
	settings Settings
	self     mesh.NodeID
	boot     uint64
	seq      uint64
	// linesFrom is the time from which requests may be admitted without credit: before, the
	// lines may be in use from the time before the node's start.
	linesFrom  time.Time
	firstStart bool
	nodes      []mesh.NodeID
	count      int // of nodes by which shares and lines are divided
	shards     [Shards]holderShard
	peers      map[mesh.NodeID]*peer
	accounts   map[mesh.AccountName]*account
}

// holderShard is the state of one shard's delegation.
type holderShard struct {
	candidates []mesh.NodeID
	delegate   mesh.NodeID // granting node that has the shares; empty: none
	until      time.Time   // when the delegation has certainly ended
	used       bool        // there is an account with a limit
	first      mesh.NodeID // granting node that had the shares first, and its start
	firstBoot  uint64
}

// peer is what is known of a granting node.
type peer struct {
	stamp      Stamp
	stampAt    time.Time // when the stamp was received
	term       time.Duration
	asked      time.Time // of the last ask
	inFlight   bool
	failures   int
	probeAfter time.Time
}

func (p *peer) usable() bool { return p.failures < failuresToSkip }

// account is the state of one account on the node.
type account struct {
	limit     Limit
	lineCount int // of requests that may be admitted without credit
	lineUses  []time.Time
	credits   int
	expires   time.Time
	waiting   int
	returned  int
	refused   int
	rate      rateEstimate
	closed    time.Time // until then requests are refused
	askAfter  time.Time // until then waiting requests are not asked for again
	grant     Grant     // the last one
	due       bool      // report within askGap
}

// NewHolder returns the state after a start. Boot differs for each start of the node.
// FirstStart is set when no node has admitted a request before.
func NewHolder(settings Settings, self mesh.NodeID, boot uint64, now time.Time, firstStart bool) *Holder {
	h := &Holder{settings: settings, self: self, boot: boot, linesFrom: now, firstStart: firstStart, peers: map[mesh.NodeID]*peer{}, accounts: map[mesh.AccountName]*account{}}
	if !firstStart {
		h.linesFrom = now.Add(tolerant(settings.Window))
	}
	return h
}

// SetNodes sets the nodes that grant credit, the node itself included. Complete is false
// while the node may not know all of them.
func (h *Holder) SetNodes(nodes []mesh.NodeID, complete bool) {
	count := len(nodes)
	if !complete {
		count = max(count, minAssumedNodes)
	}
	if count == h.count && slices.Equal(nodes, h.nodes) {
		return
	}
	h.nodes, h.count = nodes, count
	for i := range h.shards {
		h.shards[i].candidates = h.candidates(i)
	}
	for name, a := range h.accounts {
		a.lineCount = h.lineCount(name, a.limit)
	}
}

// Nodes returns the number of nodes by which shares are divided.
func (h *Holder) Nodes() int { return h.count }

// Skipped reports whether a granting node is skipped, since it does not answer.
func (h *Holder) Skipped(node mesh.NodeID) bool { return !h.peer(node).usable() }

// candidates returns the granting nodes of a shard in order. The node itself is the last
// one, for the time in which it reaches no other.
func (h *Holder) candidates(shard int) []mesh.NodeID {
	salt := string(rune('a' + shard))
	var order []mesh.NodeID
	var weights []uint64
	for _, node := range h.nodes {
		w := weight(salt, string(node))
		at := sort.Search(len(weights), func(i int) bool { return weights[i] < w })
		if at < maxCandidates {
			order, weights = slices.Insert(order, at, node), slices.Insert(weights, at, w)
			order, weights = order[:min(len(order), maxCandidates)], weights[:min(len(weights), maxCandidates)]
		}
	}
	if !slices.Contains(order, h.self) {
		order = append(order, h.self)
	}
	return order
}

// lineCount returns how many requests of an account may be admitted without credit.
func (h *Holder) lineCount(name mesh.AccountName, l Limit) int {
	rank, own := 0, weight(string(name), string(h.self))
	for _, node := range h.nodes {
		if weight(string(name), string(node)) > own {
			rank++
		}
	}
	return h.settings.lines(l, rank, h.count)
}

// SetLimits sets the limits of all accounts that have one.
func (h *Holder) SetLimits(limits map[mesh.AccountName]Limit) {
	for i := range h.shards {
		h.shards[i].used = false
	}
	for name, l := range limits {
		h.shards[shardOf(name)].used = true
		a := h.accounts[name]
		if a == nil {
			a = &account{}
			h.accounts[name] = a
		}
		a.limit, a.lineCount = l, h.lineCount(name, l)
	}
	for name, a := range h.accounts {
		if _, limited := limits[name]; !limited && a.waiting == 0 {
			delete(h.accounts, name)
		}
	}
}

// Verdict is the decision on one request.
type Verdict uint8

// Verdicts.
const (
	Admitted Verdict = iota
	Waiting          // until an answer of a granting node, or until Abandon
	Refused
)

// Take decides on a request of an account. Accounts without limit are always admitted.
func (h *Holder) Take(now time.Time, name mesh.AccountName) Verdict {
	a := h.accounts[name]
	if a == nil || len(h.nodes) == 0 { // without a view of the nodes nothing can run
		return Admitted
	}
	a.rate.add(now)
	a.expire(now, h.settings)
	switch {
	case a.credits > 0:
		a.credits--
		a.due = a.due || 2*a.credits <= a.want(now)
		return Admitted
	case now.Before(a.closed):
		return h.refuse(a)
	case len(a.lineUses) < a.lineCount && !now.Before(h.linesFrom):
		a.lineUses = append(a.lineUses, now)
		a.due = true
		return Admitted
	}
	a.waiting++
	return Waiting
}

// Abandon ends the wait of one request without credit. Further requests are refused for a
// moment, since the granting node is slow or has no share of the account's rate yet.
func (h *Holder) Abandon(now time.Time, name mesh.AccountName) {
	if a := h.accounts[name]; a != nil && a.waiting > 0 {
		a.waiting--
		a.closed = now.Add(minClosed)
		h.refuse(a)
	}
}

func (h *Holder) refuse(a *account) Verdict {
	a.refused++
	a.due = true
	return Refused
}

// Return gives back the credit of a request that did not run.
func (h *Holder) Return(name mesh.AccountName) {
	a := h.accounts[name]
	if a == nil {
		return
	}
	a.due = true
	if n := len(a.lineUses); n > 0 {
		a.lineUses = a.lineUses[:n-1]
		return
	}
	// The granting node adds it to the bucket, whose size bounds what may run later.
	a.returned++
}

// Room returns when an account has room again, spread over those that were refused by a
// uniform random number in [0, 1), and the rate of refused requests over all nodes.
func (h *Holder) Room(now time.Time, name mesh.AccountName, draw float64) (after time.Duration, excess float64) {
	a := h.accounts[name]
	if a == nil {
		return 0, 0
	}
	wait := max(a.grant.Wait, a.closed.Sub(now), minRoomWait)
	return wait + time.Duration(draw*float64(a.grant.Spread)), a.grant.Excess
}

// Credits returns the number of unused credits of all accounts.
func (h *Holder) Credits() (sum int) {
	for _, a := range h.accounts {
		sum += a.credits
	}
	return sum
}

// expire drops credits that the granting node counts as expired, and ends lines in use
// after a window, in which their requests count.
func (a *account) expire(now time.Time, s Settings) {
	if !now.Before(a.expires) {
		a.credits = 0
	}
	for len(a.lineUses) > 0 && now.Sub(a.lineUses[0]) >= tolerant(s.Window) {
		a.lineUses = a.lineUses[1:]
	}
}

// want returns how many credits to hold beside the requests that may be admitted without
// credit.
func (a *account) want(now time.Time) int {
	if now.Sub(a.rate.last) > activeTime {
		return 0
	}
	return max(0, min(1+int(a.rate.at(now)*holdTime.Seconds()+0.5), maxWant)-a.lineCount)
}
