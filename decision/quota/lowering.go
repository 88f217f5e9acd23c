package quota

import (
	"time"

	"teaselring/mesh"
)

// loweringShare is the part of the window for which an earlier, higher limit still
// applies. The rest covers nodes that get the configuration later than others.
const loweringShare = 0.8

// Lowering delays lower limits. The requests that an account sent under its earlier limit
// are in the window too; if a lower limit applied at once, the account would be refused
// until they have left it, although no operator asked for that.
//
// Load pattern: a step down in the limit of an account whose load stays the same.
type Lowering struct {
	delay   time.Duration
	applied map[mesh.AccountName]appliedLimit
}

type appliedLimit struct {
	Limit
	configured Limit
	until      time.Time // when the configured limit applies; zero: it does
}

// NewLowering returns a Lowering for the platform's window.
func NewLowering(s Settings) *Lowering {
	return &Lowering{
		delay: time.Duration(loweringShare * float64(s.Window)), applied: map[mesh.AccountName]appliedLimit{},
	}
}

// InEffect returns the limits that apply now, given those of the configuration in force. A
// node that starts applies the configured ones at once.
func (w *Lowering) InEffect(now time.Time, configured map[mesh.AccountName]Limit) map[mesh.AccountName]Limit {
	limits := make(map[mesh.AccountName]Limit, len(configured))
	for name, l := range configured {
		a, known := w.applied[name]
		if !known {
			a = appliedLimit{Limit: l, configured: l}
		}
		if a.configured != l {
			if l.Rate < a.Rate || l.Burst < a.Burst {
				a.until = now.Add(w.delay)
			}
			a.configured = l
		}
		a.Limit = Limit{Rate: max(l.Rate, a.Rate), Burst: max(l.Burst, a.Burst)}
		if !now.Before(a.until) {
			a.Limit, a.until = l, time.Time{}
		}
		w.applied[name], limits[name] = a, a.Limit
	}
	for name := range w.applied {
		if _, kept := configured[name]; !kept {
			delete(w.applied, name)
		}
	}
	return limits
}

// Pending reports whether a lower limit waits to apply.
func (w *Lowering) Pending() bool {
	for _, a := range w.applied {
		if !a.until.IsZero() {
			return true
		}
	}
	return false
}
