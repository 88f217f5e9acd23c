package limit

import (
	"container/heap"
	"time"

	"teaselring/mesh"
	"teaselring/result"
)

// MaxAttempts bounds the attempt table. With ids of 32 characters an entry takes
// 129 bytes (measured on the heap of a full table), 8.5 MB in all.
const MaxAttempts = 65536

// KeepAfter is the time for which an attempt is remembered after its deadline.
// It covers a request that was delayed in a silent connection, which is closed
// within 3 s, and the rounding of relative deadlines.
const KeepAfter = 10 * time.Second

// LongestDeadline is the longest timeout that a route can declare. The fence
// of a settled attempt without a known deadline is kept for that long.
const LongestDeadline = time.Hour

type attemptState uint8

const (
	attemptWaiting attemptState = iota // admitted, not begun
	attemptBegan
	attemptEnded
	attemptFenced // never begins
)

// Attempts remembers each attempt id until it can't arrive or be settled any
// more. Unexpired entries are never dropped: a forgotten fence would let an
// attempt run that was reported as not run. It is not safe for concurrent use.
type Attempts struct {
	max    int
	states map[mesh.AttemptID]attemptState
	expiry expiryHeap
}

// NewAttempts returns an empty table with room for max attempts.
func NewAttempts(maxAttempts int) *Attempts {
	return &Attempts{max: maxAttempts, states: map[mesh.AttemptID]attemptState{}}
}

// Admit enters an attempt as waiting. It fails with result.AttemptDuplicate
// for an id that has been admitted, result.Fenced for one that was settled or
// refused before, and result.RingFull when the table is full.
func (a *Attempts) Admit(id mesh.AttemptID, deadline, now time.Time) error {
	a.Expire(now)
	if state, known := a.states[id]; known {
		if state == attemptFenced {
			return result.Fenced.Err()
		}
		return result.AttemptDuplicate.Err()
	}
	if !a.add(id, attemptWaiting, deadline, now) {
		return result.RingFull.Errorf("the attempt table holds %d unexpired attempts", len(a.states))
	}
	return nil
}

// Begin marks a waiting attempt as begun and reports whether it may run.
func (a *Attempts) Begin(id mesh.AttemptID) bool {
	state, known := a.states[id]
	if !known || state != attemptWaiting {
		return false
	}
	a.states[id] = attemptBegan
	return true
}

// Fence makes sure that a waiting attempt never begins. It has no effect on
// one that has begun.
func (a *Attempts) Fence(id mesh.AttemptID) {
	if state, known := a.states[id]; known && state == attemptWaiting {
		a.states[id] = attemptFenced
	}
}

// Settle reports whether an attempt never began; if so it is fenced and never
// begins. A zero deadline stands for the longest one. It returns false for an
// unknown attempt whose deadline has passed, since it may have been forgotten,
// and when the table has no room for a fence.
func (a *Attempts) Settle(id mesh.AttemptID, deadline, now time.Time) bool {
	a.Expire(now)
	if state, known := a.states[id]; known {
		a.Fence(id)
		return state == attemptWaiting || state == attemptFenced
	}
	if deadline.IsZero() {
		deadline = now.Add(LongestDeadline)
	}
	if !deadline.After(now) {
		return false
	}
	return a.add(id, attemptFenced, deadline, now)
}

// End marks an attempt that has begun as ended.
func (a *Attempts) End(id mesh.AttemptID) {
	if a.states[id] == attemptBegan {
		a.states[id] = attemptEnded
	}
}

// Expire forgets the attempts whose time is over, except those that still run.
func (a *Attempts) Expire(now time.Time) {
	for len(a.expiry) > 0 && !a.expiry[0].at.After(now) {
		e := &a.expiry[0]
		if a.states[e.id] == attemptBegan {
			e.at = now.Add(KeepAfter)
			heap.Fix(&a.expiry, 0)
			continue
		}
		delete(a.states, e.id)
		heap.Pop(&a.expiry)
	}
}

// Len returns the number of attempts remembered.
func (a *Attempts) Len() int { return len(a.states) }

func (a *Attempts) add(id mesh.AttemptID, state attemptState, deadline, now time.Time) bool {
	if len(a.states) >= a.max {
		return false
	}
	a.states[id] = state
	until := earlier(deadline, now.Add(LongestDeadline)).Add(KeepAfter)
	heap.Push(&a.expiry, expiring{id, until})
	return true
}

type expiring struct {
	id mesh.AttemptID
	at time.Time
}

// expiryHeap implements heap.Interface with the earliest expiry first.
type expiryHeap []expiring

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *expiryHeap) Push(x any)        { *h = append(*h, x.(expiring)) }
func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = expiring{}
	*h = old[:len(old)-1]
	return last
}
