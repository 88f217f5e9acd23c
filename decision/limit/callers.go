package limit

import (
	"teaselring/mesh"
	"teaselring/result"
)

// CallerParams are the limits of an entry node.
type CallerParams struct {
	// Capacity is the maximum number of calls in flight on the entry node.
	Capacity int
	// DefaultLimit applies to each caller without a caller record. All of them
	// together hold at most half of the capacity, so that a caller can't gain
	// by using many names.
	DefaultLimit int
}

// CallerLimits limits the calls in flight of each caller on an entry node. It
// holds entries only for callers with calls in flight, so its size is bounded by
// the capacity. It is not safe for concurrent use.
type CallerLimits struct {
	params     CallerParams
	callers    map[mesh.CallerID]*callerCount
	total      int
	undeclared int // calls in flight of callers without a record
}

type callerCount struct {
	inFlight   int
	undeclared int // of these, admitted while the caller had no record
}

// NewCallerLimits returns limits with no calls in flight.
func NewCallerLimits(params CallerParams) *CallerLimits {
	return &CallerLimits{params: params, callers: map[mesh.CallerID]*callerCount{}}
}

// Acquire counts a call, or returns an error with result.CallerLimit. Declared is
// the limit in the caller's record, 0 without a record.
func (l *CallerLimits) Acquire(id mesh.CallerID, declared int) error {
	limit := declared
	if limit == 0 {
		limit = l.params.DefaultLimit
	}
	held := 0
	if c := l.callers[id]; c != nil {
		held = c.inFlight
	}
	switch {
	case held >= limit:
		return result.CallerLimit.Errorf("caller %q has %d calls in flight", id, held)
	case l.total >= l.params.Capacity:
		return result.CallerLimit.Errorf("the node has %d calls in flight", l.total)
	case declared == 0 && l.undeclared >= half(l.params.Capacity):
		return result.CallerLimit.Errorf("callers without a record have %d calls in flight", l.undeclared)
	case l.nearCapacity() && held >= l.fairShare():
		return result.CallerLimit.Errorf("caller %q has %d calls in flight, more than its share", id, held)
	}
	l.add(id, declared == 0)
	return nil
}

// nearCapacity reports whether at least three quarters of the capacity are in use.
// The rest is reserved for callers below their fair share.
func (l *CallerLimits) nearCapacity() bool { return 4*l.total >= 3*l.params.Capacity }

// fairShare divides the capacity among the callers with calls in flight plus one,
// so that a flood by a single caller leaves capacity for the next.
func (l *CallerLimits) fairShare() int {
	return max(1, l.params.Capacity/(len(l.callers)+1))
}

func (l *CallerLimits) add(id mesh.CallerID, undeclared bool) {
	c := l.callers[id]
	if c == nil {
		c = &callerCount{}
		l.callers[id] = c
	}
	c.inFlight++
	l.total++
	if undeclared {
		c.undeclared++
		l.undeclared++
	}
}

// Release ends a call. The caller's record may have been added or removed since
// Acquire, so calls counted as undeclared are released first.
func (l *CallerLimits) Release(id mesh.CallerID) {
	c := l.callers[id]
	if c == nil {
		return
	}
	c.inFlight--
	l.total--
	if c.undeclared > 0 {
		c.undeclared--
		l.undeclared--
	}
	if c.inFlight == 0 {
		delete(l.callers, id)
	}
}

// InFlight returns the calls in flight of a caller, and of all callers.
func (l *CallerLimits) InFlight(id mesh.CallerID) (caller, all int) {
	if c := l.callers[id]; c != nil {
		caller = c.inFlight
	}
	return caller, l.total
}
