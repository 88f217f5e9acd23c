package routing

import "time"

// baseline is the share of failures over the endpoints of a service, weighted
// by how far the history of each is trusted.
type baseline struct {
	weight float64 // of all endpoints
	failed float64 // weight times share of failures, of all endpoints
	at     time.Time
}

const (
	// baselineAge is the age from which a baseline is computed anew: with some
	// hundred endpoints it costs more than a choice.
	baselineAge = 100 * time.Millisecond
	// noFailures is the share of failures below which no baseline is needed.
	noFailures = 0.02
)

// history returns that of an endpoint, with the part of its share of failures
// that is above that of the other endpoints. When all of them fail alike, no
// choice among them helps, and calls would leave their zone in vain.
func (s *service) history(e *endpoint, expected float64, now time.Time, trust time.Duration) (latency, failures float64) {
	latency, failures = e.history(expected, now, trust)
	if failures >= noFailures {
		failures = s.excess(e, failures, now, trust)
	}
	return latency, failures
}

func (s *service) excess(e *endpoint, failures float64, now time.Time, trust time.Duration) float64 {
	if now.Sub(s.failures.at) >= baselineAge {
		s.failures = s.measure(now, trust)
	}
	own := e.trusted(now, trust)
	others := s.failures.weight - own
	if others < leastWeight {
		return failures // nothing is known of the others
	}
	return max(0, failures-max(0, s.failures.failed-own*e.failures)/others)
}

func (s *service) measure(now time.Time, trust time.Duration) baseline {
	b := baseline{at: now}
	for _, e := range s.endpoints {
		weight := e.trusted(now, trust)
		b.weight += weight
		b.failed += weight * e.failures
	}
	return b
}
