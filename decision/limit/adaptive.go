package limit

import "time"

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
