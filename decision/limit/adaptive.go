package limit

import "time"

// adaptive is a limit that grows by one for each limit's worth of calls that
// an upstream ran while it was full, and shrinks by a factor when it sheds.
type adaptive struct {
	limit    float64 // 0: unset, the slots apply
	lastDrop time.Time
}

func (a *adaptive) reset(slots int) { *a = adaptive{limit: float64(slots)} }

func (a *adaptive) current(slots int) int {
	return max(1, min(int(a.limit), slots))
}

// decrease reduces the limit unless it was reduced within the pause.
func (a *adaptive) decrease(now time.Time, p *Params) {
	if now.Sub(a.lastDrop) < p.BackoffPause {
		return
	}
	a.lastDrop = now
	a.limit = max(1, a.limit*p.Backoff)
}

// increase raises the limit after a call that ended well while the upstream
// was full. Below the limit a good end says nothing about a higher one.
func (a *adaptive) increase(full bool, slots int) {
	if full && a.limit > 0 {
		a.limit = min(a.limit+1/a.limit, float64(slots))
	}
}
