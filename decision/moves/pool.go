package moves

import (
	"fmt"
	"hash/fnv"
	"math"
	"slices"
	"time"

	"teaselring/mesh"
)

// groups is how many groups the reporting nodes form. Each group is left out
// of one detector, and a verdict needs all detectors to agree, so no single
// node can bring one about. Four groups cost a quarter of the evidence.
const groups = 4

// minGroups is the number of groups with reports from which on one is left
// out. With fewer nodes than that, all evidence is used.
const minGroups = 3

const (
	// agreeingNodes is how many other nodes must recheck the new version before
	// a node joins the recheck.
	agreeingNodes = 2
	// agreement is the part of the evidence, in nats, that the pooled test
	// needs less for each of at most agreeingNodes nodes that have cut the
	// new version. Nodes reach the full evidence at somewhat different times;
	// the first ones pull the others along. One misreporting node can thereby raise
	// the probability of a false alarm from FalseAlarm to its 3/4th power.
	agreement = 0.25
	ownFactor = 16
)

// Pool gathers the evidence of all nodes about one move and tests it.
type Pool struct {
	settings  Settings
	nodes     map[mesh.NodeID]*reporter
	routes    map[mesh.RouteID]int
	names     []mesh.RouteID
	pending   []groupWindow
	detectors []detector // detector i leaves out group i
	total     window
	totals    []window // of each route, for reasons
	sums      []window // of all groups; kept between windows to save allocations
	rest      []window // of all groups but one; likewise
	good      goodness
	recheck   recheck
	grouped   bool
	shown     bool // bad, for good
	reason    string
}

type reporter struct {
	group  int
	routes []int // index in the pool of each route of its reports
	latest mesh.Evidence
}

type groupWindow struct {
	routes []window
	all    window // sum of routes, when the window closes
	used   bool   // the group has reported at some time
}

// NewPool returns an empty pool for the evidence of all nodes.
func NewPool(s Settings) *Pool { return newPool(s, groups) }

// newPool with one group is for evidence that is trusted whole: a node's own.
func newPool(s Settings, count int) *Pool {
	return &Pool{
		settings: s, nodes: map[mesh.NodeID]*reporter{}, routes: map[mesh.RouteID]int{},
		pending: make([]groupWindow, count), detectors: make([]detector, count),
	}
}

// Add adds a report. Reports that are not newer than one of the same node
// are ignored, so repeated and crossing messages do no harm. It reports whether
// the report was newer.
func (p *Pool) Add(e *mesh.Evidence) bool {
	r := p.nodes[e.Node]
	if r == nil {
		r = &reporter{group: p.hashGroup(e.Node)}
		p.nodes[e.Node] = r
	}
	before := r.latest
	if e.Incarnation < before.Incarnation ||
		e.Incarnation == before.Incarnation && e.Sequence <= before.Sequence {
		return false
	}
	if e.Incarnation > before.Incarnation {
		before = mesh.Evidence{}
	}
	r.latest = *e
	if e.Sequence-before.Sequence > maxReportGap {
		return true
	}
	if !p.grouped && hasNew(e) {
		p.group()
	}
	p.addGrowth(r, e, &before)
	return true
}

func (p *Pool) addGrowth(r *reporter, e, before *mesh.Evidence) {
	g := &p.pending[r.group]
	g.used = true
	for i := range e.Routes {
		c, b := &e.Routes[i], &noComparison
		if earlier := comparison(before, c.Route, i); earlier != nil {
			b = earlier
		}
		at := p.route(r, c.Route, i)
		for len(g.routes) <= at {
			g.routes = append(g.routes, window{})
		}
		addGrowth(&g.routes[at].old, &c.Old, &b.Old)
		addGrowth(&g.routes[at].new, &c.New, &b.New)
	}
}

var noComparison mesh.Comparison

func hasNew(e *mesh.Evidence) bool {
	for i := range e.Routes {
		if e.Routes[i].New.Calls > 0 {
			return true
		}
	}
	return false
}

// group spreads the nodes known evenly over the groups, in order of id, when
// the first answer of the new version arrives. All nodes have reported by
// then, so they form the same groups and reach a verdict at the same time.
func (p *Pool) group() {
	p.grouped = true
	ids := make([]mesh.NodeID, 0, len(p.nodes))
	for id := range p.nodes {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for i, id := range ids {
		p.nodes[id].group = i % len(p.pending)
	}
}

// hashGroup is the group of a node that reports for the first time later on.
func (p *Pool) hashGroup(id mesh.NodeID) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return int(h.Sum32() % uint32(len(p.pending)))
}

// comparison finds a route in an earlier report, most often at the same place.
func comparison(e *mesh.Evidence, route mesh.RouteID, hint int) *mesh.Comparison {
	if hint < len(e.Routes) && e.Routes[hint].Route == route {
		return &e.Routes[hint]
	}
	for i := range e.Routes {
		if e.Routes[i].Route == route {
			return &e.Routes[i]
		}
	}
	return nil
}

