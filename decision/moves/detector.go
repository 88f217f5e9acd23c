package moves

import "teaselring/mesh"

// failureRatios are the alternatives for the failure rate, new over old. The
// first two detect 1% more failures next to an old version that fails in 1% or
// 0.3% of its calls, the last one failures next to a faultless old version. A
// smaller ratio took weight from the others and detected nothing within a move.
var failureRatios = [...]float64{2, 4, 10, 40}

const (
	shedRatio = 4
)

// Weights of the mixture over the properties of one route; they add up to 1.
const (
	failureWeight = 0.6
	slowWeight    = 0.35
	shedWeight    = 0.05
)

// Weights of the mixture over the tests of a service; they add up to 1.
const (
	serviceWeight = 0.45
	routesWeight  = 0.45
	crashWeight   = 0.1
)

// cause names the property that makes a version bad.
type cause string

const (
	causeFailures cause = "failures"
	causeSlowness cause = "slow answers"
	causeCrashes  cause = "crashes"
	causeShedding cause = "shedding"
)

// routeTest holds the e-processes of one route, or of all routes combined.
type routeTest struct {
	old            mesh.Tally // calls in earlier windows
	pending        window     // not tested yet
	pendingWindows int        // number of windows in pending
	bounds         [len(tailFractions)]boundary
	weight         float64 // start weight of the pending window
	boundsCalls    uint32  // old calls when bounds were computed
	failures       [len(failureRatios)]eProcess
	slow           [len(tailFractions)][2]eProcess
	shed           eProcess
	degradation    degradation
}

// update adds a window; weight is the start weight of tests that begin with it.
func (r *routeTest) update(w *window, weight float64) {
	r.weight += weight
	r.pending.add(w)
	r.pendingWindows++
	if w.mostlyNew() {
		var slow latencyTails
		slow.set(w)
		r.degradation.update(w, &r.old, &slow, &r.bounds)
	}
	if !r.ready() {
		return
	}
	r.test(&r.pending, r.weight)
	addTally(&r.old, &r.pending.old)
	r.pending, r.pendingWindows, r.weight = window{}, 0, 0
}

// ready reports whether the pending calls are enough for a test. A window with
// calls of one version only carries no information, and the evidence of routes
// with few calls would be lost. The number of failures has no influence.
func (r *routeTest) ready() bool {
	n, o := &r.pending.new, &r.pending.old
	enough := n.Calls > 0 && o.Calls > 0 && n.Calls+o.Calls >= minWindowCalls
	return enough || r.pendingWindows >= maxPendingWindows
}

const (
	minWindowCalls    = 10
	maxPendingWindows = 5
)

func (r *routeTest) test(w *window, weight float64) {
	if calls := r.old.Calls; calls > r.boundsCalls+r.boundsCalls/boundsGrowthDivisor {
		r.bounds, r.boundsCalls = boundaries(&r.old), calls
	}
	var slow latencyTails
	slow.set(w)
	r.degradation.updateRecentRate(w)
	f := w.failures()
	for i := range r.failures {
		r.failures[i].update(f.logRatio(failureRatios[i], 1), weight)
	}
	for i, b := range r.bounds {
		if b.bucket == 0 {
			continue
		}
		h := slow.atLeast(b.bucket)
		r.slow[i][0].update(h.logRatio(b.alt, b.null), weight)
		r.slow[i][1].update(h.logRatio(tailFactor*b.null, b.null), weight)
	}
	r.shed.update(w.shed().logRatio(shedRatio, 1), weight)
}

// eValue returns the e-value of the route and the property that contributes
// most.
func (r *routeTest) eValue() (float64, cause) {
	var failures, slow float64
	for i := range r.failures {
		failures += float64(r.failures[i]) * failureWeight / float64(len(r.failures))
	}
	for i := range r.slow {
		slow += float64(r.slow[i][0]+r.slow[i][1]) * slowWeight / float64(2*len(r.slow))
	}
	shed := float64(r.shed) * shedWeight
	switch sum := failures + slow + shed; {
	case slow > failures && slow > shed:
		return sum, causeSlowness
	case shed > failures:
		return sum, causeShedding
	default:
		return sum, causeFailures
	}
}

// detector tests one pool of calls: each route separately and all of them
// combined.
type detector struct {
	all            routeTest
	routes         []routeTest
	crash          crashTest
	windows        int
	restarts       int
	restartPending bool // restart at the next window
}

// update adds one window; routes are indexed as in the pool.
func (d *detector) update(all *window, routes []window) {
	weight := startWeight(d.windows)
	d.windows++
	if d.restartPending {
		d.restartPending = false
		d.restarts++
		weight += restartWeight(d.restarts)
	}
	d.all.update(all, weight)
	d.crash.update(all, weight)
	for len(d.routes) < len(routes) {
		d.routes = append(d.routes, routeTest{})
	}
	for i := range routes {
		d.routes[i].update(&routes[i], weight)
	}
}

// allRoutes is the route index that eValue returns for all routes combined.
const allRoutes = -1

// eValue mixes the tests of all routes. The service as a whole and the routes
// together have equal weight; dividing the latter by the number of routes
// corrects for multiple testing.
func (d *detector) eValue() (value float64, route int, by cause) {
	value, by = d.all.eValue()
	value *= serviceWeight
	top, route := value, allRoutes
	for i := range d.routes {
		v, c := d.routes[i].eValue()
		v *= routesWeight / float64(len(d.routes))
		value += v
		if v > top {
			top, route, by = v, i, c
		}
	}
	crash := float64(d.crash.test) * crashWeight
	if crash > top {
		route, by = allRoutes, causeCrashes
	}
	return value + crash, route, by
}

// degraded reports whether the calls of any route got worse at full share.
func (d *detector) degraded() bool {
	if d.all.degradation.exceedsThreshold() {
		return true
	}
	for i := range d.routes {
		if d.routes[i].degradation.exceedsThreshold() {
			return true
		}
	}
	return false
}

func (d *detector) resetDegradation() {
	d.all.degradation.reset()
	for i := range d.routes {
		d.routes[i].degradation.reset()
	}
}
