package limit

import (
	"teaselring/mesh"
	"teaselring/result"
)

// CallerParams are the limits of an entry node.
type CallerParams struct {
	// Capacity is the number of calls in flight that the entry node accepts.
	Capacity int
	// Default limits each caller without a caller record. All of them together
	// hold at most half of the capacity, so that a caller can't get more by
	// using many names.
	Default int
}

// CallerLimits counts the calls in flight of each caller on an entry node. It
// holds an entry only for callers with calls in flight, so it is bounded by the
// capacity. It is not safe for concurrent use.
type CallerLimits struct {
	params  CallerParams
	callers map[mesh.CallerID]*callerCount
	total   int
	unnamed int // in flight of callers without a record
}

type callerCount struct {
	inFlight int
	unnamed  int // those counted as calls of a caller without a record
}

// NewCallerLimits returns limits with no call in flight.
func NewCallerLimits(params CallerParams) *CallerLimits {
	return &CallerLimits{params: params, callers: map[mesh.CallerID]*callerCount{}}
}

// Acquire takes a place for a call. Declared is the limit of the caller's
// record, 0 when it has none. The error carries result.CallerLimit.
func (l *CallerLimits) Acquire(id mesh.CallerID, declared int) error {
	limit := declared
	if limit == 0 {
		limit = l.params.Default
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
	case declared == 0 && l.unnamed >= half(l.params.Capacity):
		return result.CallerLimit.Errorf("callers without a record have %d calls in flight", l.unnamed)
	case l.crowded() && held >= l.fairShare():
		return result.CallerLimit.Errorf("caller %q has %d calls in flight, more than its share", id, held)
	}
	l.take(id, declared == 0)
	return nil
}

// crowded reports whether three quarters of the capacity are in use. The rest
// is kept for callers below their fair share.
func (l *CallerLimits) crowded() bool { return 4*l.total >= 3*l.params.Capacity }

// fairShare divides the capacity among the callers with calls in flight and one
// more, so that a flood by a single caller leaves places for the next one.
func (l *CallerLimits) fairShare() int {
	return max(1, l.params.Capacity/(len(l.callers)+1))
}

func (l *CallerLimits) take(id mesh.CallerID, unnamed bool) {
	c := l.callers[id]
	if c == nil {
		c = &callerCount{}
		l.callers[id] = c
	}
	c.inFlight++
	l.total++
	if unnamed {
		c.unnamed++
		l.unnamed++
	}
}

// Release returns a place. The record of a caller may have come or gone since
// Acquire, so places counted as unnamed are returned first.
func (l *CallerLimits) Release(id mesh.CallerID) {
	c := l.callers[id]
	if c == nil {
		return
	}
	c.inFlight--
	l.total--
	if c.unnamed > 0 {
		c.unnamed--
		l.unnamed--
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
