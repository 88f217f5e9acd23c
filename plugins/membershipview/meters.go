package membershipview

import (
	"github.com/rcrowley/go-metrics"

	"teaselring/decision/membership"
	"teaselring/mesh"
)

// meters are the metrics of the plug-in.
type meters struct {
	gauges                                   map[mesh.NodeState]metrics.Gauge
	suspicions, refutations, refused, pauses metrics.Gauge
	requests                                 metrics.Counter
}

func newMeters(r metrics.Registry) *meters {
	return &meters{
		gauges: map[mesh.NodeState]metrics.Gauge{
			mesh.NodeAlive:   metrics.NewRegisteredGauge("members.alive", r),
			mesh.NodeSuspect: metrics.NewRegisteredGauge("members.suspect", r),
			mesh.NodeDead:    metrics.NewRegisteredGauge("members.dead", r),
			mesh.NodeLeft:    metrics.NewRegisteredGauge("members.left", r),
		},
		suspicions:  metrics.NewRegisteredGauge("members.suspicions", r),
		refutations: metrics.NewRegisteredGauge("members.refutations", r),
		refused:     metrics.NewRegisteredGauge("members.refused", r),
		pauses:      metrics.NewRegisteredGauge("members.pauses", r),
		requests:    metrics.NewRegisteredCounter("members.requests", r),
	}
}

func (m *meters) update(s *membership.State) {
	counts := s.CountByState()
	for state, gauge := range m.gauges {
		gauge.Update(int64(counts[state]))
	}
	c := s.Counts()
	m.suspicions.Update(c.Suspicions)
	m.refutations.Update(c.Refutations)
	m.refused.Update(c.Refused)
	m.pauses.Update(c.Pauses)
}
