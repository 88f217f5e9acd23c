package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"teaselring/mesh"
)

const (
	tick = 100 * time.Millisecond
	// linkDelay is the maximum delivery time of a report or row.
	linkDelay = 5 // ticks
)

// control decides the shares of the new versions: the code under test or a
// baseline.
type control interface {
	// share returns the new version's share at a node.
	share(node, svc int, t time.Duration) float64
	observe(node int, o *mesh.Outcome, t time.Duration)
	members(view *mesh.View, t time.Duration)
	tick(t time.Duration, platformUp bool)
	// usesLatency reports whether outcomes need a duration. Leaving it out saves
	// time.
	usesLatency() bool
	// doneAt, takenBackAt and shownAt return when the move of a service was
	// done, taken back, and first shown to be bad; 0 if it was not.
	doneAt(svc mesh.ServiceID) time.Duration
	takenBackAt(svc mesh.ServiceID) time.Duration
	shownAt(svc mesh.ServiceID) time.Duration
	reason(svc mesh.ServiceID) string
}

// moveOutcome is the result of one move.
type moveOutcome struct {
	bad           bool
	doneAt        time.Duration // 0: not done
	takenBackAt   time.Duration
	firstBadCall  time.Duration // first call to the new version while bad, 0: none
	lastBadCall   time.Duration // last call to the new version since firstBadCall
	shownAt       time.Duration
	reason        string
	badCalls      int
	calls         int
	target        time.Duration
	expectedCalls float64 // from the declaration to the target
}

// simulation runs one seed of a scenario.
type simulation struct {
	sc         *scenario
	rng        *rand.Rand
	fleets     []*fleet
	control    control
	moves      []moveOutcome
	outageFrom time.Duration
	replaceAt  time.Duration
}

func newSimulation(sc *scenario, dep *deployment, c control, seed uint64) *simulation {
	sim := &simulation{sc: sc, rng: rand.New(rand.NewPCG(seed, 0x6d6f766573)), control: c}
	for i := range sc.Service {
		f := newFleet(sc, i, dep, sim.rng)
		f.withLatency = c.usesLatency()
		sim.fleets = append(sim.fleets, f)
		sim.moves = append(sim.moves, moveOutcome{
			bad: sc.Service[i].Bad != nil, target: sc.Duration.Duration,
			expectedCalls: sc.Service[i].Rate * sc.Duration.Seconds(),
		})
	}
	for i := range sim.moves[1:] {
		sim.moves[i+1].expectedCalls += sc.Service[i].CallsOther * sim.moves[i].expectedCalls
	}
	if sc.Outage != nil {
		sim.outageFrom = sc.Outage.After.Duration + uniform(sc.Outage.Within.Duration, sim.rng)
	}
	sim.replaceAt = uniform(sc.Duration.Duration, sim.rng)
	return sim
}

func (sim *simulation) outage(t time.Duration) float64 {
	if o := sim.sc.Outage; o != nil && t >= sim.outageFrom && t < sim.outageFrom+o.For.Duration {
		return o.Failures
	}
	return 0
}

// run steps the clock until 15 s after the target, or until all moves are taken
// back.
func (sim *simulation) run() []moveOutcome {
	sim.publishMembers(0)
	end := sim.sc.Duration.Duration + 15*time.Second
	for t := tick; t < end && !sim.allTakenBack(t); t += tick {
		sim.step(t)
	}
	for i, f := range sim.fleets {
		m := &sim.moves[i]
		m.doneAt, m.takenBackAt = sim.control.doneAt(f.id), sim.control.takenBackAt(f.id)
		m.shownAt, m.reason = sim.control.shownAt(f.id), sim.control.reason(f.id)
	}
	return sim.moves
}

// allTakenBack reports whether every move was taken back at least 10 s ago.
func (sim *simulation) allTakenBack(t time.Duration) bool {
	for _, f := range sim.fleets {
		back := sim.control.takenBackAt(f.id)
		if back == 0 || t < back+10*time.Second {
			return false
		}
	}
	return true
}

func (sim *simulation) step(t time.Duration) {
	if t%time.Second == 0 {
		for _, f := range sim.fleets {
			f.tick()
		}
	}
	if t >= sim.replaceAt && t < sim.replaceAt+tick {
		sim.fleets[sim.rng.IntN(len(sim.fleets))].replace(sim.rng)
	}
	for i, f := range sim.fleets {
		for range sim.poisson(f.rate(t) * tick.Seconds()) {
			sim.call(i, t)
		}
	}
	sim.publishMembers(t)
	sim.control.tick(t, sim.sc.Outage == nil || t < sim.outageFrom || t >= sim.outageFrom+sim.sc.Outage.For.Duration)
}

func (sim *simulation) publishMembers(t time.Duration) {
	processesChanged := t == 0
	for _, f := range sim.fleets {
		processesChanged = processesChanged || f.processesChanged
		f.processesChanged = false
	}
	if !processesChanged {
		return
	}
	view := &mesh.View{}
	for _, f := range sim.fleets {
		view.Members = append(view.Members, f.members()...)
	}
	sim.control.members(view, t)
}

// call runs one call to a service, including its call to the next service, if
// any, and reports whether it succeeded.
func (sim *simulation) call(i int, t time.Duration) bool {
	f, m := sim.fleets[i], &sim.moves[i]
	node, v := sim.rng.IntN(sim.sc.Nodes), 0
	if sim.rng.Float64() < sim.control.share(node, i, t) {
		v = 1
	}
	o := &f.lastOutcome
	*o = f.serve(v, f.pickRoute(sim.rng), t, sim.outage(t), sim.rng)
	if !o.Failed && !o.Shed && i+1 < len(sim.fleets) && sim.rng.Float64() < f.svc.CallsOther {
		if !sim.call(i+1, t) {
			o.Failed, o.Status = true, 500
		}
	}
	m.calls++
	if v == 1 {
		sim.recordBadCall(m, f, t)
	}
	sim.control.observe(node, o, t)
	if o.Crashed {
		sim.reportCrash(f, t)
	}
	return !o.Failed && !o.Shed
}

// recordBadCall records a call to the new version if that is or was bad.
func (sim *simulation) recordBadCall(m *moveOutcome, f *fleet, t time.Duration) {
	if !f.isBad(t) && m.firstBadCall == 0 {
		return
	}
	if f.isBad(t) {
		m.badCalls++
	}
	if m.firstBadCall == 0 {
		m.firstBadCall = t
	}
	m.lastBadCall = t
}

// reportCrash delivers the crash outcome to other entry nodes with calls in
// flight.
func (sim *simulation) reportCrash(f *fleet, t time.Duration) {
	for range sim.rng.IntN(f.lastLoad.InFlight + 2) {
		sim.control.observe(sim.rng.IntN(sim.sc.Nodes), &f.lastOutcome, t)
	}
}

// poisson draws from a Poisson distribution: by Knuth's method, and for means
// above 50 by the normal approximation. Means here are below 200.
func (sim *simulation) poisson(mean float64) int {
	if mean > 50 {
		return max(0, int(math.Round(mean+math.Sqrt(mean)*sim.rng.NormFloat64())))
	}
	limit, n := math.Exp(-mean), 0
	for p := sim.rng.Float64(); p > limit; p *= sim.rng.Float64() {
		n++
	}
	return n
}

func nodeName(i int) mesh.NodeID { return mesh.NodeID(fmt.Sprintf("node-%02d", i)) }
