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

// upstream is one upstream process and its successors.
type upstream struct {
	node     mesh.NodeID
	life     int
	started  time.Duration // since the first call, for the cold start
	calls    int
	downFrom time.Duration
	downTill time.Duration
}

const (
	never     = time.Duration(math.MaxInt64) // not called yet
	longAgo   = -time.Hour
	warmCalls = 1000
)

// fleet is the truth about one service: its upstreams of both versions.
type fleet struct {
	svc       *service
	dep       *deployment
	id        mesh.ServiceID
	routes    []mesh.RouteID
	weights   []float64 // cumulative
	upstreams [2][]*upstream
	// load is the part of a version's slots in use, over about a second.
	load     [2]float64
	second   [2]int // calls since the last tick of load
	badFrom  time.Duration
	badRoute int
	overFrom time.Duration
	changed  bool         // some process is new
	timed    bool         // answers need a duration
	reported mesh.Load    // of the last call; no receiver keeps it
	outcome  mesh.Outcome // of the last call; likewise
	share    float64
}

func newFleetID(index int) mesh.ServiceID { return mesh.ServiceID(fmt.Sprintf("service-%d", index)) }

func newFleet(sc *scenario, index int, dep *deployment, rng *rand.Rand) *fleet {
	svc := &sc.Service[index]
	f := &fleet{svc: svc, dep: dep, id: newFleetID(index)}
	var sum float64
	for i := range svc.Routes {
		sum += 1 / float64(i+1) // rates fall with the rank, as they do in practice
		f.routes = append(f.routes, mesh.RouteID(fmt.Sprintf("route-%d", i)))
		f.weights = append(f.weights, sum)
	}
	for i := range f.weights {
		f.weights[i] /= sum
	}
	for v := range f.upstreams {
		for i := range sc.Upstreams {
			u := &upstream{node: mesh.NodeID(fmt.Sprintf("s%d-v%d-%d", index, v+1, i)), started: never}
			if v == 0 {
				u.calls, u.started = warmCalls, longAgo
			}
			f.upstreams[v] = append(f.upstreams[v], u)
		}
	}
	if b := svc.Bad; b != nil {
		f.badFrom = b.After.Duration + spread(b.Within.Duration, rng)
		f.badRoute = rng.IntN(svc.Routes)
	}
	if o := svc.Overload; o != nil {
		f.overFrom = o.After.Duration + spread(o.Within.Duration, rng)
	}
	return f
}

func spread(d time.Duration, rng *rand.Rand) time.Duration {
	return time.Duration(rng.Float64() * float64(d))
}

// rate is the number of calls/s from outside at a time.
func (f *fleet) rate(t time.Duration) float64 {
	if o := f.svc.Overload; o != nil && t >= f.overFrom && t < f.overFrom+o.For.Duration {
		return f.svc.Rate * o.Factor
	}
	return f.svc.Rate
}

// isBad reports whether the new version is worse than the old one now.
func (f *fleet) isBad(t time.Duration) bool {
	b := f.svc.Bad
	return b != nil && t >= f.badFrom && f.share >= b.AboveShare
}

// tick updates the load of both versions once a second.
func (f *fleet) tick() {
	for v := range f.upstreams {
		slots := float64(len(f.upstreams[v]) * f.dep.Slots)
		mean := f.dep.Latency.Seconds() * math.Exp(f.dep.Spread*f.dep.Spread/2)
		f.load[v] = float64(f.second[v]) * mean / slots
	}
	if n := f.second[0] + f.second[1]; n > 0 {
		f.share = float64(f.second[1]) / float64(n)
	}
	f.second = [2]int{}
}

func (f *fleet) route(rng *rand.Rand) int {
	x := rng.Float64()
	for i, w := range f.weights {
		if x < w {
			return i
		}
	}
	return len(f.weights) - 1
}

// run answers one call and returns what the entry node learns from it.
func (f *fleet) run(v, route int, t time.Duration, outage float64, rng *rand.Rand) mesh.Outcome {
	f.second[v]++
	u := f.pick(v, t, rng)
	f.reported = mesh.Load{InFlight: int(f.load[v] * float64(f.dep.Slots)), Limit: f.dep.Slots}
	o := mesh.Outcome{
		Target: mesh.Target{Node: u.node, Service: f.id, Version: [2]mesh.UpstreamVersion{oldVersion, newVersion}[v]},
		Route:  f.routes[route], Status: 200,
		Load: &f.reported,
	}
	if t < u.downTill {
		o.Status, o.Failed, o.Code, o.Load = 0, true, result.ConnectFailed.Number, nil
		return o
	}
	load := f.load[v]
	if load > 0.85 {
		o.Load.InFlight, o.Load.Queued = f.dep.Slots, 1
	}
	if load > 1 && rng.Float64() > 1/load {
		o.Status, o.Shed = 503, true
		return o
	}
	u.started = min(u.started, t)
	fail, slow, crash := f.effects(v, route, u, t, rng)
	fail += outage + f.svc.Failures
	u.calls++
	if crash && rng.Float64() < 1/f.svc.Bad.CrashEvery {
		f.stop(u, t)
		o.Status, o.Crashed, o.Failed, o.Code = 0, true, true, result.UpstreamLost.Number
		return o
	}
	if rng.Float64() < fail {
		o.Status, o.Failed = 500, true
	}
	if !f.timed {
		return o
	}
	queueing := 1 + 0.3*min(load, 1)
	if load > 0.85 {
		queueing *= 2
	}
	o.Duration = time.Duration(float64(f.dep.Latency.Duration) * slow * queueing *
		math.Exp(f.dep.Spread*rng.NormFloat64()))
	return o
}

// effects returns the additional failure rate, the factor on the latency and
// whether the version crashes.
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
	// avoidAfter is how long entry nodes still choose an upstream that is gone.
	avoidAfter = 500 * time.Millisecond
)

// pick chooses an upstream that the entry node believes to be there.
func (f *fleet) pick(v int, t time.Duration, rng *rand.Rand) *upstream {
	list := f.upstreams[v]
	u := list[rng.IntN(len(list))]
	for range 8 {
		if t >= u.downTill || t-u.downFrom < avoidAfter {
			return u
		}
		u = list[rng.IntN(len(list))]
	}
	return u
}

func (f *fleet) stop(u *upstream, t time.Duration) {
	u.downFrom, u.downTill = t, t+restartTime
	u.life, u.calls, u.started = u.life+1, 0, never
	f.changed = true
}

// replace ends an upstream gracefully: nothing fails, its successor is cold.
func (f *fleet) replace(rng *rand.Rand) {
	list := f.upstreams[rng.IntN(2)]
	u := list[rng.IntN(len(list))]
	u.life, u.calls, u.started = u.life+1, 0, never
	f.changed = true
}

func (f *fleet) members() []mesh.Member {
	var list []mesh.Member
	for v, version := range []mesh.UpstreamVersion{oldVersion, newVersion} {
		for _, u := range f.upstreams[v] {
			list = append(list, mesh.Member{Node: u.node, State: mesh.NodeAlive, Endpoint: mesh.Endpoint{
				Service: f.id, Version: version, State: mesh.EndpointReady, Process: fmt.Sprint(u.node, "/", u.life),
			}})
		}
	}
	return list
}
