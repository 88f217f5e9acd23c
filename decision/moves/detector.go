package moves

import "teaselring/mesh"

// failureRatios are the alternatives for the failure rate, new over old. The
// first two stand for 1% more failures beside an old version that fails in 1%
// or 0.3% of its calls, the last one for failing beside a faultless one. A
// smaller ratio took weight from the others and showed nothing within a move.
var failureRatios = [...]float64{2, 4, 10, 40}

const (
	shedRatio = 4
)

// Weights of the mixture over the properties of one route; their sum is 1.
const (
	failureWeight = 0.6
	slowWeight    = 0.35
	shedWeight    = 0.05
)

// Weights of the mixture over the tests of a service; their sum is 1.
const (
	serviceWeight = 0.45
	routesWeight  = 0.45
	crashWeight   = 0.1
)

// cause names the property that a version is bad by.
type cause string

const (
	byFailures cause = "failures"
	bySlowness cause = "slow answers"
	byCrashes  cause = "crashes"
	byShedding cause = "shedding"
)

// routeTest holds the e-processes of one route, or of all routes together.
type routeTest struct {
	old      mesh.Tally // of earlier windows
	pending  window     // not tested yet
	waited   int        // windows that pending holds
	bounds   [len(slowTails)]boundary
	weight   float64 // of tests that start with the pending window
	shapedAt uint32  // old calls when bounds were chosen
	failures [len(failureRatios)]eProcess
	slow     [len(slowTails)][2]eProcess
	shed     eProcess
	surge    surge
}

// update adds a window; weight is that of the tests that start with it.
func (r *routeTest) update(w *window, weight float64) {
	r.weight += weight
	r.pending.add(w)
	r.waited++
	if w.mostlyNew() {
		var slow slowness
		slow.set(w)
		r.surge.update(w, &r.old, &slow, &r.bounds)
	}
	if !r.ready() {
		return
	}
	r.test(&r.pending, r.weight)
	addTally(&r.old, &r.pending.old)
	r.pending, r.waited, r.weight = window{}, 0, 0
}

// ready reports whether the pending calls are worth a test: with answers of
// one version only, a window has no information, and the evidence of routes
// with few calls would be lost. The number of failures has no influence.
func (r *routeTest) ready() bool {
	n, o := &r.pending.new, &r.pending.old
	enough := n.Calls > 0 && o.Calls > 0 && n.Calls+o.Calls >= minWindowCalls
	return enough || r.waited >= maxWaited
}

const (
	minWindowCalls = 10
	maxWaited      = 5
)

func (r *routeTest) test(w *window, weight float64) {
	if calls := r.old.Calls; calls > r.shapedAt+r.shapedAt/reshapePart {
		r.bounds, r.shapedAt = boundaries(&r.old), calls
	}
	var slow slowness
	slow.set(w)
	r.surge.learn(w)
	f := w.failures()
	for i := range r.failures {
		r.failures[i].update(f.logRatio(failureRatios[i], 1), weight)
	}
	for i, b := range r.bounds {
		if b.bucket == 0 {
			continue
		}
		h := slow.from(b.bucket)
		r.slow[i][0].update(h.logRatio(b.alt, b.null), weight)
		r.slow[i][1].update(h.logRatio(tailFactor*b.null, b.null), weight)
	}
	r.shed.update(w.shed().logRatio(shedRatio, 1), weight)
}

// eValue returns the e-value of the route and the property that adds most.
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
		return sum, bySlowness
	case shed > failures:
		return sum, byShedding
	default:
		return sum, byFailures
	}
}

// detector tests one pool of answers: every route by itself and all of them
// together.
type detector struct {
	all      routeTest
	routes   []routeTest
	crash    crashTest
	windows  int
	restarts int
	restart  bool // at the next window
}

// update adds one window; routes are indexed as in the pool.
func (d *detector) update(all *window, routes []window) {
	weight := startWeight(d.windows)
	d.windows++
	if d.restart {
		d.restart = false
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

// allRoutes is the index that eValue returns for all routes together.
const allRoutes = -1

// eValue mixes the tests of all routes: half of the weight is on the service
// as a whole, half is shared by the routes, which adjusts for their number.
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
		route, by = allRoutes, byCrashes
	}
	return value + crash, route, by
}

// surging reports whether any route's answers got worse at full share.
func (d *detector) surging() bool {
	if d.all.surge.high() {
		return true
	}
	for i := range d.routes {
		if d.routes[i].surge.high() {
			return true
		}
	}
	return false
}

func (d *detector) resetSurge() {
	d.all.surge.reset()
	for i := range d.routes {
		d.routes[i].surge.reset()
	}
}
