// Package routing chooses an endpoint for each attempt from the view of all members,
// the traffic splits of current moves, and this node's own observations.
package routing

import (
	"time"

	"teaselring/mesh"
)

// Params are the parameters of the endpoint choice.
type Params struct {
	// RegionCost and RemoteCost are the round trips that are added to the score of
	// an endpoint in another zone of the region and in another region.
	RegionCost time.Duration
	RemoteCost time.Duration
	// ZoneSpill and RegionSpill are the utilization of an endpoint from which
	// endpoints outside the zone and outside the region are compared as well.
	ZoneSpill   float64
	RegionSpill float64
	// SlowFactor is the ratio of an endpoint's latency to the mean of its service
	// above which endpoints outside the zone are compared as well.
	SlowFactor float64
	// LoadDecayTime is the time constant with which a reported load returns to the mean
	// of the service in the endpoint's zone.
	LoadDecayTime time.Duration
	// SlownessDecayTime is the same for a reported slowness, which lasts for parts of a
	// second.
	SlownessDecayTime time.Duration
	// HistoryDecayTime is the same for the averages of an endpoint without calls. An
	// endpoint that looked slow at first gets calls again after three times that.
	HistoryDecayTime time.Duration
	// MinSampleWeight is the minimum weight of a new sample in latency and failure
	// averages. Infrequent samples weigh more, so that averages cover about the last
	// SmoothingTime, and at least a few samples.
	MinSampleWeight float64
	SmoothingTime   time.Duration
	// SameZoneDeadlineShare is the share of the time to a call's soft deadline within
	// which a response from its own zone must be expected, so that other zones are not
	// compared.
	SameZoneDeadlineShare float64
	// LongBodyDeadlineShare is the same for calls whose body has at least LongBodyBytes
	// bytes. One of them costs as many bytes between zones as a dozen others.
	LongBodyDeadlineShare float64
	LongBodyBytes         int64
	// FailureCost is the relative increase of the expected time of an endpoint whose
	// calls all fail.
	FailureCost float64
	// PenaltyBase and PenaltyMax bound the time for which an endpoint that doesn't
	// respond is avoided. It doubles with each failed trial.
	PenaltyBase time.Duration
	PenaltyMax  time.Duration
	// UnansweredThreshold is the number of consecutive attempts without a response
	// that start a penalty. An attempt counts if it waited for UnansweredAfter and
	// four times the endpoint's average latency.
	UnansweredThreshold int
	UnansweredAfter     time.Duration
	// RefusalPause is the time for which an endpoint outside the zone that refused a call
	// under load gets no calls that have endpoints in the zone. It doubles with each
	// further refusal, up to RefusalPauseMax.
	RefusalPause    time.Duration
	RefusalPauseMax time.Duration
	// MaxOutside is the number of endpoints outside the zone that such a call may try.
	MaxOutside int
	// ZoneCostPerKiB is the time by which the response to such a call must be expected
	// earlier outside the zone, for each KiB of its body. It stands for the price of bytes
	// between zones.
	ZoneCostPerKiB time.Duration
	// MaxRefusals is the number of refusals by owner nodes after which a call is refused.
	MaxRefusals int
	// TrialTimeout is the time after which a trial call without an outcome no longer
	// blocks further trials.
	TrialTimeout time.Duration
}

// DefaultParams returns the values used in production. RegionCost is the round trip
// between zones of both deployments (0.5 ms one way). The program measure/routing
// compares values of ZoneSpill and SlowFactor.
func DefaultParams() Params {
	return Params{
		RegionCost: time.Millisecond, RemoteCost: 60 * time.Millisecond,
		ZoneSpill: 0.25, RegionSpill: 0.9, SlowFactor: 1.25,
		LoadDecayTime: 200 * time.Millisecond, SlownessDecayTime: 200 * time.Millisecond,
		HistoryDecayTime: 3 * time.Second, MinSampleWeight: 0.01, SmoothingTime: 3 * time.Second, FailureCost: 10, SameZoneDeadlineShare: 0.8,
		LongBodyDeadlineShare: 0.95, LongBodyBytes: 16 << 10,
		PenaltyBase: 100 * time.Millisecond, PenaltyMax: 5 * time.Second, TrialTimeout: 5 * time.Second,
		RefusalPause: 100 * time.Millisecond, RefusalPauseMax: 2 * time.Second, MaxOutside: 3, MaxRefusals: 6, ZoneCostPerKiB: time.Millisecond,
		UnansweredThreshold: 3, UnansweredAfter: 500 * time.Millisecond,
	}
}

// maxSampleWeight is the maximum weight of one sample.
const maxSampleWeight = 0.2

// weight returns the weight of a sample by the time since the last one.
func (p *Params) weight(last, now time.Time) float64 {
	if last.IsZero() {
		return maxSampleWeight
	}
	return min(max(float64(now.Sub(last))/float64(p.SmoothingTime), p.MinSampleWeight), maxSampleWeight)
}

// Query describes the attempt for which Pick chooses an endpoint.
type Query struct {
	Call  *mesh.Call
	Tried []mesh.NodeID // not chosen again
	// Refusals counts the attempts that an owner node refused and no server saw.
	Refusals int
	Draw     uint64 // random number, the same for all attempts of a call
	// Evacuated holds the zones whose endpoints must get no calls.
	Evacuated []mesh.Zone
}

