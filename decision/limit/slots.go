// Package limit bounds the concurrent calls: Slots and Attempts of the upstream
// beside an owner node, CallerLimits of an entry node.
package limit

import (
	"container/list"
	"time"

	"teaselring/mesh"
	"teaselring/result"
)

// Params are the constants of Slots.
type Params struct {
	// QueueWait is the maximum time that a call waits for a slot.
	QueueWait time.Duration
	// DecreaseFactor is applied to the adaptive limit when the upstream sheds.
	DecreaseFactor float64
	// DecreaseInterval is the minimum time between two reductions of the limit.
	// Calls that started under the old limit may still be shed in that time.
	DecreaseInterval time.Duration
}

// DefaultParams returns the values used in production.
func DefaultParams() Params {
	return Params{QueueWait: 250 * time.Millisecond, DecreaseFactor: 0.7, DecreaseInterval: 100 * time.Millisecond}
}

// Request is a request for a slot.
type Request struct {
	Attempt  mesh.AttemptID
	Class    mesh.Class
	Deadline time.Time
	// StartBy replaces Params.QueueWait unless zero.
	StartBy time.Time
	// SoftDeadline is the time until which the response has its full value; zero: none.
	SoftDeadline time.Time
	// Account is the client account of the call; empty: none.
	Account mesh.AccountName
	// Priority replaces the rank of the class if HasPriority is set; 0 is the highest.
	Priority    int
	HasPriority bool
}

func (q *Request) rank() rank {
	if !q.HasPriority {
		return rankOf(q.Class)
	}
	return highestPriorityRank - rank(min(max(q.Priority, 0), mesh.PriorityLevels-1))
}

// flowKey returns the flow of a call among those of its rank.
func (q *Request) flowKey() flowKey {
	return flowKey{account: q.Account, short: mesh.ShortTarget(q.StartBy, q.SoftDeadline)}
}

// holdTimeMargin is the time reserved for the execution of a call with a soft
// deadline, as a multiple of the average hold time. About one call in seven takes
// longer.
const holdTimeMargin = 1.5

// latestStart returns the time by which a request must start. A call with a soft
// deadline waits only while its response can still be expected by then, but at least
// for half of QueueWait. The soft deadline of a call with a short target is ignored.
func (s *Slots) latestStart(q *Request, now time.Time) time.Time {
	if q.StartBy.IsZero() {
		return mesh.Earlier(q.Deadline, now.Add(s.params.QueueWait))
	}
	latestStart := mesh.Earlier(q.Deadline, q.StartBy)
	if q.SoftDeadline.IsZero() || mesh.ShortTarget(q.StartBy, q.SoftDeadline) {
		return latestStart
	}
	latestUseful := q.SoftDeadline.Add(-time.Duration(holdTimeMargin * s.holdTimes.expected(q)))
	if minStart := now.Add(s.params.QueueWait / 2); latestUseful.Before(minStart) {
		latestUseful = minStart
	}
	return mesh.Earlier(latestStart, latestUseful)
}

// Refusal is a queued call that is refused, with the reason.
type Refusal struct {
	Attempt mesh.AttemptID
	Err     error
}

// Slots holds the calls in flight on one upstream and the queue in front of
// it. It is not safe for concurrent use.
type Slots struct {
	params         Params
	slots          int
	maxQueue       int
	draining       bool
	adaptiveLimit  adaptiveLimit
	queue          [rankCount]fairQueue
	expiry         indexedHeap[*waiter] // all waiting calls, the earliest latest start first
	sequence       uint64               // of the call that was queued last
	running        map[mesh.AttemptID]runningCall
	runningUploads int
	holdTimes      holdTimes
	refusals       refusals

	startBound  StartBound // nil: none
	concurrency int        // of StartBound at the last Dispatch; 0: no bound
	refusedCold int64
}

type waiter struct {
	Request
	enqueuedAt  time.Time
	latestStart time.Time // at most the deadline of the call
	sequence    uint64    // in order of arrival
	cost        float64   // expected hold time, in ns
	flow        *flow
	element     *list.Element // in flow.waiters
	expiryIndex int
}

type runningCall struct {
	rank      rank
	class     mesh.Class
	startedAt time.Time
	running   int // calls in flight at its start, with itself
	flow      *flow
	cost      float64
}

// rank orders calls by importance. Lower ranks are shed first.
type rank int

const (
	rankRead rank = iota
	rankUpload
	rankOnce
	// lowestPriorityRank to highestPriorityRank are the ranks of calls with a priority.
	lowestPriorityRank
	highestPriorityRank = lowestPriorityRank + mesh.PriorityLevels - 1
	rankCount           = highestPriorityRank + 1
)

func rankOf(c mesh.Class) rank {
	switch c {
	case mesh.ClassOnce:
		return rankOnce
	case mesh.ClassUpload:
		return rankUpload
	}
	return rankRead
}

// NewSlots returns Slots that refuse all calls until Resize.
func NewSlots(params Params) *Slots {
	s := &Slots{
		params: params, running: map[mesh.AttemptID]runningCall{},
		expiry: indexedHeap[*waiter]{
			before:   func(a, b *waiter) bool { return a.latestStart.Before(b.latestStart) },
			position: func(w *waiter) *int { return &w.expiryIndex },
		},
	}
	for r := range s.queue {
		s.queue[r] = newFairQueue()
	}
	return s
}

// Resize sets the number of slots and the maximum queue length. Running calls in
// excess of a smaller number end normally.
func (s *Slots) Resize(slots, queue int) {
	if slots != s.slots {
		s.adaptiveLimit.reset(slots)
	}
	s.slots, s.maxQueue = slots, queue
}

