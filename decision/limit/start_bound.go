package limit

import (
	"strconv"
	"time"

	"teaselring/mesh"
	"teaselring/result"
)

// StartBound bounds the starts of calls over time, in addition to the slots.
type StartBound interface {
	// StartTime returns when the nth of the next calls may start; n is at least 1.
	StartTime(n int, now time.Time) time.Time
	// Started records the start of a call.
	Started(now time.Time)
	// Withdrawn takes back the start of a call that never reached the upstream.
	Withdrawn()
	// Concurrency returns how many calls the upstream runs at once if each takes hold;
	// 0: no bound.
	Concurrency(hold time.Duration, now time.Time) int
}

// RetryDetail is the detail of a refusal that says in how many milliseconds an equal call
// could start in time.
const RetryDetail = "retry_after_ms"

// SetStartBound sets the bound of the starts; nil: none.
func (s *Slots) SetStartBound(b StartBound) { s.startBound = b }

// RefusedCold returns the number of calls refused because of the bound of the starts.
func (s *Slots) RefusedCold() int64 { return s.refusedCold }

// Withdraw frees the slot of an attempt that never reached the upstream.
func (s *Slots) Withdraw(id mesh.AttemptID) {
	if _, ok := s.removeRunning(id); ok && s.startBound != nil {
		s.startBound.Withdrawn()
	}
}

// NextStart returns when the bound of the starts lets the next queued call start, if one
// has a slot.
func (s *Slots) NextStart(now time.Time) (time.Time, bool) {
	if s.startBound == nil {
		return time.Time{}, false
	}
	for r := range s.queue {
		if s.queue[r].waiting > 0 && s.canStart(rank(r)) {
			return s.startBound.StartTime(1, now), true
		}
	}
	return time.Time{}, false
}

// boundStart returns when the bound lets the nth of the next calls start; now without one.
func (s *Slots) boundStart(n int, now time.Time) time.Time {
	if s.startBound == nil {
		return now
	}
	return s.startBound.StartTime(n, now)
}

// expireBound removes and returns the waiters that the bound lets start only after their
// latest start, because the upstream turned cold or more important calls came.
func (s *Slots) expireBound(now time.Time) (refused []Refusal) {
	if s.startBound == nil || !s.boundStart(s.Waiting(), now).After(now) {
		return nil
	}
	n := 0
	for r := rankCount - 1; r >= rankRead; r-- {
		for _, w := range s.queue[r].ordered() {
			if start := s.startBound.StartTime(n+1, now); start.After(w.latestStart) {
				s.remove(w)
				refused = append(refused, Refusal{w.Attempt, s.refuseCold(w, start, now)})
				continue
			}
			n++
		}
	}
	return refused
}

func (s *Slots) refuseCold(w *waiter, start, now time.Time) error {
	s.refusedCold++
	wait := start.Sub(w.latestStart)
	return result.QueueFull.Errorf("the upstream is cold; the call could start in %v, %v too late",
		start.Sub(now).Round(time.Millisecond), wait.Round(time.Millisecond)).
		With(RetryDetail, strconv.FormatInt(wait.Milliseconds()+1, 10))
}
