// Package routing chooses an endpoint for each attempt from the view of all
// members, the splits of current moves, and what this node itself observed.
package routing

import (
	"time"

	"teaselring/mesh"
)

// Params are the constants of the choice.
type Params struct {
	// RegionCost and RemoteCost are added to the score of an endpoint in
	// another zone of the region and in another region. They are round trips.
	RegionCost time.Duration
	RemoteCost time.Duration
	// ZoneSpill and RegionSpill are the shares of an endpoint's limit in use from
	// which endpoints outside the zone and the region are compared as well.
	ZoneSpill   float64
	RegionSpill float64
	// SlowFactor is the ratio of an endpoint's time of an answer to that of its
	// service from which endpoints outside the zone are compared as well.
	SlowFactor float64
	// ReportWeight is the weight of reported load against own attempts in
	// flight, ReportSmoothing that of a new report against the last ones.
	ReportWeight    float64
	ReportSmoothing float64
	// LoadTrust is the time in which a reported load loses most of its weight.
	LoadTrust time.Duration
	// HistoryTrust is the same for averages of an endpoint that gets no calls. An
	// endpoint that looked slow at first gets calls again after three times that.
	HistoryTrust time.Duration
	// Smoothing is the least weight of a new sample in latency and failure
	// averages. Samples that come seldom weigh more: averages cover about the last
	// SmoothingSpan, and at least a few samples.
	Smoothing     float64
	SmoothingSpan time.Duration
	// StayNear is the part of the time until a call's aim within which an answer
	// from its own zone must be expected for others not to be looked at.
	StayNear float64
	// StayNearLong is the same for calls whose body has at least LongBody bytes. One
	// of them costs as many bytes between zones as a dozen others.
	StayNearLong float64
	LongBody     int64
	// FailureCost multiplies the expected time of an endpoint whose answers all fail.
	FailureCost float64
	// PenaltyBase and PenaltyMax bound the time for which an endpoint that does
	// not answer is avoided; it doubles with each failed trial.
	PenaltyBase time.Duration
	PenaltyMax  time.Duration
	// SilentCalls attempts in a row that each waited for SilentAfter, or four
	// times the endpoint's usual time, without an answer start a penalty.
	SilentCalls int
	SilentAfter time.Duration
	// AskAgain is the time for which an endpoint outside the zone that refused a
	// call under load is not asked for calls that have endpoints in the zone.
	AskAgain time.Duration
	// TrialLease is the time after which a trial call without an outcome no
	// longer keeps others from being tried.
	TrialLease time.Duration
}

// DefaultParams returns the values used in production. The cost of a zone is
// the round trip of both deployments (0.5 ms one way); ZoneSpill, SlowFactor,
// the weights and LoadTrust were chosen with measure/routing.
func DefaultParams() Params {
	return Params{
		RegionCost: time.Millisecond, RemoteCost: 60 * time.Millisecond,
		ZoneSpill: 0.25, RegionSpill: 0.9, SlowFactor: 1.25,
		ReportWeight: 0.7, ReportSmoothing: 0.5, LoadTrust: 500 * time.Millisecond,
		HistoryTrust: 3 * time.Second, Smoothing: 0.01, SmoothingSpan: 3 * time.Second, FailureCost: 10, StayNear: 0.8,
		StayNearLong: 0.95, LongBody: 16 << 10,
		PenaltyBase: 100 * time.Millisecond, PenaltyMax: 5 * time.Second, TrialLease: 5 * time.Second,
		AskAgain: 250 * time.Millisecond, SilentCalls: 3, SilentAfter: 500 * time.Millisecond,
	}
}

// maxSmoothing is the largest weight of one sample.
const maxSmoothing = 0.2

// weight returns the weight of a sample after a gap since the last one.
func (p *Params) weight(last, now time.Time) float64 {
	if last.IsZero() {
		return maxSmoothing
	}
	return min(max(float64(now.Sub(last))/float64(p.SmoothingSpan), p.Smoothing), maxSmoothing)
}

// Query asks for an endpoint for one attempt.
type Query struct {
	Call  *mesh.Call
	Tried []mesh.NodeID // not to be chosen again
	Draw  uint64        // random, the same for all attempts of a call
}

// Router holds the state of one entry node. It is bounded by the view: each
// member has at most one entry. It is not safe for concurrent use.
type Router struct {
	params Params
	view   *mesh.View
	home   mesh.Member
	nodes  map[mesh.NodeID]*endpoint
	byName map[mesh.ServiceID]*service
}