// SetDraining sets whether new calls are refused. While it is set, Dispatch
// refuses the queued calls too.
func (s *Slots) SetDraining(draining bool) { s.draining = draining }

// Enqueue adds a call to the queue, from which Dispatch starts it when a slot is
// free. It returns the less important call that was evicted in its favour, if any,
// or an error when the call is refused.
func (s *Slots) Enqueue(q Request, now time.Time) (*Refusal, error) {
	if s.draining {
		return nil, result.Draining.Err()
	}
	if s.slots == 0 {
		return nil, result.Draining.Errorf("no upstream is ready")
	}
	if !q.Deadline.After(now) {
		return nil, result.DeadlineBefore.Err()
	}
	w := &waiter{Request: q, enqueuedAt: now, latestStart: s.latestStart(&q, now), cost: s.cost(&q)}
	nextStart := s.boundStart(s.ahead(w)+1, now)
	if nextStart.After(now) && nextStart.After(w.latestStart) {
		return nil, s.refuseCold(w, nextStart, now)
	}
	if !s.canStart(q.rank()) || nextStart.After(now) {
		return s.enqueueWaiting(w)
	}
	s.push(w)
	return nil, nil
}

// minCost is the charge for a call whose hold time is not known.
const minCost = float64(time.Millisecond)

// cost returns the expected hold time of a call, in ns.
func (s *Slots) cost(q *Request) float64 { return max(s.holdTimes.expected(q), minCost) }

// Dispatch refuses the queued calls that have expired, then starts as many as
// there are free slots, the highest rank first.
func (s *Slots) Dispatch(now time.Time) (started []mesh.AttemptID, refused []Refusal) {
	refused = append(s.expire(now), s.expireBound(now)...)
	if s.startBound != nil {
		s.concurrency = s.startBound.Concurrency(time.Duration(s.holdTimes.all), now)
	}
	for r := rankCount - 1; r >= rankRead; r-- {
		for s.queue[r].waiting > 0 && s.canStart(r) && !s.boundStart(1, now).After(now) {
			w := s.queue[r].next()
			s.start(w, now)
			started = append(started, w.Attempt)
		}
	}
	return started, refused
}

// canStart reports whether a call of a rank may start now. Uploads are slow, so
// they hold at most half of the slots, rounded up.
func (s *Slots) canStart(r rank) bool {
	if s.draining || s.slots == 0 || len(s.running) >= s.Limit() {
		return false
	}
	return r != rankUpload || s.runningUploads < half(s.Limit())
}

func (s *Slots) start(w *waiter, now time.Time) {
	r := w.rank()
	s.queue[r].start(w)
	s.expiry.remove(w)
	if r == rankUpload {
		s.runningUploads++
	}
	s.running[w.Attempt] = runningCall{rank: r, class: w.Class, startedAt: now, running: len(s.running) + 1, flow: w.flow, cost: w.cost}
	if s.startBound != nil {
		s.startBound.Started(now)
	}
}

// Abandon frees the slot of an attempt that didn't use it or whose upstream was
// lost. It leaves the adaptive limit unchanged.
func (s *Slots) Abandon(id mesh.AttemptID) { s.removeRunning(id) }

// Release frees the slot of an attempt. Shed is set when the upstream refused it,
// reported is the load that it sent with the refusal, or nil. Unknown attempts are
// ignored.
func (s *Slots) Release(id mesh.AttemptID, shed bool, reported *mesh.Load, now time.Time) {
	full := len(s.running) >= s.Limit()
	r, ok := s.removeRunning(id)
	if !ok {
		return
	}
	s.refusals.record(r.running, reported, shed, now)
	if shed {
		if overloaded(reported, full) && !s.refusals.atAnyLoad(now) {
			s.adaptiveLimit.decrease(now, &s.params)
		}
		return
	}
	s.adaptiveLimit.increase(full, s.slots)
	held := float64(now.Sub(r.startedAt))
	s.queue[r.rank].charge(r.flow, held-r.cost)
	s.holdTimes.add(r.rank, r.class, held)
}

// overloaded reports whether an upstream refused a call for lack of slots. If it
// refuses a fixed share of calls at any load, a lower limit would not reduce that
// share. All its calls pass through this node, so without a reported load the
// slots in use decide.
func overloaded(reported *mesh.Load, full bool) bool {
	if reported == nil || reported.Limit <= 0 {
		return full
	}
	return reported.Queued > 0 || reported.InFlight >= reported.Limit
}

func (s *Slots) removeRunning(id mesh.AttemptID) (runningCall, bool) {
	r, ok := s.running[id]
	if !ok {
		return r, false
	}
	delete(s.running, id)
	if r.rank == rankUpload {
		s.runningUploads--
	}
	return r, true
}

// Limit returns the current concurrency limit: at least 1, at most the number of
// slots.
func (s *Slots) Limit() int { return s.adaptiveLimit.current(s.slots) }

// Running returns the number of calls in flight.
func (s *Slots) Running() int { return len(s.running) }

// Load returns the load report that is attached to responses. Its limit is 0 while no
// upstream is known: a limit of 1 would look like an upstream with a single slot. It is
// reduced while StartBound bounds the concurrency, so that entry nodes send less.
func (s *Slots) Load() mesh.Load {
	load := mesh.Load{InFlight: len(s.running), Queued: s.Waiting(), Slowness: s.holdTimes.slowness}
	if s.slots > 0 {
		load.Limit = s.Limit()
	}
	if s.concurrency > 0 {
		load.Limit = min(load.Limit, s.concurrency)
	}
	return load
}

// SetSlowness records how long work takes on the upstream's instance, in percent of the
// usual time.
func (s *Slots) SetSlowness(percent int) { s.holdTimes.slowness = percent }

func half(n int) int { return (n + 1) / 2 }
