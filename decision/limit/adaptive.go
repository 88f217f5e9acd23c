package limit

import (
	"time"

	"teaselring/mesh"
)

// adaptiveLimit is a concurrency limit with additive increase and multiplicative
// decrease (AIMD). It grows by one for each limit's worth of calls that the
// upstream completed while all slots were in use, and shrinks when it sheds.
type adaptiveLimit struct {
	limit        float64 // 0: not set
	lastDecrease time.Time
}

func (a *adaptiveLimit) reset(slots int) { *a = adaptiveLimit{limit: float64(slots)} }

func (a *adaptiveLimit) current(slots int) int {
	return max(1, min(int(a.limit), slots))
}

// decrease reduces the limit unless it was reduced within the last
// DecreaseInterval.
func (a *adaptiveLimit) decrease(now time.Time, p *Params) {
	if now.Sub(a.lastDecrease) < p.DecreaseInterval {
		return
	}
	a.lastDecrease = now
	a.limit = max(1, a.limit*p.DecreaseFactor)
}

// increase raises the limit after a call that succeeded while all slots were in
// use. Below the limit, a success doesn't show that a higher limit would hold.
func (a *adaptiveLimit) increase(full bool, slots int) {
	if full && a.limit > 0 {
		a.limit = min(a.limit+1/a.limit, float64(slots))
	}
}

// refusals compares the share of calls that an upstream refuses while it has free slots
// with the share while it has none.
//
// Load pattern: all upstreams of a service refuse a fixed share of calls at any load, for
// example because one of their own resources fails. A lower limit would only add refusals by
// the node: at one service 10,395 of 38,503 arrivals were refused.
type refusals struct{ free, busy refusalShare }

type refusalShare struct {
	share   float64
	samples int
	lastAt  time.Time
}

const (
	// refusalSamples is the number of responses over which the shares are averaged.
	refusalSamples = 20
	// minRefusalSamples is the number of responses with free slots that show something.
	minRefusalSamples = 16
	// refusalMemory is the time for which a share counts after its last sample. After that,
	// a reduction of the limit brings new samples with free slots.
	refusalMemory = 5 * time.Second
)

// record records the response to a call that was one of running calls when it started. The
// reported load only tells the upstream's limit: a refusal reports the load at the start of
// the call, a response the one at its end, which is lower.
func (r *refusals) record(running int, reported *mesh.Load, refused bool, now time.Time) {
	if reported == nil || reported.Limit <= 0 {
		return
	}
	share := &r.free
	if running >= reported.Limit {
		share = &r.busy
	}
	share.add(refused, now)
}

func (s *refusalShare) add(refused bool, now time.Time) {
	if now.Sub(s.lastAt) > refusalMemory {
		*s = refusalShare{}
	}
	sample := 0.0
	if refused {
		sample = 1
	}
	s.samples, s.lastAt = min(s.samples+1, refusalSamples), now
	s.share += (sample - s.share) / float64(s.samples)
}

// atAnyLoad reports whether the upstream refuses calls with free slots at least half as
// often as without.
func (r *refusals) atAnyLoad(now time.Time) bool {
	known := r.free.samples >= minRefusalSamples && now.Sub(r.free.lastAt) <= refusalMemory
	return known && r.free.share >= r.busy.share/2
}