// Router holds the state of the endpoints on one entry node. It has at most one
// entry for each member of the view. It is not safe for concurrent use.
type Router struct {
	params    Params
	view      *mesh.View
	self      mesh.Member
	nodes     map[mesh.NodeID]*endpoint
	byService map[mesh.ServiceID]*service
	byTier    [tierCount][]*endpoint // of the choice in progress
}

// service groups the endpoints of one service.
type service struct {
	endpoints      []*endpoint // sorted by node id
	currentVersion mesh.UpstreamVersion
	meanLatency    float64 // average in ns, 0 without samples
	// routeLatency holds the average latency of each route in ns. Latencies of
	// endpoints are compared in units of the service's average, so that an endpoint
	// that got the long calls does not count as slow.
	routeLatency map[mesh.RouteID]float64
	lastSample   time.Time // time of the last answered call
	failures     baseline
	returns      returns
	meanLoads    map[mesh.Zone]*meanLoad
}

// maxRoutes bounds the routes with their own average.
const maxRoutes = 4096

// routeFactor returns the ratio of the route's average latency to that of the
// service.
func (s *service) routeFactor(route mesh.RouteID) float64 {
	if average := s.routeLatency[route]; average > 0 && s.meanLatency > 0 {
		return average / s.meanLatency
	}
	return 1
}

// record updates the averages with the latency of an answered call.
func (s *service) record(o *mesh.Outcome, now time.Time, p *Params) {
	weight := p.weight(s.lastSample, now)
	s.lastSample = now
	s.meanLatency = movingAverage(s.meanLatency, usualDuration(o), weight)
	if s.routeLatency == nil || len(s.routeLatency) >= maxRoutes {
		s.routeLatency = map[mesh.RouteID]float64{}
	}
	s.routeLatency[o.Route] = movingAverage(s.routeLatency[o.Route], usualDuration(o), max(weight, p.MinSampleWeight))
}

// New returns a router without endpoints.
func New(params Params) *Router {
	return &Router{
		params:    params,
		nodes:     map[mesh.NodeID]*endpoint{},
		byService: map[mesh.ServiceID]*service{},
	}
}

// SetView applies a view, unless it is the current one. State of members that are
// not in the view is dropped.
func (r *Router) SetView(view *mesh.View) {
	if view == nil || view == r.view {
		return
	}
	r.view = view
	nodes := make(map[mesh.NodeID]*endpoint, len(view.Members))
	services := map[mesh.ServiceID]*service{}
	for i := range view.Members {
		m := &view.Members[i]
		if m.Node == view.Self {
			r.self = *m
		}
		if m.Endpoint.State == mesh.EndpointNone {
			continue
		}
		e := r.carryOver(m)
		nodes[m.Node] = e
		s := services[m.Endpoint.Service]
		if s == nil {
			s = r.carryOverService(m.Endpoint.Service)
			services[m.Endpoint.Service] = s
		}
		s.endpoints = append(s.endpoints, e)
		e.mean = s.zoneMean(m.Zone)
	}
	r.nodes, r.byService = nodes, services
	for _, s := range services {
		s.chooseCurrentVersion()
		s.dropEmptyZones()
	}
}

// carryOver returns the state of a member from the last view, or a new one if the
// node or its upstream process has restarted since.
func (r *Router) carryOver(m *mesh.Member) *endpoint {
	e := r.nodes[m.Node]
	if e == nil || e.member.Incarnation != m.Incarnation {
		return newEndpoint(m)
	}
	if e.member.Endpoint.Process != m.Endpoint.Process {
		e.resetHistory()
	}
	e.member = *m
	return e
}

func (r *Router) carryOverService(id mesh.ServiceID) *service {
	s := r.byService[id]
	if s == nil {
		return &service{}
	}
	s.endpoints = nil
	return s
}

// Begin counts an attempt as in flight.
func (r *Router) Begin(t mesh.Target, now time.Time) {
	if e := r.find(t); e != nil {
		e.begin(now, r.params.TrialTimeout)
	}
}

// Cancel reverts a Begin whose attempt was not made.
func (r *Router) Cancel(t mesh.Target) {
	if e := r.find(t); e != nil {
		e.end()
		e.trialUntil = time.Time{}
	}
}

// End records the outcome of an attempt. Outcomes of members that are no longer in
// the view, or of an earlier incarnation, are ignored.
func (r *Router) End(o mesh.Outcome, now time.Time) {
	e := r.find(o.Target)
	if e == nil {
		return
	}
	s := r.byService[e.member.Endpoint.Service]
	e.updateLoad(o.Load, now, &r.params)
	e.end()
	if answered(&o) {
		s.record(&o, now, &r.params)
		s.returns.recordAnswer(now)
	}
	e.record(&o, s, now, &r.params)
}

// ExpectedLatency returns the average latency of the service, or 0 without samples.
func (r *Router) ExpectedLatency(id mesh.ServiceID) time.Duration {
	if s := r.byService[id]; s != nil {
		return time.Duration(s.meanLatency)
	}
	return 0
}

// InFlight returns the number of this node's attempts in flight at a node.
func (r *Router) InFlight(node mesh.NodeID) int {
	if e := r.nodes[node]; e != nil {
		return e.inFlight
	}
	return 0
}

// EndpointCount returns the number of endpoints in the view.
func (r *Router) EndpointCount() int { return len(r.nodes) }

func (r *Router) find(t mesh.Target) *endpoint {
	e := r.nodes[t.Node]
	if e == nil || e.member.Incarnation != t.Incarnation {
		return nil
	}
	return e
}
