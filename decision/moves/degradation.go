package moves

import (
	"math"

	"teaselring/mesh"
)

// degradation detects that calls of the new version got worse while too few
// calls go to the old version for a comparison. It is a cumulative sum (CUSUM)
// against the rates that the old version had before. Load and outages have the
// same effect, so it only leads to a recheck and never by itself to a verdict.
type degradation struct {
	failures      float64
	slow          [len(tailFractions)]float64
	recentRate    float64 // moving average of the old version's failure rate
	hasRecentRate bool
}

const (
	// cusumThreshold keeps false rechecks of a good version below about 1 in
	// 100 moves; a needless recheck costs about minRecheckSpan.
	cusumThreshold = 9
	// recentCalls is the time constant of recentRate, in calls of the old
	// version.
	recentCalls     = 1000
	minBaselineRate = 0.002
)

// updateRecentRate adds a window to the moving average.
func (s *degradation) updateRecentRate(w *window) {
	if w.old.Calls == 0 {
		return
	}
	keep := math.Exp(-float64(w.old.Calls) / recentCalls)
	rate := float64(w.old.Failures) / float64(w.old.Calls)
	if !s.hasRecentRate {
		s.recentRate, s.hasRecentRate = rate, true
	}
	s.recentRate = keep*s.recentRate + (1-keep)*rate
}

// mostlyNew reports whether too few calls went to the old version for a
// comparison.
func (w *window) mostlyNew() bool {
	return w.new.Calls > 0 && float64(w.new.Calls) >= recheckMinShare*float64(w.new.Calls+w.old.Calls)
}

// update adds a window in which most calls went to the new version.
func (s *degradation) update(w *window, old *mesh.Tally, slow *latencyTails, bounds *[len(tailFractions)]boundary) {
	s.failures = cusum(s.failures, w.failures(), s.baselineRate(old), 3, MeasurableExcess)
	for i, b := range bounds {
		if b.bucket != 0 {
			rate := math.Min(b.tail*b.null, 0.6)
			s.slow[i] = cusum(s.slow[i], slow.atLeast(b.bucket), rate, math.Min(b.alt/b.null, 1/rate), 0)
		}
	}
}

// baselineRate returns the larger of the old version's recent and overall
// rates.
func (s *degradation) baselineRate(old *mesh.Tally) float64 {
	overall := float64(old.Failures) / math.Max(float64(old.Calls), 1)
	return math.Max(math.Max(s.recentRate, overall), minBaselineRate)
}

// cusum returns the cumulative sum after a window, for the alternative that the
// rate grew by the factor or by the excess.
func cusum(sum float64, h eventCounts, rate, factor, excess float64) float64 {
	if h.newCalls == 0 {
		return sum
	}
	worse := math.Max(rate*factor, rate+excess)
	return math.Max(0, sum+h.newEvents*math.Log(worse/rate)-h.newCalls*(worse-rate))
}

func (s *degradation) exceedsThreshold() bool {
	for _, v := range s.slow {
		if v > cusumThreshold {
			return true
		}
	}
	return s.failures > cusumThreshold
}

func (s *degradation) reset() {
	s.failures = 0
	s.slow = [len(tailFractions)]float64{}
}