// service groups the endpoints of one service.
type service struct {
	endpoints []*endpoint // in order of node id
	inUse     mesh.UpstreamVersion
	expected  float64 // average time of an answer in ns
	// routes holds the average time of an answer of each route in ns. Times of
	// endpoints are compared in units of the service's average call, so that an
	// endpoint that got the long calls does not count as slow.
	routes   map[mesh.RouteID]float64
	observed time.Time // the last answer
	failures baseline
}

// maxRoutes bounds the routes with an average of their own.
const maxRoutes = 4096

// scale returns how long a call of the route is in units of the average call.
func (s *service) scale(route mesh.RouteID) float64 {
	if average := s.routes[route]; average > 0 && s.expected > 0 {
		return average / s.expected
	}
	return 1
}

// learn updates the averages with the time of an answer.
func (s *service) learn(o *mesh.Outcome, now time.Time, p *Params) {
	weight := p.weight(s.observed, now)
	s.observed = now
	s.expected = average(s.expected, float64(o.Duration), weight)
	if s.routes == nil || len(s.routes) >= maxRoutes {
		s.routes = map[mesh.RouteID]float64{}
	}
	s.routes[o.Route] = average(s.routes[o.Route], float64(o.Duration), max(weight, p.Smoothing))
}

// New returns a router that knows no endpoint.
func New(params Params) *Router {
	return &Router{
		params: params,
		nodes:  map[mesh.NodeID]*endpoint{},
		byName: map[mesh.ServiceID]*service{},
	}
}

// Observe takes over a view. It does nothing when the view is the one it
// already has. State of members that are not in the view is dropped.
func (r *Router) Observe(view *mesh.View) {
	if view == nil || view == r.view {
		return
	}
	r.view = view
	nodes := make(map[mesh.NodeID]*endpoint, len(view.Members))
	services := map[mesh.ServiceID]*service{}
	for i := range view.Members {
		m := &view.Members[i]
		if m.Node == view.Self {
			r.home = *m
		}
		if m.Endpoint.State == mesh.EndpointNone {
			continue
		}
		e := r.keep(m)
		nodes[m.Node] = e
		s := services[m.Endpoint.Service]
		if s == nil {
			s = r.keepService(m.Endpoint.Service)
			services[m.Endpoint.Service] = s
		}
		s.endpoints = append(s.endpoints, e)
	}
	r.nodes, r.byName = nodes, services
	for _, s := range services {
		s.chooseInUse()
	}
}

// keep returns the state of a member, carried over from the last view unless
// it is another life of the node or of its upstream.
func (r *Router) keep(m *mesh.Member) *endpoint {
	e := r.nodes[m.Node]
	if e == nil || e.member.Incarnation != m.Incarnation {
		return newEndpoint(m)
	}
	if e.member.Endpoint.Process != m.Endpoint.Process {
		e.forgetHistory()
	}
	e.member = *m
	return e
}

func (r *Router) keepService(id mesh.ServiceID) *service {
	s := r.byName[id]
	if s == nil {
		return &service{}
	}
	s.endpoints = nil
	return s
}

// Begin counts an attempt in flight.
func (r *Router) Begin(t mesh.Target, now time.Time) {
	if e := r.find(t); e != nil {
		e.begin(now, r.params.TrialLease)
	}
}

// Cancel takes back a Begin whose attempt was not made.
func (r *Router) Cancel(t mesh.Target) {
	if e := r.find(t); e != nil {
		e.leave()
		e.trialUntil = time.Time{}
	}
}

// End takes the outcome of an attempt into account. Outcomes of members that
// have vanished, or of an earlier life of a node, are ignored.
func (r *Router) End(o mesh.Outcome, now time.Time) {
	e := r.find(o.Target)
	if e == nil {
		return
	}
	e.report(o.Load, now, &r.params)
	e.leave()
	s := r.byName[o.Target.Service]
	if s != nil && answered(&o) {
		s.learn(&o, now, &r.params)
		e.learn(&o, s, now, &r.params)
		return
	}
	e.learn(&o, nil, now, &r.params)
}

// Expected returns the average time of an answer of the service, or 0 when
// there was none yet.
func (r *Router) Expected(id mesh.ServiceID) time.Duration {
	if s := r.byName[id]; s != nil {
		return time.Duration(s.expected)
	}
	return 0
}

// InFlight returns the attempts that this node has in flight on a node.
func (r *Router) InFlight(node mesh.NodeID) int {
	if e := r.nodes[node]; e != nil {
		return e.inFlight
	}
	return 0
}

// Known returns the number of endpoints with state.
func (r *Router) Known() int { return len(r.nodes) }

func (r *Router) find(t mesh.Target) *endpoint {
	e := r.nodes[t.Node]
	if e == nil || e.member.Incarnation != t.Incarnation {
		return nil
	}
	return e
}
