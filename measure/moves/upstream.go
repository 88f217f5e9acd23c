package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"teaselring/mesh"
	"teaselring/result"
)

const (
	oldVersion mesh.UpstreamVersion = "1"
	newVersion mesh.UpstreamVersion = "2"
)

// upstream is an upstream process and, after restarts, its successors.
type upstream struct {
	node        mesh.NodeID
	incarnation int
	started     time.Duration // time of the first call, for the cold start
	calls       int
	downFrom    time.Duration
	downUntil   time.Duration
}

const (
	neverCalled = time.Duration(math.MaxInt64)
	longAgo     = -time.Hour
	warmCalls   = 1000
)

// fleet simulates one service: its upstreams of both versions.
type fleet struct {
	svc       *service
	dep       *deployment
	id        mesh.ServiceID
	routes    []mesh.RouteID
	weights   []float64 // cumulative
	upstreams [2][]*upstream
	// utilization is the share of a version's slots in use over the last second.
	utilization      [2]float64
	callsThisSecond  [2]int // by version
	badSince         time.Duration
	badRoute         int
	overloadFrom     time.Duration
	processesChanged bool         // since the last view
	withLatency      bool         // outcomes need a duration
	lastLoad         mesh.Load    // of the last call; reused, because no receiver keeps it
	lastOutcome      mesh.Outcome // of the last call; reused likewise
	share            float64      // of the new version in the last second
}

func serviceID(index int) mesh.ServiceID { return mesh.ServiceID(fmt.Sprintf("service-%d", index)) }

func newFleet(sc *scenario, index int, dep *deployment, rng *rand.Rand) *fleet {
	svc := &sc.Service[index]
	f := &fleet{svc: svc, dep: dep, id: serviceID(index)}
	var sum float64
	for i := range svc.Routes {
		sum += 1 / float64(i+1) // Zipf distribution, as in practice
		f.routes = append(f.routes, mesh.RouteID(fmt.Sprintf("route-%d", i)))
		f.weights = append(f.weights, sum)
	}
	for i := range f.weights {
		f.weights[i] /= sum
	}
	for v := range f.upstreams {
		for i := range sc.Upstreams {
			u := &upstream{node: mesh.NodeID(fmt.Sprintf("s%d-v%d-%d", index, v+1, i)), started: neverCalled}
			if v == 0 {
				u.calls, u.started = warmCalls, longAgo
			}
			f.upstreams[v] = append(f.upstreams[v], u)
		}
	}
	if b := svc.Bad; b != nil {
		f.badSince = b.After.Duration + uniform(b.Within.Duration, rng)
		f.badRoute = rng.IntN(svc.Routes)
	}
	if o := svc.Overload; o != nil {
		f.overloadFrom = o.After.Duration + uniform(o.Within.Duration, rng)
	}
	return f
}

func uniform(d time.Duration, rng *rand.Rand) time.Duration {
	return time.Duration(rng.Float64() * float64(d))
}

// rate returns the calls/s from callers at time t, without calls between
// services.
func (f *fleet) rate(t time.Duration) float64 {
	if o := f.svc.Overload; o != nil && t >= f.overloadFrom && t < f.overloadFrom+o.For.Duration {
		return f.svc.Rate * o.Factor
	}
	return f.svc.Rate
}

// isBad reports whether the new version is worse than the old one at time t.
func (f *fleet) isBad(t time.Duration) bool {
	b := f.svc.Bad
	return b != nil && t >= f.badSince && f.share >= b.AboveShare
}

// tick updates the utilization of both versions. It is called once a second.
func (f *fleet) tick() {
	for v := range f.upstreams {
		slots := float64(len(f.upstreams[v]) * f.dep.Slots)
		mean := f.dep.Latency.Seconds() * math.Exp(f.dep.Spread*f.dep.Spread/2)
		f.utilization[v] = float64(f.callsThisSecond[v]) * mean / slots
	}
	if n := f.callsThisSecond[0] + f.callsThisSecond[1]; n > 0 {
		f.share = float64(f.callsThisSecond[1]) / float64(n)
	}
	f.callsThisSecond = [2]int{}
}

func (f *fleet) pickRoute(rng *rand.Rand) int {
	x := rng.Float64()
	for i, w := range f.weights {
		if x < w {
			return i
		}
	}
	return len(f.weights) - 1
}

