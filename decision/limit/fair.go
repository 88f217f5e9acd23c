package limit

import (
	"container/list"
	"math"
	"slices"

	"teaselring/mesh"
)

// fairQueue orders the waiting calls of one rank by start-time fair queueing (Goyal, Vin and
// Cheng, 1996). Each flow has a start tag, the slot time that it has used; the call of the
// flow with the lowest tag starts next. A flow that has used less than the others gains a
// credit of burstCredit calls at most, so that the few calls that a small account sends at
// once don't wait for each other's turn.
//
// Load pattern: one account sends several times its usual load and fills the queue, so that
// the calls of the others wait behind it or find the queue full.
type fairQueue struct {
	flows    map[flowKey]*flow
	byTag    indexedHeap[*flow] // flows with waiting calls, the next to be served first
	byLength indexedHeap[*flow] // the same flows, the longest first
	virtual  float64            // start tag of the call that started last, in ns of slot time
	sweepAt  int                // number of flows at which those without a claim are removed
	credit   float64            // of a flow that has used less than the others, in ns
	waiting  int
	work     float64 // expected hold time of all waiting calls, in ns
}

// flowKey identifies a flow: an account, or all calls without one. Calls with a short
// target are flows of their own, so that they don't wait behind calls that can wait.
type flowKey struct {
	account mesh.AccountName
	short   bool
}

// ofServers reports whether the flow holds the calls that servers make for their own
// requests. They are those of all accounts, so that the share of one account is too little
// for them: one booking in seven failed. They are not charged, and so start first; each
// belongs to a request that has already been admitted.
func (k flowKey) ofServers() bool { return k.short && k.account == "" }

type flow struct {
	key        flowKey
	waiters    list.List // of *waiter, in order of arrival
	tag        float64   // start tag of the next call
	byTagIndex int
	lenIndex   int
}

func (f *flow) front() *waiter { return f.waiters.Front().Value.(*waiter) }

const (
	// burstCredit is in calls. Without it, accounts that used 60% of their share lost 5% of
	// their calls to an account that sent seven times the capacity.
	burstCredit = 2
	// minSweep is the number of flows at the first sweep.
	minSweep = 64
	// maxIdleFlows bounds the flows that are kept without waiting calls.
	maxIdleFlows = 256
)

func newFairQueue() fairQueue {
	return fairQueue{
		flows: map[flowKey]*flow{}, sweepAt: minSweep,
		byTag: indexedHeap[*flow]{
			before: func(a, b *flow) bool {
				return a.tag < b.tag || (a.tag == b.tag && a.front().sequence < b.front().sequence)
			},
			position: func(f *flow) *int { return &f.byTagIndex },
		},
		byLength: indexedHeap[*flow]{
			before:   func(a, b *flow) bool { return a.waiters.Len() > b.waiters.Len() },
			position: func(f *flow) *int { return &f.lenIndex },
		},
	}
}

// push adds a call.
func (q *fairQueue) push(w *waiter) {
	f := q.flows[w.flowKey()]
	if f == nil {
		q.sweep()
		f = &flow{key: w.flowKey(), tag: math.Inf(-1)}
		q.flows[f.key] = f
	}
	w.flow, w.element = f, f.waiters.PushBack(w)
	q.waiting++
	q.work += w.cost
	if f.waiters.Len() > 1 {
		q.byLength.fix(f)
		return
	}
	q.credit = burstCredit * w.cost
	f.tag = max(f.tag, q.virtual-q.credit)
	q.byTag.add(f)
	q.byLength.add(f)
}

// next returns the call to start next, nil without one.
func (q *fairQueue) next() *waiter {
	if len(q.byTag.items) == 0 {
		return nil
	}
	return q.byTag.items[0].front()
}

// start removes the next call and charges its flow.
func (q *fairQueue) start(w *waiter) {
	f := w.flow
	q.virtual = max(q.virtual, f.tag)
	if !f.key.ofServers() {
		f.tag += w.cost
	}
	q.remove(w)
}

