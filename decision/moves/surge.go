package moves

import (
	"math"

	"teaselring/mesh"
)

// surge notices that answers of the new version got worse while too few calls
// go to the old version for a comparison. It is a cumulative sum against the
// rates that the old version had before. Load and outages make answers worse
// too, so a surge only leads to a recheck and never by itself to a verdict.
type surge struct {
	failures float64
	slow     [len(slowTails)]float64
	recent   float64 // recent failure rate of the old version
	known    bool
}

const (
	// surgeHigh keeps false rechecks of a good version below about 1 in 100
	// moves; a needless recheck costs about recheckSpan.
	surgeHigh = 9
	// recentCalls is the memory of the old version's recent failure rate.
	recentCalls = 1000
	minRefRate  = 0.002
)

// learn takes the old version's rate from a window.
func (s *surge) learn(w *window) {
	if w.old.Calls == 0 {
		return
	}
	keep := math.Exp(-float64(w.old.Calls) / recentCalls)
	rate := float64(w.old.Failures) / float64(w.old.Calls)
	if !s.known {
		s.recent, s.known = rate, true
	}
	s.recent = keep*s.recent + (1-keep)*rate
}

// mostlyNew reports whether too few calls went to the old version.
func (w *window) mostlyNew() bool {
	return w.new.Calls > 0 && float64(w.new.Calls) >= recheckFrom*float64(w.new.Calls+w.old.Calls)
}

// update adds a window in which most calls went to the new version.
func (s *surge) update(w *window, old *mesh.Tally, slow *slowness, bounds *[len(slowTails)]boundary) {
	s.failures = cusum(s.failures, w.failures(), s.reference(old), 3, MeasurableExcess)
	for i, b := range bounds {
		if b.bucket != 0 {
			rate := math.Min(b.tail*b.null, 0.6)
			s.slow[i] = cusum(s.slow[i], slow.from(b.bucket), rate, math.Min(b.alt/b.null, 1/rate), 0)
		}
	}
}

// reference is the larger of the old version's recent and overall rates.
func (s *surge) reference(old *mesh.Tally) float64 {
	overall := float64(old.Failures) / math.Max(float64(old.Calls), 1)
	return math.Max(math.Max(s.recent, overall), minRefRate)
}

func cusum(sum float64, h hits, rate, factor, excess float64) float64 {
	if h.newCalls == 0 {
		return sum
	}
	worse := math.Max(rate*factor, rate+excess)
	return math.Max(0, sum+h.newHits*math.Log(worse/rate)-h.newCalls*(worse-rate))
}

func (s *surge) high() bool {
	for _, v := range s.slow {
		if v > surgeHigh {
			return true
		}
	}
	return s.failures > surgeHigh
}

func (s *surge) reset() {
	s.failures = 0
	s.slow = [len(slowTails)]float64{}
}