// serve processes a call and returns the outcome that the entry node observes.
func (f *fleet) serve(v, route int, t time.Duration, outage float64, rng *rand.Rand) mesh.Outcome {
	f.callsThisSecond[v]++
	u := f.pick(v, t, rng)
	f.lastLoad = mesh.Load{InFlight: int(f.utilization[v] * float64(f.dep.Slots)), Limit: f.dep.Slots}
	o := mesh.Outcome{
		Target: mesh.Target{Node: u.node, Service: f.id, Version: [2]mesh.UpstreamVersion{oldVersion, newVersion}[v]},
		Route:  f.routes[route], Status: 200,
		Load: &f.lastLoad,
	}
	if t < u.downUntil {
		o.Status, o.Failed, o.Code, o.Load = 0, true, result.ConnectFailed.Number, nil
		return o
	}
	utilization := f.utilization[v]
	if utilization > 0.85 {
		o.Load.InFlight, o.Load.Queued = f.dep.Slots, 1
	}
	if utilization > 1 && rng.Float64() > 1/utilization {
		o.Status, o.Shed = 503, true
		return o
	}
	u.started = min(u.started, t)
	fail, slow, crash := f.effects(v, route, u, t, rng)
	fail += outage + f.svc.Failures
	u.calls++
	if crash && rng.Float64() < 1/f.svc.Bad.CrashEvery {
		f.restart(u, t)
		o.Status, o.Crashed, o.Failed, o.Code = 0, true, true, result.UpstreamLost.Number
		return o
	}
	if rng.Float64() < fail {
		o.Status, o.Failed = 500, true
	}
	if !f.withLatency {
		return o
	}
	queueing := 1 + 0.3*min(utilization, 1)
	if utilization > 0.85 {
		queueing *= 2
	}
	o.Duration = time.Duration(float64(f.dep.Latency.Duration) * slow * queueing *
		math.Exp(f.dep.Spread*rng.NormFloat64()))
	return o
}

// effects returns the additional failure rate, the latency factor and whether the
// version may crash.
func (f *fleet) effects(v, route int, u *upstream, t time.Duration, rng *rand.Rand) (fail, slow float64, crash bool) {
	slow = 1
	if c := f.svc.Cold; c != nil && (u.calls < c.Calls || t-u.started < c.For.Duration) {
		fail, slow = c.Failures, c.Slower
	}
	if n := f.svc.Noise; v == 0 && n != nil && t%n.Every.Duration < n.For.Duration {
		fail += n.Failures
	}
	b := f.svc.Bad
	if v == 0 || !f.isBad(t) || b.OneRoute && route != f.badRoute {
		return fail, slow, false
	}
	fail += b.Failures
	if b.Slower > 0 && (b.SlowPart == 0 || rng.Float64() < b.SlowPart) {
		slow *= b.Slower
	}
	return fail, slow, b.CrashEvery > 0
}

const (
	restartTime = 3 * time.Second
	// detectionDelay is how long entry nodes still choose an upstream that is
	// down.
	detectionDelay = 500 * time.Millisecond
)

// pick chooses an upstream that the entry node considers available.
func (f *fleet) pick(v int, t time.Duration, rng *rand.Rand) *upstream {
	list := f.upstreams[v]
	u := list[rng.IntN(len(list))]
	for range 8 {
		if t >= u.downUntil || t-u.downFrom < detectionDelay {
			return u
		}
		u = list[rng.IntN(len(list))]
	}
	return u
}

func (f *fleet) restart(u *upstream, t time.Duration) {
	u.downFrom, u.downUntil = t, t+restartTime
	u.incarnation, u.calls, u.started = u.incarnation+1, 0, neverCalled
	f.processesChanged = true
}

// replace restarts an upstream gracefully: no call fails, but the new process
// starts cold.
func (f *fleet) replace(rng *rand.Rand) {
	list := f.upstreams[rng.IntN(2)]
	u := list[rng.IntN(len(list))]
	u.incarnation, u.calls, u.started = u.incarnation+1, 0, neverCalled
	f.processesChanged = true
}

func (f *fleet) members() []mesh.Member {
	var list []mesh.Member
	for v, version := range []mesh.UpstreamVersion{oldVersion, newVersion} {
		for _, u := range f.upstreams[v] {
			list = append(list, mesh.Member{Node: u.node, State: mesh.NodeAlive, Endpoint: mesh.Endpoint{
				Service: f.id, Version: version, State: mesh.EndpointReady, Process: fmt.Sprint(u.node, "/", u.incarnation),
			}})
		}
	}
	return list
}
