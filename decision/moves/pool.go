package moves

import (
	"fmt"
	"hash/fnv"
	"math"
	"slices"
	"time"

	"teaselring/mesh"
)

// groups is the number of groups of reporting nodes. Each detector leaves out
// one group, and a verdict needs all detectors to agree, so no single node can
// cause one. Four groups cost a quarter of the evidence.
const groups = 4

// minGroups is the number of reporting groups from which on one is left out.
// With fewer, all evidence is used.
const minGroups = 3

const (
	// agreeingNodes is how many nodes must report a recheck before a node joins
	// it, and how many must report a cut before the share stops growing.
	agreeingNodes = 2
	// agreementDiscount is the fraction of the evidence, in nats, that the
	// pooled test needs less for each of at most agreeingNodes nodes that have
	// cut the new version. Nodes reach the full evidence at somewhat different
	// times, so the first cuts bring forward the others. One misreporting node
	// can thereby raise the probability of a false alarm from FalseAlarmRate to
	// FalseAlarmRate^(3/4).
	agreementDiscount    = 0.25
	localThresholdFactor = 16
)

// Pool collects the evidence of all nodes on one move and tests it.
type Pool struct {
	settings    Settings
	nodes       map[mesh.NodeID]*reporter
	routes      map[mesh.RouteID]int
	routeIDs    []mesh.RouteID
	pending     []groupWindow
	detectors   []detector // detector i leaves out group i
	total       window
	routeTotals []window // of each route, for the reason of a verdict
	routeSums   []window // of all groups; reused to save allocations
	rest        []window // of all groups but one; likewise
	noWorse     nonInferiority
	recheck     recheck
	grouped     bool
	bad         bool // final once set
	reason      string
}

type reporter struct {
	group  int
	routes []int // index in the pool of each route in its reports
	latest mesh.Evidence
}

type groupWindow struct {
	routes   []window
	all      window // sum of routes, set when the window closes
	reported bool   // the group has reported at some time
}

// NewPool returns an empty pool for the evidence of all nodes.
func NewPool(s Settings) *Pool { return newPool(s, groups) }

// newPool with one group is for a node's own evidence, all of which is trusted.
func newPool(s Settings, count int) *Pool {
	return &Pool{
		settings: s, nodes: map[mesh.NodeID]*reporter{}, routes: map[mesh.RouteID]int{},
		pending: make([]groupWindow, count), detectors: make([]detector, count),
	}
}

// Add adds a report. Reports that are not newer than one of the same node are
// ignored, so duplicated and reordered messages do no harm. It reports whether
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
	if !p.grouped && hasNewCalls(e) {
		p.group()
	}
	p.addDelta(r, e, &before)
	return true
}

func (p *Pool) addDelta(r *reporter, e, before *mesh.Evidence) {
	g := &p.pending[r.group]
	g.reported = true
	for i := range e.Routes {
		c, b := &e.Routes[i], &zeroComparison
		if earlier := findComparison(before, c.Route, i); earlier != nil {
			b = earlier
		}
		index := p.routeIndex(r, c.Route, i)
		for len(g.routes) <= index {
			g.routes = append(g.routes, window{})
		}
		addDelta(&g.routes[index].old, &c.Old, &b.Old)
		addDelta(&g.routes[index].new, &c.New, &b.New)
	}
}

var zeroComparison mesh.Comparison

func hasNewCalls(e *mesh.Evidence) bool {
	for i := range e.Routes {
		if e.Routes[i].New.Calls > 0 {
			return true
		}
	}
	return false
}

// group divides the known nodes evenly into the groups, in order of id, when
// the first call of the new version is reported. All nodes have reported by
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

// hashGroup returns the group of a node whose first report comes later.
func (p *Pool) hashGroup(id mesh.NodeID) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return int(h.Sum32() % uint32(len(p.pending)))
}

