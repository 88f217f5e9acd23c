package limit

import (
	"container/heap"
	"crypto/sha256"
	"time"

	"teaselring/mesh"
	"teaselring/result"
)

// MaxAttempts is the capacity of the attempt table.
const MaxAttempts = 65536

// attemptKey is the beginning of the SHA-256 of an attempt's id. Clients choose ids, up to
// the size of a request's head, and entries are kept for longer than the request.
type attemptKey [16]byte

func keyOf(id mesh.AttemptID) attemptKey {
	sum := sha256.Sum256([]byte(id))
	return attemptKey(sum[:])
}

// RetainAfterDeadline is the retention of an entry after the attempt's deadline.
// It covers requests delayed on a connection without traffic, which is closed
// within 3 s, and the rounding of relative deadlines.
const RetainAfterDeadline = 10 * time.Second

// MaxTimeout is the longest timeout that a route can declare. The fence of a
// settled attempt with an unknown deadline is kept for that long.
const MaxTimeout = time.Hour

type attemptState uint8

const (
	attemptWaiting attemptState = iota // admitted, not started
	attemptRunning
	attemptEnded
	attemptFenced // must never start
)

// Attempts keeps the state of each attempt id until the attempt can no longer
// arrive or be settled. Unexpired entries are never evicted: without its fence, an
// attempt could run after it was reported as not run. Attempts is not safe for
// concurrent use.
type Attempts struct {
	max    int
	states map[attemptKey]attemptState
	expiry expiryHeap
}

// NewAttempts returns an empty table that holds up to maxAttempts entries.
func NewAttempts(maxAttempts int) *Attempts {
	return &Attempts{max: maxAttempts, states: map[attemptKey]attemptState{}}
}

// Admit adds an attempt in the waiting state. It fails with
// result.AttemptDuplicate for an id that was admitted before, result.Fenced for
// one that was settled or refused, and result.RingFull when the table is full.
func (a *Attempts) Admit(id mesh.AttemptID, deadline, now time.Time) error {
	a.Expire(now)
	key := keyOf(id)
	if state, found := a.states[key]; found {
		if state == attemptFenced {
			return result.Fenced.Err()
		}
		return result.AttemptDuplicate.Err()
	}
	if !a.add(key, attemptWaiting, deadline, now) {
		return result.RingFull.Errorf("the attempt table holds %d unexpired attempts", len(a.states))
	}
	return nil
}

// Begin marks a waiting attempt as running and reports whether it may run.
func (a *Attempts) Begin(id mesh.AttemptID) bool {
	key := keyOf(id)
	if state, found := a.states[key]; !found || state != attemptWaiting {
		return false
	}
	a.states[key] = attemptRunning
	return true
}

// Fence prevents a waiting attempt from ever starting. It has no effect on one
// that has started.
func (a *Attempts) Fence(id mesh.AttemptID) { a.fence(keyOf(id)) }

func (a *Attempts) fence(key attemptKey) {
	if state, found := a.states[key]; found && state == attemptWaiting {
		a.states[key] = attemptFenced
	}
}

// Settle reports whether an attempt has not started; if so, it fences the
// attempt. A zero deadline means the longest possible one. Settle returns false
// for an unknown attempt whose deadline has passed, since its entry may have
// expired, and when the table has no room for a fence.
func (a *Attempts) Settle(id mesh.AttemptID, deadline, now time.Time) bool {
	a.Expire(now)
	key := keyOf(id)
	if state, found := a.states[key]; found {
		a.fence(key)
		return state == attemptWaiting || state == attemptFenced
	}
	if deadline.IsZero() {
		deadline = now.Add(MaxTimeout)
	}
	if !deadline.After(now) {
		return false
	}
	return a.add(key, attemptFenced, deadline, now)
}

// End marks a running attempt as ended.
func (a *Attempts) End(id mesh.AttemptID) {
	if key := keyOf(id); a.states[key] == attemptRunning {
		a.states[key] = attemptEnded
	}
}

// Expire removes expired entries, except those of attempts that still run.
func (a *Attempts) Expire(now time.Time) {
	for len(a.expiry) > 0 && !a.expiry[0].expiresAt.After(now) {
		e := &a.expiry[0]
		if a.states[e.key] == attemptRunning {
			e.expiresAt = now.Add(RetainAfterDeadline)
			heap.Fix(&a.expiry, 0)
			continue
		}
		delete(a.states, e.key)
		heap.Pop(&a.expiry)
	}
}

// Len returns the number of entries.
func (a *Attempts) Len() int { return len(a.states) }

func (a *Attempts) add(key attemptKey, state attemptState, deadline, now time.Time) bool {
	if len(a.states) >= a.max {
		return false
	}
	a.states[key] = state
	expiresAt := mesh.Earlier(deadline, now.Add(MaxTimeout)).Add(RetainAfterDeadline)
	heap.Push(&a.expiry, expiryEntry{key, expiresAt})
	return true
}

type expiryEntry struct {
	key       attemptKey
	expiresAt time.Time
}

// expiryHeap implements heap.Interface with the earliest expiry first.
type expiryHeap []expiryEntry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expiresAt.Before(h[j].expiresAt) }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *expiryHeap) Push(x any)        { *h = append(*h, x.(expiryEntry)) }
func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = expiryEntry{}
	*h = old[:len(old)-1]
	return last
}
