// Package limit decides how many calls run at a time: Slots and Attempts for
// the upstream beside an owner node, CallerLimits for an entry node.
package limit

import (
	"time"

	"teaselring/mesh"
	"teaselring/result"
)

// Params are the constants of Slots.
type Params struct {
	// QueueWait is the longest time that a call waits for a slot.
	QueueWait time.Duration
	// Backoff multiplies the adaptive limit when the upstream sheds.
	Backoff float64
	// BackoffPause is the least time between two reductions of the limit. Calls
	// that started under the old limit may still be shed in that time.
	BackoffPause time.Duration
}

// DefaultParams returns the values used in production.
func DefaultParams() Params {
	return Params{QueueWait: 250 * time.Millisecond, Backoff: 0.7, BackoffPause: 100 * time.Millisecond}
}

// Request asks for a slot.
type Request struct {
	Attempt  mesh.AttemptID
	Class    mesh.Class
	Deadline time.Time
	// StartBy replaces the queue's longest wait; zero: it applies.
	StartBy time.Time
	// Aim is when the answer loses a part of its worth; zero: never.
	Aim time.Time
	// Priority ranks the call instead of its class where Ranked; 0 is first.
	Priority int
	Ranked   bool
}

func (q *Request) rank() rank {
	if !q.Ranked {
		return rankOf(q.Class)
	}
	return rankFirst - rank(min(max(q.Priority, 0), priorities-1))
}

// workMargin times the average hold time is left of the time until a call's aim
// for its work; about one call in seven takes longer.
const workMargin = 1.5

// until returns the time at which a request must have started. A call with an
// aim waits only as long as its answer can be expected by then, but at least for
// half of the queue's longest wait. One that may start after its aim is of use
// late as well: such calls are made by servers for requests of their own.
func (s *Slots) until(q *Request, now time.Time) time.Time {
	if q.StartBy.IsZero() {
		return earlier(q.Deadline, now.Add(s.params.QueueWait))
	}
	until := earlier(q.Deadline, q.StartBy)
	if q.Aim.IsZero() || !q.StartBy.Before(q.Aim) {
		return until
	}
	useful := q.Aim.Add(-time.Duration(workMargin * s.holdTime[q.rank()]))
	if least := now.Add(s.params.QueueWait / 2); useful.Before(least) {
		useful = least
	}
	return earlier(until, useful)
}

// Refusal is a waiting call that will not start, with the reason.
type Refusal struct {
	Attempt mesh.AttemptID
	Err     error
}

// Slots holds the calls in flight on one upstream and the queue in front of
// it. It is not safe for concurrent use.
type Slots struct {
	params   Params
	slots    int
	maxQueue int
	draining bool
	adaptive adaptive
	queue    [ranks][]waiter // in order of arrival
	running  map[mesh.AttemptID]run
	uploads  int // running
	// holdTime is the average time that a call of each rank holds its slot, in
	// ns. One slow upload must not make reads look slow.
	holdTime [ranks]float64
}

type waiter struct {
	Request
	since time.Time
	until time.Time // queue deadline, at most the deadline of the call
}

type run struct {
	rank  rank
	since time.Time
}

// rank is the importance of a class. Lower ranks are shed first.
type rank int

const (
	rankRead rank = iota
	rankUpload
	rankOnce
	// rankLast to rankFirst are the ranks of calls with a priority.
	rankLast
	rankFirst = rankLast + priorities - 1
	ranks     = rankFirst + 1
)

// priorities is the number of priorities that are told apart. Less important
// ones share the last.
const priorities = 8

func rankOf(c mesh.Class) rank {
	switch c {
	case mesh.ClassOnce:
		return rankOnce
	case mesh.ClassUpload:
		return rankUpload
	}
	return rankRead
}

// NewSlots returns Slots of an upstream that accepts no call until Resize.
func NewSlots(params Params) *Slots {
	return &Slots{params: params, running: map[mesh.AttemptID]run{}}
}

