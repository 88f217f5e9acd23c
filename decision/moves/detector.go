package moves

// failureRatios are the alternatives for the failure rate, new over old. The
// first ones stand for 1% more failures beside an old version that fails too,
// the last one for failing beside a faultless one.
var failureRatios = [...]float64{1.4, 2, 4, 12, 60}

const (
	crashRatio = 30
	shedRatio  = 4
)

// Weights of the mixture over the properties of one route; their sum is 1.
const (
	failureWeight = 0.55
	slowWeight    = 0.3
	crashWeight   = 0.1
	shedWeight    = 0.05
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
	total    window // of earlier windows
	bounds   [len(slowTails)]boundary
	shapedAt uint32 // old calls when bounds were chosen
	failures [len(failureRatios)]eProcess
	slow     [len(slowTails)][2]eProcess
	crash    eProcess
	shed     eProcess
	surge    surge
}

// update adds a window; weight is that of the tests that start with it.
func (r *routeTest) update(w *window, weight float64) {
	if calls := r.total.old.Calls; calls > r.shapedAt+r.shapedAt/reshapePart {
		r.bounds, r.shapedAt = boundaries(&r.total.old), calls
	}
	r.surge.update(w, &r.total.old, &r.bounds)
	f := w.failures()
	for i := range r.failures {
		r.failures[i].update(f.logRatio(failureRatios[i], 1), weight)
	}
	for i, b := range r.bounds {
		if b.bucket == 0 {
			continue
		}
		h := w.slower(b.bucket)
		r.slow[i][0].update(h.logRatio(b.alt, b.null), weight)
		r.slow[i][1].update(h.logRatio(tailFactor*b.null, b.null), weight)
	}
	r.crash.update(w.crashes().logRatio(crashRatio, 1), weight)
	r.shed.update(w.shed().logRatio(shedRatio, 1), weight)
	r.total.add(w)
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
	crash, shed := float64(r.crash)*crashWeight, float64(r.shed)*shedWeight
	top, by := failures, byFailures
	for _, c := range []struct {
		value float64
		by    cause
	}{{slow, bySlowness}, {crash, byCrashes}, {shed, byShedding}} {
		if c.value > top {
			top, by = c.value, c.by
		}
	}
	return failures + slow + crash + shed, by
}

// detector tests one pool of answers: every route by itself and all of them
// together.
type detector struct {
	all      routeTest
	routes   []routeTest
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
	value /= 2
	top, route := value, allRoutes
	for i := range d.routes {
		v, c := d.routes[i].eValue()
		v /= 2 * float64(len(d.routes))
		value += v
		if v > top {
			top, route, by = v, i, c
		}
	}
	return value, route, by
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
