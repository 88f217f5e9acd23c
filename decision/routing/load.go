package routing

import (
	"maps"
	"math"
	"slices"
	"time"

	"teaselring/mesh"
)

// This file estimates the load and the speed of endpoints from what owner nodes report.
// Load pattern: some of the servers are slower for parts of a second, and an entry node
// sees a report of each about once a second, since reports arrive only with responses.
// A figure is therefore discounted as it ages: a load returns to the mean of the
// service in that zone, a slowness to the usual speed.

const (
	// maxQueue is the longest queue that a service record can declare.
	maxQueue = 1024
	// maxSlowness bounds a reported slowness, since an upstream may report anything.
	maxSlowness = 10.0
	// minMeanWeight and maxMeanWeight bound the weight of one report in the mean load
	// of a service.
	minMeanWeight, maxMeanWeight = 0.02, 0.2
)

// reported holds what the owner node of an endpoint reported.
type reported struct {
	externalLoad float64 // from other entry nodes
	at           time.Time
	limit        int // 0 when unknown
	limitAt      time.Time
	slowness     float64 // duration of work relative to the usual, 0 when unknown
	slownessAt   time.Time
}

// meanLoad is the mean external load of a service's endpoints in one zone, for each of
// their slots.
type meanLoad struct {
	perSlot float64
	at      time.Time
	// decayed is the value at decayedAt, kept because a choice needs it for many endpoints.
	decayed   float64
	decayedAt time.Time
}

func (m *meanLoad) record(perSlot float64, now time.Time, p *Params) {
	weight := min(max(float64(now.Sub(m.at))/float64(p.LoadDecayTime), minMeanWeight), maxMeanWeight)
	old := m.value(now, p)
	m.perSlot, m.at = old+weight*(perSlot-old), now
	m.decayed, m.decayedAt = m.perSlot, now
}

// value returns the mean, which is forgotten when no endpoint reports.
func (m *meanLoad) value(now time.Time, p *Params) float64 {
	if !now.Equal(m.decayedAt) {
		m.decayed, m.decayedAt = m.perSlot*decay(now.Sub(m.at), p.HistoryDecayTime), now
	}
	return m.decayed
}

// decay returns the weight of a figure by its age.
func decay(age, timeConstant time.Duration) float64 {
	return math.Exp(-float64(age) / float64(timeConstant))
}

// updateLoad applies a load report. It must be called while the attempt is still
// counted as in flight, since the report includes it. The values are clamped because
// an upstream may report anything.
func (e *endpoint) updateLoad(load *mesh.Load, now time.Time, p *Params) {
	if load == nil {
		return
	}
	slots := e.slots()
	e.reported.limit, e.reported.limitAt = min(max(load.Limit, 0), slots), now
	total := min(max(load.InFlight, 0), slots) + min(max(load.Queued, 0), maxQueue)
	e.reported.externalLoad, e.reported.at = float64(max(total-e.inFlight, 0)), now
	e.mean.record(e.reported.externalLoad/float64(slots), now, p)
	if load.Slowness > 0 {
		e.reported.slowness, e.reported.slownessAt = min(float64(load.Slowness)/100, maxSlowness), now
	}
}

// slowFactor returns the reported slowness, which returns to 1 as it ages.
func (e *endpoint) slowFactor(now time.Time, p *Params) float64 {
	if e.reported.slowness == 0 || e.reported.slowness == 1 {
		return 1
	}
	return 1 + (e.reported.slowness-1)*decay(now.Sub(e.reported.slownessAt), p.SlownessDecayTime)
}

// usualDuration returns the duration that an answered attempt would have had at the
// usual speed, so that the averages do not count a slowness that has passed.
func usualDuration(o *mesh.Outcome) float64 {
	if o.Load == nil || o.Load.Slowness <= 0 {
		return float64(o.Duration)
	}
	return float64(o.Duration) * 100 / min(float64(o.Load.Slowness), 100*maxSlowness)
}

func (e *endpoint) slots() int { return max(e.member.Endpoint.Slots, 1) }

// capacity returns the number of calls that the endpoint runs at once. A reported limit
// is forgotten like the load: an owner node that is rarely chosen because of a low limit
// can't report that it has risen.
func (e *endpoint) capacity(now time.Time, p *Params) float64 {
	slots := float64(e.slots())
	if e.reported.limit == 0 || e.reported.limit == e.slots() {
		return slots
	}
	return slots - (slots-float64(e.reported.limit))*decay(now.Sub(e.reported.limitAt), p.HistoryDecayTime)
}

// load estimates the number of attempts at the endpoint: this node's own, and those of
// other entry nodes.
func (e *endpoint) load(now time.Time, p *Params) float64 {
	return float64(e.inFlight) + e.externalLoad(now, p)
}

// externalLoad returns the last reported load of other entry nodes, which returns to the
// mean of its zone as it ages. It used to return to zero, so that endpoints without a
// recent report looked idle.
func (e *endpoint) externalLoad(now time.Time, p *Params) float64 {
	mean := e.mean.value(now, p) * float64(e.slots())
	if e.reported.at.IsZero() {
		return mean
	}
	return mean + (e.reported.externalLoad-mean)*decay(now.Sub(e.reported.at), p.LoadDecayTime)
}

// recordRefusal raises the load to capacity after a refusal under load, which the
// last report may contradict.
func (e *endpoint) recordRefusal(now time.Time, p *Params) {
	e.reported.externalLoad = max(e.externalLoad(now, p), e.capacity(now, p)-float64(e.inFlight))
	e.reported.at = now
	e.pause(now, p)
}

// zoneMean returns the mean load of the service's endpoints in a zone.
func (s *service) zoneMean(zone mesh.Zone) *meanLoad {
	if s.meanLoads == nil {
		s.meanLoads = map[mesh.Zone]*meanLoad{}
	}
	if s.meanLoads[zone] == nil {
		s.meanLoads[zone] = &meanLoad{}
	}
	return s.meanLoads[zone]
}

func (s *service) dropEmptyZones() {
	maps.DeleteFunc(s.meanLoads, func(_ mesh.Zone, m *meanLoad) bool {
		return !slices.ContainsFunc(s.endpoints, func(e *endpoint) bool { return e.mean == m })
	})
}