// Resize sets the slots of the upstream and the length of the queue. Calls
// that run beyond a smaller number end normally.
func (s *Slots) Resize(slots, queue int) {
	if slots != s.slots {
		s.adaptive.reset(slots)
	}
	s.slots, s.maxQueue = slots, queue
}

// SetDraining sets whether new work is refused. Dispatch then refuses the
// waiting calls too.
func (s *Slots) SetDraining(draining bool) { s.draining = draining }

// Enqueue adds a call to the queue; Dispatch starts it as soon as a slot is
// free, at once if one is. It returns the less important call that lost its
// place to this one, if any, or an error when the call is refused.
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
	w := waiter{Request: q, since: now, until: s.until(&q, now)}
	if !s.startable(q.rank()) {
		return s.enqueueWaiting(w)
	}
	s.push(w)
	return nil, nil
}

func (s *Slots) enqueueWaiting(w waiter) (*Refusal, error) {
	r := w.rank()
	if r == rankUpload && len(s.queue[rankUpload]) >= half(s.maxQueue) {
		return nil, result.ClassLimit.Errorf("%d uploads run and %d wait", s.uploads, len(s.queue[rankUpload]))
	}
	if expected := s.expectedWait(r); w.since.Add(expected).After(w.until) {
		return nil, result.QueueFull.Errorf("the expected wait of %v exceeds the deadline", expected)
	}
	var evicted *Refusal
	if s.Waiting() >= s.maxQueue {
		if evicted = s.evictBelow(r); evicted == nil {
			return nil, result.QueueFull.Errorf("%d calls wait", s.Waiting())
		}
	}
	s.push(w)
	return evicted, nil
}

func (s *Slots) push(w waiter) {
	r := w.rank()
	s.queue[r] = append(s.queue[r], w)
}

// evictBelow removes the newest waiter of the least important class below r.
func (s *Slots) evictBelow(r rank) *Refusal {
	for lower := rankRead; lower < r; lower++ {
		if n := len(s.queue[lower]); n > 0 {
			w := s.queue[lower][n-1]
			s.queue[lower] = s.queue[lower][:n-1]
			return &Refusal{w.Attempt, result.QueueFull.Errorf("a more important call took the place in the queue")}
		}
	}
	return nil
}

// expectedWait estimates the time until a new call of a rank starts: the calls
// ahead of it in the queue, each holding one of limit slots for the average time.
func (s *Slots) expectedWait(r rank) time.Duration {
	ahead := 1
	for higher := r; higher < ranks; higher++ {
		ahead += len(s.queue[higher])
	}
	return time.Duration(float64(ahead) * s.holdTime[r] / float64(s.Limit()))
}

// Dispatch starts as many waiting calls as there are free slots, the most
// important class first, and refuses those whose time is over.
func (s *Slots) Dispatch(now time.Time) (started []mesh.AttemptID, refused []Refusal) {
	refused = s.expire(now)
	for r := ranks - 1; r >= rankRead; r-- {
		for len(s.queue[r]) > 0 && s.startable(r) {
			w := s.queue[r][0]
			s.queue[r] = s.queue[r][1:]
			s.start(w, now)
			started = append(started, w.Attempt)
		}
	}
	return started, refused
}

// startable reports whether a call of a rank may start now. Uploads hold at
// most half of the slots, rounded up, because they are slow.
func (s *Slots) startable(r rank) bool {
	if s.draining || s.slots == 0 || len(s.running) >= s.Limit() {
		return false
	}
	return r != rankUpload || s.uploads < half(s.Limit())
}

func (s *Slots) start(w waiter, now time.Time) {
	r := w.rank()
	if r == rankUpload {
		s.uploads++
	}
	s.running[w.Attempt] = run{rank: r, since: now}
}

// expire removes the waiters that must not start any more.
func (s *Slots) expire(now time.Time) []Refusal {
	var refused []Refusal
	s.filter(func(w *waiter) bool {
		err := s.expired(w, now)
		if err != nil {
			refused = append(refused, Refusal{w.Attempt, err})
		}
		return err == nil
	})
	return refused
}