// findComparison finds a route in an earlier report, usually at index hint.
func findComparison(e *mesh.Evidence, route mesh.RouteID, hint int) *mesh.Comparison {
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

// routeIndex returns the pool's index of the route at a position in a node's
// reports. Nodes append new routes, so most are found by position.
func (p *Pool) routeIndex(r *reporter, id mesh.RouteID, position int) int {
	if position < len(r.routes) && p.routeIDs[r.routes[position]] == id {
		return r.routes[position]
	}
	i, known := p.routes[id]
	if !known {
		i = len(p.routeIDs)
		p.routes[id] = i
		p.routeIDs = append(p.routeIDs, id)
	}
	if position == len(r.routes) {
		r.routes = append(r.routes, i)
	}
	return i
}

// CloseWindow closes a window and tests the reports received since the last call.
func (p *Pool) CloseWindow(now time.Time) {
	p.routeSums = resetWindows(p.routeSums, len(p.routeIDs))
	var all window
	reported := 0
	for g := range p.pending {
		w := &p.pending[g]
		w.all = window{}
		for i := range w.routes {
			w.all.add(&w.routes[i])
			p.routeSums[i].add(&w.routes[i])
		}
		all.add(&w.all)
		if w.reported {
			reported++
		}
	}
	p.noWorse.update(&all, p.cappedCalls(&all, reported), &p.total.old)
	for d := range p.detectors {
		p.test(d, all, reported)
	}
	p.accumulate(&all)
	p.updateVerdict()
	if len(p.detectors) > 1 { // the share of one node doesn't change the load
		p.recheck.step(p, now)
	}
}

// accumulate adds the window to the totals and clears it.
func (p *Pool) accumulate(all *window) {
	for len(p.routeTotals) < len(p.routeSums) {
		p.routeTotals = append(p.routeTotals, window{})
	}
	for i := range p.routeSums {
		p.routeTotals[i].add(&p.routeSums[i])
	}
	p.total.add(all)
	for g := range p.pending {
		clear(p.pending[g].routes)
	}
}

// cappedCalls returns how many calls of the new version count in its favour: at
// most twice those of all groups but the largest.
func (p *Pool) cappedCalls(all *window, reported int) float64 {
	if reported < minGroups {
		return float64(all.new.Calls)
	}
	var largest uint32
	for g := range p.pending {
		largest = max(largest, p.pending[g].all.new.Calls)
	}
	return 2 * float64(all.new.Calls-largest)
}

// resetWindows returns n empty windows and reuses the memory of list if it
// fits.
func resetWindows(list []window, n int) []window {
	if cap(list) < n {
		return make([]window, n)
	}
	list = list[:n]
	clear(list)
	return list
}

// test passes the window of all groups but group d to detector d.
func (p *Pool) test(d int, all window, reported int) {
	if reported < minGroups {
		p.detectors[d].update(&all, p.routeSums)
		return
	}
	p.rest = append(p.rest[:0], p.routeSums...)
	for i := range p.pending[d].routes {
		p.rest[i].sub(&p.pending[d].routes[i])
	}
	all.sub(&p.pending[d].all)
	p.detectors[d].update(&all, p.rest)
}

func (p *Pool) updateVerdict() {
	if p.bad {
		return
	}
	least, route, by := p.detectors[0].eValue()
	for d := 1; d < len(p.detectors); d++ {
		if v, r, c := p.detectors[d].eValue(); v < least {
			least, route, by = v, r, c
		}
	}
	if least >= p.threshold() {
		p.bad, p.reason = true, p.describe(route, by)
	}
}

// threshold returns the e-value at which the version counts as bad. A node's
// own evidence needs localThresholdFactor times as much, because every node has
// such a test.
func (p *Pool) threshold() float64 {
	shown := p.settings.badThreshold()
	if len(p.detectors) == 1 {
		return shown * localThresholdFactor
	}
	return math.Pow(shown, 1-agreementDiscount*float64(min(p.cuts(), agreeingNodes)))
}

// describe returns the counts behind a verdict, for operators.
func (p *Pool) describe(route int, by cause) string {
	name := "all routes"
	w := p.total
	if route != allRoutes {
		name, w = fmt.Sprintf("route %q", p.routeIDs[route]), p.routeTotals[route]
	}
	count := func(t *mesh.Tally) uint32 {
		switch by {
		case causeCrashes:
			return t.Crashes
		case causeShedding:
			return t.Shed
		default:
			return t.Failures
		}
	}
	if by == causeSlowness {
		return fmt.Sprintf("%s of %s: new version slower than old in %d calls against %d",
			by, name, w.new.Calls, w.old.Calls)
	}
	return fmt.Sprintf("%s of %s: new version %d in %d calls, old version %d in %d",
		by, name, count(&w.new), w.new.Calls, count(&w.old), w.old.Calls)
}

// Verdict returns the result of all closed windows.
func (p *Pool) Verdict() mesh.Verdict {
	v := mesh.Verdict{Bad: p.bad, Reason: p.reason, Nodes: len(p.nodes)}
	v.Recheck, v.Rechecked = p.recheck.active || p.rechecking() >= agreeingNodes, p.recheck.lastActive
	v.GoodEvidence = p.noWorse.logRatio
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