// route returns the index of the route at a place in a node's reports. A node
// adds routes at the end, so most are known by their place.
func (p *Pool) route(r *reporter, id mesh.RouteID, place int) int {
	if place < len(r.routes) && p.names[r.routes[place]] == id {
		return r.routes[place]
	}
	i, known := p.routes[id]
	if !known {
		i = len(p.names)
		p.routes[id] = i
		p.names = append(p.names, id)
	}
	if place == len(r.routes) {
		r.routes = append(r.routes, i)
	}
	return i
}

// Close ends a window: what was received since the last call is tested.
func (p *Pool) Close(now time.Time) {
	p.sums = cleared(p.sums, len(p.names))
	var all window
	used := 0
	for g := range p.pending {
		w := &p.pending[g]
		w.all = window{}
		for i := range w.routes {
			w.all.add(&w.routes[i])
			p.sums[i].add(&w.routes[i])
		}
		all.add(&w.all)
		if w.used {
			used++
		}
	}
	p.good.update(&all, p.countable(&all, used), &p.total.old)
	for d := range p.detectors {
		p.test(d, all, used)
	}
	p.account(&all)
	p.judge()
	if len(p.detectors) > 1 { // a node's own share alone changes no load
		p.recheck.step(p, now)
	}
}

// account adds the window to the totals and empties it.
func (p *Pool) account(all *window) {
	for len(p.totals) < len(p.sums) {
		p.totals = append(p.totals, window{})
	}
	for i := range p.sums {
		p.totals[i].add(&p.sums[i])
	}
	p.total.add(all)
	for g := range p.pending {
		clear(p.pending[g].routes)
	}
}

// countable is how many calls of the new version count for it: at most twice
// those of all groups but the largest.
func (p *Pool) countable(all *window, used int) float64 {
	if used < minGroups {
		return float64(all.new.Calls)
	}
	var largest uint32
	for g := range p.pending {
		largest = max(largest, p.pending[g].all.new.Calls)
	}
	return 2 * float64(all.new.Calls-largest)
}

// cleared returns a slice of n empty windows, in the same memory if it fits.
func cleared(list []window, n int) []window {
	if cap(list) < n {
		return make([]window, n)
	}
	list = list[:n]
	clear(list)
	return list
}

// test gives detector d the window of all groups but group d.
func (p *Pool) test(d int, all window, used int) {
	if used < minGroups {
		p.detectors[d].update(&all, p.sums)
		return
	}
	p.rest = append(p.rest[:0], p.sums...)
	for i := range p.pending[d].routes {
		p.rest[i].sub(&p.pending[d].routes[i])
	}
	all.sub(&p.pending[d].all)
	p.detectors[d].update(&all, p.rest)
}

func (p *Pool) judge() {
	if p.shown {
		return
	}
	least, route, by := p.detectors[0].eValue()
	for d := 1; d < len(p.detectors); d++ {
		if v, r, c := p.detectors[d].eValue(); v < least {
			least, route, by = v, r, c
		}
	}
	if least >= p.threshold() {
		p.shown, p.reason = true, p.describe(route, by)
	}
}

// threshold is the e-value that shows the version to be bad. A node's own
// evidence needs ownFactor times as much, because every node has such a test.
func (p *Pool) threshold() float64 {
	shown := p.settings.shownBad()
	if len(p.detectors) == 1 {
		return shown * ownFactor
	}
	return math.Pow(shown, 1-agreement*float64(min(p.cuts(), agreeingNodes)))
}

// describe names the counts behind a verdict for operators.
func (p *Pool) describe(route int, by cause) string {
	name := "all routes"
	w := p.total
	if route != allRoutes {
		name, w = fmt.Sprintf("route %q", p.names[route]), p.totals[route]
	}
	count := func(t *mesh.Tally) uint32 {
		switch by {
		case byCrashes:
			return t.Crashes
		case byShedding:
			return t.Shed
		default:
			return t.Failures
		}
	}
	if by == bySlowness {
		return fmt.Sprintf("%s of %s: new version slower than old in %d calls against %d",
			by, name, w.new.Calls, w.old.Calls)
	}
	return fmt.Sprintf("%s of %s: new version %d in %d calls, old version %d in %d",
		by, name, count(&w.new), w.new.Calls, count(&w.old), w.old.Calls)
}

// Verdict returns the result of all closed windows.
func (p *Pool) Verdict() mesh.Verdict {
	v := mesh.Verdict{Bad: p.shown, Reason: p.reason, Nodes: len(p.nodes)}
	v.Recheck, v.Rechecked = p.recheck.active || p.rechecking() >= agreeingNodes, p.recheck.last
	v.Good = p.good.nats
	v.Calls = p.total.new.Calls
	v.Cuts = p.cuts()
	return v
}

func (p *Pool) cuts() int {
	n := 0
	for _, r := range p.nodes {
		if r.latest.Cut {
			n++
		}
	}
	return n
}

// Reports returns the newest report of each node, in no particular order.
func (p *Pool) Reports() []mesh.Evidence {
	list := make([]mesh.Evidence, 0, len(p.nodes))
	for _, r := range p.nodes {
		list = append(list, r.latest)
	}
	return list
}
