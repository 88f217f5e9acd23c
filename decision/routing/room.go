package routing

import (
	"time"

	"teaselring/mesh"
	"teaselring/result"
)

// This file decides when a call is refused without being sent, and when its caller should
// return. Load patterns: bursts whose refused callers return within a second, and callers
// that all return at once after a loss of servers.

// Refusal is the error of a Pick that found no endpoint.
type Refusal struct {
	cause *result.Error
	// RetryAfter is the time after which room is expected; 0: unknown.
	RetryAfter time.Duration
	Passed     Passed
}

// Error implements error.
func (r *Refusal) Error() string { return r.cause.Error() }

// Unwrap returns the error with the result code.
func (r *Refusal) Unwrap() error { return r.cause }

// RetryIn returns RetryAfter.
func (r *Refusal) RetryIn() time.Duration { return r.RetryAfter }

const (
	// rejectShare is the part of an expected wait that must exceed the time left to start a
	// call before it is refused without asking further owner nodes, and rejectFloor the least
	// such wait in units of the call duration. An expected wait is uncertain: a share of 1
	// refused 1.0% of the calls while a slot was free at 140% load, 0.6 refused 0.3%. Without
	// the floor, calls that had waited in vain at one owner node were not offered to others
	// that had room: 0.66% were refused at 80% load, 0.03% with it.
	rejectShare, rejectFloor = 0.6, 0.5
	// returnWaitShare is the part of the expected wait after which a refused caller returns
	// at the earliest. With none 35% of those refused in a burst were refused again, with a
	// half or the whole 27%.
	returnWaitShare = 0.5
	// returnShare is the part of a node's calls that returning callers may make up. New
	// calls take the rest of the slots that become free.
	returnShare = 0.1
	// promptReturn is the shortest time after which callers return that no lack of room
	// keeps away; they are spread over as long again. It is a round trip to a client.
	promptReturn = 20 * time.Millisecond
	// answerWindow is the time constant of the rate of answered calls.
	answerWindow = time.Second
	// maxRetryAfterShare is the part of the time to a call's deadline up to which callers
	// honour Retry-After.
	maxRetryAfterShare = 1.0 / 3
)

// startsTooLate reports whether no slot of the endpoint is expected in time for the call.
// The first attempt of a call is sent nevertheless: it costs a message within the zone, and
// an owner node that is never asked can't report that it has room.
func (x *estimate) startsTooLate(q *Query, now time.Time) bool {
	if q.Refusals == 0 || q.Call.StartBy.IsZero() {
		return false
	}
	return rejectShare*x.wait > max(float64(q.Call.StartBy.Sub(now)), rejectFloor*x.call)
}

// ReturnTime returns the time after which the caller of a call whose last attempt was
// refused should return; 0: unknown.
//
// Load pattern: all servers of a service refuse a share of their calls with slots free. A
// later return is refused as often, and its response comes later.
func (r *Router) ReturnTime(call *mesh.Call, last *mesh.Outcome, rnd Random, now time.Time) time.Duration {
	if refusedUnderLoad(last) && !noFreeSlot(last) {
		return promptReturn + time.Duration(rnd.IntN(int(promptReturn)))
	}
	if s := r.byService[call.Service]; s != nil {
		return s.returnTime(call, 0, rnd, now)
	}
	return 0
}

// returnTime books the return of a refused caller. Wait is the expected wait for a slot, 0
// when unknown.
func (s *service) returnTime(call *mesh.Call, wait time.Duration, rnd Random, now time.Time) time.Duration {
	limit := time.Duration(maxRetryAfterShare * float64(call.Deadline.Sub(now)))
	if call.Deadline.IsZero() || limit <= 0 {
		return 0
	}
	draw := float64(rnd.IntN(1<<20)) / (1 << 20)
	earliest := time.Duration(returnWaitShare * float64(wait))
	return s.returns.book(returnRank(call), earliest, limit, draw, now)
}

// returns schedules the callers that this node refused for one service, so that they come
// back one after another at a part of the rate at which its calls are answered, urgent
// ones first.
type returns struct {
	answered   float64 // calls, decayed by answerWindow
	answeredAt time.Time
	expected   [returnRanks]float64 // callers that have yet to return
	updatedAt  time.Time
}

// returnRanks is the number of priorities that are distinguished; the last one is that of
// calls without a priority.
const returnRanks = mesh.PriorityLevels + 1

func returnRank(c *mesh.Call) int {
	if !c.HasPriority {
		return returnRanks - 1
	}
	return min(max(c.Priority, 0), returnRanks-2)
}

func (t *returns) recordAnswer(now time.Time) {
	t.answered = t.answered*decay(now.Sub(t.answeredAt), answerWindow) + 1
	t.answeredAt = now
}

// interval returns the mean time between two returns.
func (t *returns) interval(now time.Time) time.Duration {
	rate := returnShare * t.answered * decay(now.Sub(t.answeredAt), answerWindow) / answerWindow.Seconds()
	return time.Duration(float64(time.Second) / max(rate, 1))
}

// book returns the time after which a caller of the given rank should return: its position
// among those of its rank and of more urgent ones. Those beyond the limit are spread over
// its last quarter.
func (t *returns) book(rank int, earliest, limit time.Duration, draw float64, now time.Time) time.Duration {
	interval := t.interval(now)
	t.advance(float64(now.Sub(t.updatedAt)) / float64(interval))
	t.updatedAt = now
	position := draw
	for _, n := range t.expected[:rank+1] {
		position += n
	}
	wait := earliest + time.Duration(position*float64(interval))
	if wait > limit {
		return limit - time.Duration(draw*float64(limit/4))
	}
	t.expected[rank]++
	return wait
}

// advance removes callers that have returned, the most urgent first.
func (t *returns) advance(n float64) {
	for i := range t.expected {
		done := min(n, t.expected[i])
		t.expected[i] -= done
		n -= done
	}
}
