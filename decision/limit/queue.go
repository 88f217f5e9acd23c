package limit

import (
	"slices"
	"time"

	"teaselring/mesh"
	"teaselring/result"
)

// This file holds the queue of Slots: which calls may wait, for how long, and which leave
// it without a start.

func (s *Slots) enqueueWaiting(w *waiter) (*Refusal, error) {
	r := w.rank()
	if queued := s.queue[rankUpload].waiting; r == rankUpload && queued >= half(s.maxQueue) {
		return nil, result.ClassLimit.Errorf("%d uploads are running and %d are queued", s.runningUploads, queued)
	}
	if expected := s.expectedWait(w); !s.canStart(r) && w.enqueuedAt.Add(expected).After(w.latestStart) {
		return nil, result.QueueFull.Errorf("the expected wait of %v exceeds the deadline", expected)
	}
	var evicted *Refusal
	if s.Waiting() >= s.maxQueue {
		if evicted = s.evictFor(w); evicted == nil {
			return nil, result.QueueFull.Errorf("%d calls are queued", s.Waiting())
		}
	}
	s.push(w)
	return evicted, nil
}

func (s *Slots) push(w *waiter) {
	s.sequence++
	w.sequence = s.sequence
	s.queue[w.rank()].push(w)
	s.expiry.add(w)
}

// remove removes a waiting call from the queue.
func (s *Slots) remove(w *waiter) {
	s.queue[w.rank()].remove(w)
	s.expiry.remove(w)
}

// evictFor removes a waiting call in favour of a new one: the newest of the longest flow in
// the lowest rank below that of the new call, or in its own rank if that flow is longer than
// that of the new call.
func (s *Slots) evictFor(w *waiter) *Refusal {
	r := w.rank()
	for lower := rankRead; lower < r; lower++ {
		if s.queue[lower].waiting > 0 {
			evicted := s.queue[lower].byLength.items[0].waiters.Back().Value.(*waiter)
			s.remove(evicted)
			return &Refusal{evicted.Attempt, result.QueueFull.Errorf("evicted from the queue by a more important call")}
		}
	}
	if evicted := s.queue[r].longest(w.flowKey()); evicted != nil {
		s.remove(evicted)
		return &Refusal{evicted.Attempt, result.QueueFull.Errorf("evicted from the queue: its account has more calls waiting than others")}
	}
	return nil
}

// expectedWait estimates the queue wait of a new call: the calls ahead of it and itself,
// each holding one of Limit slots for the time that calls of its kind take now.
func (s *Slots) expectedWait(w *waiter) time.Duration {
	r := w.rank()
	work := s.holdTimes.expected(&w.Request)
	if own := &s.queue[r]; own.waiting > 0 {
		work += own.work * float64(own.ahead(w)) / float64(own.waiting)
	}
	for higher := r + 1; higher < rankCount; higher++ {
		work += s.queue[higher].work
	}
	return time.Duration(work / float64(s.Limit()))
}

// ahead estimates the number of queued calls that start before a new one.
func (s *Slots) ahead(w *waiter) int {
	r := w.rank()
	calls := s.queue[r].ahead(w)
	for higher := r + 1; higher < rankCount; higher++ {
		calls += s.queue[higher].waiting
	}
	return calls
}

// expire removes and returns the waiters that must no longer start.
func (s *Slots) expire(now time.Time) (refused []Refusal) {
	for len(s.expiry.items) > 0 {
		w := s.expiry.items[0]
		err := s.expiryError(w, now)
		if err == nil {
			break
		}
		s.remove(w)
		refused = append(refused, Refusal{w.Attempt, err})
	}
	return refused
}

func (s *Slots) expiryError(w *waiter, now time.Time) error {
	switch {
	case s.draining:
		return result.Draining.Err()
	case !w.Deadline.After(now):
		return result.DeadlineBefore.Err()
	case !w.latestStart.After(now):
		return result.QueueTimeout.Errorf("no slot was free for %v", now.Sub(w.enqueuedAt))
	}
	return nil
}

// Prune removes the waiters for which remove returns true, and returns their ids.
func (s *Slots) Prune(remove func(mesh.AttemptID) bool) (removed []mesh.AttemptID) {
	for _, w := range slices.Clone(s.expiry.items) {
		if remove(w.Attempt) {
			s.remove(w)
			removed = append(removed, w.Attempt)
		}
	}
	return removed
}

// Waiting returns the queue length.
func (s *Slots) Waiting() int { return len(s.expiry.items) }

// NextExpiry returns the earliest time at which Dispatch refuses a waiter, if
// there is one.
func (s *Slots) NextExpiry() (time.Time, bool) {
	if len(s.expiry.items) == 0 {
		return time.Time{}, false
	}
	return s.expiry.items[0].latestStart, true
}
