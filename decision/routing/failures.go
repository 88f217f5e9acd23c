package routing

import "time"

// baseline holds the sums for the mean share of failures of a service's endpoints,
// weighted by historyWeight.
type baseline struct {
	weight           float64 // sum over the endpoints
	weightedFailures float64
	computedAt       time.Time
}

const (
	// baselineMaxAge is the age at which a baseline is recomputed. With some hundred
	// endpoints, that costs more than a choice.
	baselineMaxAge = 100 * time.Millisecond
	// negligibleFailures is the share of failures below which no baseline is needed.
	negligibleFailures = 0.02
)

// history returns the history of an endpoint, with only that part of its share of
// failures that exceeds the share of the other endpoints. When all fail alike, no
// choice among them helps, and calls would leave their zone for nothing.
func (s *service) history(e *endpoint, expected float64, now time.Time, decayTime time.Duration) (latency, failures float64) {
	latency, failures = e.history(expected, now, decayTime)
	if failures >= negligibleFailures {
		failures = s.excessFailures(e, failures, now, decayTime)
	}
	return latency, failures
}

func (s *service) excessFailures(e *endpoint, failures float64, now time.Time, decayTime time.Duration) float64 {
	if now.Sub(s.failures.computedAt) >= baselineMaxAge {
		s.failures = s.computeBaseline(now, decayTime)
	}
	own := e.historyWeight(now, decayTime)
	others := s.failures.weight - own
	if others < minHistoryWeight {
		return failures // no recent history of the others
	}
	return max(0, failures-max(0, s.failures.weightedFailures-own*e.failures)/others)
}

func (s *service) computeBaseline(now time.Time, decayTime time.Duration) baseline {
	b := baseline{computedAt: now}
	for _, e := range s.endpoints {
		weight := e.historyWeight(now, decayTime)
		b.weight += weight
		b.weightedFailures += weight * e.failures
	}
	return b
}