func (s *Slots) expired(w *waiter, now time.Time) error {
	switch {
	case s.draining:
		return result.Draining.Err()
	case !w.Deadline.After(now):
		return result.DeadlineBefore.Err()
	case !w.until.After(now):
		return result.QueueTimeout.Errorf("no slot was free for %v", now.Sub(w.since))
	}
	return nil
}

// Prune removes the waiters for which gone returns true and returns them.
func (s *Slots) Prune(gone func(mesh.AttemptID) bool) []mesh.AttemptID {
	var removed []mesh.AttemptID
	s.filter(func(w *waiter) bool {
		if !gone(w.Attempt) {
			return true
		}
		removed = append(removed, w.Attempt)
		return false
	})
	return removed
}

// filter keeps the waiters for which keep returns true, in order.
func (s *Slots) filter(keep func(*waiter) bool) {
	for r := range s.queue {
		kept := s.queue[r][:0]
		for i := range s.queue[r] {
			if keep(&s.queue[r][i]) {
				kept = append(kept, s.queue[r][i])
			}
		}
		clear(s.queue[r][len(kept):])
		s.queue[r] = kept
	}
}

// Abandon frees the slot of an attempt that was not used or whose upstream was
// lost, which says nothing about the limit.
func (s *Slots) Abandon(id mesh.AttemptID) { s.free(id) }

// Release frees the slot of an attempt. Shed tells that the upstream refused
// it, with the load that it reported then; nil: none. Unknown attempts are ignored.
func (s *Slots) Release(id mesh.AttemptID, shed bool, reported *mesh.Load, now time.Time) {
	full := len(s.running) >= s.Limit()
	r, ok := s.free(id)
	if !ok {
		return
	}
	if shed {
		if overloaded(reported, full) {
			s.adaptive.decrease(now, &s.params)
		}
		return
	}
	s.adaptive.increase(full, s.slots)
	held, mean := float64(now.Sub(r.since)), &s.holdTime[r.rank]
	if *mean == 0 {
		*mean = held
	}
	*mean += holdWeight * (held - *mean)
}

// overloaded reports whether an upstream that refused a call did so for want of
// slots. One that refuses a part of its calls at any load would be given fewer
// calls without refusing a smaller part. All calls to it pass this node, so
// without a report the calls that run tell.
func overloaded(reported *mesh.Load, full bool) bool {
	if reported == nil || reported.Limit <= 0 {
		return full
	}
	return reported.Queued > 0 || reported.InFlight >= reported.Limit
}

// holdWeight is the weight of a new sample in the average hold time.
const holdWeight = 0.05

func (s *Slots) free(id mesh.AttemptID) (run, bool) {
	r, ok := s.running[id]
	if !ok {
		return r, false
	}
	delete(s.running, id)
	if r.rank == rankUpload {
		s.uploads--
	}
	return r, true
}

// Limit is the number of calls that may run at a time now: at most the slots,
// at least 1.
func (s *Slots) Limit() int { return s.adaptive.current(s.slots) }

// Waiting returns the length of the queue.
func (s *Slots) Waiting() int {
	n := 0
	for r := range s.queue {
		n += len(s.queue[r])
	}
	return n
}

// Load returns the report that rides on answers.
func (s *Slots) Load() mesh.Load {
	return mesh.Load{InFlight: len(s.running), Queued: s.Waiting(), Limit: s.Limit()}
}

// NextDeadline returns the earliest time at which a waiter must be refused.
func (s *Slots) NextDeadline() (time.Time, bool) {
	var next time.Time
	found := false
	for r := range s.queue {
		for i := range s.queue[r] {
			if until := s.queue[r][i].until; !found || until.Before(next) {
				next, found = until, true
			}
		}
	}
	return next, found
}

func half(n int) int { return (n + 1) / 2 }

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