// charge corrects the charge of a call by the difference between its hold time and the
// expected one.
func (q *fairQueue) charge(f *flow, difference float64) {
	if f == nil || q.flows[f.key] != f || f.key.ofServers() {
		return // forgotten since the start, or never charged
	}
	f.tag += difference
	if f.waiters.Len() > 0 {
		q.byTag.fix(f)
	}
}

// remove removes a waiting call. When none waits any more, nobody lacks slots, and what
// the flows have used is forgotten.
func (q *fairQueue) remove(w *waiter) {
	f := w.flow
	f.waiters.Remove(w.element)
	q.waiting--
	q.work -= w.cost
	if f.waiters.Len() > 0 {
		q.byTag.fix(f)
		q.byLength.fix(f)
		return
	}
	q.byTag.remove(f)
	q.byLength.remove(f)
	if q.waiting == 0 {
		clear(q.flows)
		q.virtual, q.work, q.sweepAt = 0, 0, minSweep
	}
}

// sweep removes the flows that wait for nothing and have no claim, once the number of
// flows has doubled; a push takes O(1) for it on average.
func (q *fairQueue) sweep() {
	if len(q.flows) < q.sweepAt {
		return
	}
	q.removeIdle(q.virtual - q.credit)
	if len(q.flows)-len(q.byTag.items) > maxIdleFlows {
		q.removeIdle(math.Inf(1))
	}
	q.sweepAt = max(minSweep, 2*len(q.flows))
}

// removeIdle removes the flows without waiting calls and with a tag of at most maxTag.
func (q *fairQueue) removeIdle(maxTag float64) {
	for key, f := range q.flows {
		if f.waiters.Len() == 0 && f.tag <= maxTag {
			delete(q.flows, key)
		}
	}
}

// ahead estimates how many waiting calls start before a new call of a flow: those of its
// own, and as many of each other flow as its own tag is ahead of the virtual time.
func (q *fairQueue) ahead(w *waiter) int {
	own, others, tag := 0, len(q.byTag.items), q.virtual-burstCredit*w.cost
	if f := q.flows[w.flowKey()]; f != nil {
		tag = max(tag, f.tag)
		if own = f.waiters.Len(); own > 0 {
			others--
		}
	}
	calls := own
	if w.flowKey().ofServers() {
		return calls
	}
	if lead := (tag-q.virtual)/w.cost + float64(own); lead >= 0 {
		calls += others * (int(min(lead, float64(q.waiting))) + 1)
	}
	return min(q.waiting, calls)
}

// longest returns the newest call of the longest flow if that flow is longer than another
// would be with one more call, else nil.
func (q *fairQueue) longest(than flowKey) *waiter {
	if len(q.byLength.items) == 0 {
		return nil
	}
	longest, own := q.byLength.items[0], 0
	if f := q.flows[than]; f != nil {
		own = f.waiters.Len()
	}
	if longest.key == than || longest.waiters.Len() <= own+1 {
		return nil
	}
	return longest.waiters.Back().Value.(*waiter)
}

// ordered returns the waiting calls in the order in which they start if no other comes.
func (q *fairQueue) ordered() []*waiter {
	type tagged struct {
		*waiter
		tag float64
	}
	var calls []tagged
	for _, f := range q.byTag.items {
		tag := f.tag
		for e := f.waiters.Front(); e != nil; e = e.Next() {
			w := e.Value.(*waiter)
			calls = append(calls, tagged{w, tag})
			tag += w.cost
		}
	}
	slices.SortFunc(calls, func(a, b tagged) int {
		switch {
		case a.tag < b.tag:
			return -1
		case a.tag > b.tag:
			return 1
		}
		return int(a.sequence) - int(b.sequence)
	})
	ordered := make([]*waiter, len(calls))
	for i := range calls {
		ordered[i] = calls[i].waiter
	}
	return ordered
}
