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
	// linkDelay is the longest time that a report or row takes to a node.
	linkDelay = 5 // ticks
)

// control is what decides about the shares: the code under test or a baseline.
type control interface {
	// share is the new version's share at a node.
	share(node, svc int, t time.Duration) float64
	observe(node int, o *mesh.Outcome, t time.Duration)
	members(view *mesh.View, t time.Duration)
	tick(t time.Duration, platformUp bool)
	// usesLatency is false when outcomes need no duration, which saves time.
	usesLatency() bool
	// state of the move of a service: when it was done, and when it was
	// taken back or first cut by any node; 0 when it was not.
	done(svc mesh.ServiceID) time.Duration
	takenBack(svc mesh.ServiceID) time.Duration
	shown(svc mesh.ServiceID) time.Duration
	reason(svc mesh.ServiceID) string
}

// outcome is how one move went.
type outcome struct {
	bad          bool
	done         time.Duration // 0: not done
	takenBack    time.Duration
	firstBad     time.Duration // first bad answer, 0: none
	lastCall     time.Duration // last call to the new version while bad
	shown        time.Duration
	reason       string
	badCalls     int
	calls        int
	target       time.Duration
	expectedLoad float64 // calls from the declaration to the target
}

// world runs one seed of a scenario.
type world struct {
	sc       *scenario
	rng      *rand.Rand
	fleets   []*fleet
	control  control
	moves    []outcome
	outFrom  time.Duration
	replaceT time.Duration
}

func newWorld(sc *scenario, dep *deployment, c control, seed uint64) *world {
	w := &world{sc: sc, rng: rand.New(rand.NewPCG(seed, 0x6d6f766573)), control: c}
	for i := range sc.Service {
		f := newFleet(sc, i, dep, w.rng)
		f.timed = c.usesLatency()
		w.fleets = append(w.fleets, f)
		w.moves = append(w.moves, outcome{
			bad: sc.Service[i].Bad != nil, target: sc.Duration.Duration,
			expectedLoad: sc.Service[i].Rate * sc.Duration.Seconds(),
		})
	}
	for i := range w.moves[1:] {
		w.moves[i+1].expectedLoad += sc.Service[i].CallsOther * w.moves[i].expectedLoad
	}
	if sc.Outage != nil {
		w.outFrom = sc.Outage.After.Duration + spread(sc.Outage.Within.Duration, w.rng)
	}
	w.replaceT = spread(sc.Duration.Duration, w.rng)
	return w
}

func (w *world) outage(t time.Duration) float64 {
	if o := w.sc.Outage; o != nil && t >= w.outFrom && t < w.outFrom+o.For.Duration {
		return o.Failures
	}
	return 0
}

// run steps the clock until a while after the target or until all is settled.
func (w *world) run() []outcome {
	w.spreadMembers(0)
	end := w.sc.Duration.Duration + 15*time.Second
	for t := tick; t < end && !w.settled(t); t += tick {
		w.step(t)
	}
	for i, f := range w.fleets {
		m := &w.moves[i]
		m.done, m.takenBack = w.control.done(f.id), w.control.takenBack(f.id)
		m.shown, m.reason = w.control.shown(f.id), w.control.reason(f.id)
	}
	return w.moves
}

// settled reports whether every move was taken back a while ago.
func (w *world) settled(t time.Duration) bool {
	for _, f := range w.fleets {
		back := w.control.takenBack(f.id)
		if back == 0 || t < back+10*time.Second {
			return false
		}
	}
	return true
}

func (w *world) step(t time.Duration) {
	if t%time.Second == 0 {
		for _, f := range w.fleets {
			f.tick()
		}
	}
	if t >= w.replaceT && t < w.replaceT+tick {
		w.fleets[w.rng.IntN(len(w.fleets))].replace(w.rng)
	}
	for i, f := range w.fleets {
		for range w.poisson(f.rate(t) * tick.Seconds()) {
			w.call(i, t)
		}
	}
	w.spreadMembers(t)
	w.control.tick(t, w.sc.Outage == nil || t < w.outFrom || t >= w.outFrom+w.sc.Outage.For.Duration)
}

func (w *world) spreadMembers(t time.Duration) {
	changed := t == 0
	for _, f := range w.fleets {
		changed = changed || f.changed
		f.changed = false
	}
	if !changed {
		return
	}
	view := &mesh.View{}
	for _, f := range w.fleets {
		view.Members = append(view.Members, f.members()...)
	}
	w.control.members(view, t)
}

// call runs one call of a service, with the call to the next one that it may
// contain, and reports whether it succeeded.
func (w *world) call(i int, t time.Duration) bool {
	f, m := w.fleets[i], &w.moves[i]
	node, v := w.rng.IntN(w.sc.Nodes), 0
	if w.rng.Float64() < w.control.share(node, i, t) {
		v = 1
	}
	o := &f.outcome
	*o = f.run(v, f.route(w.rng), t, w.outage(t), w.rng)
	if !o.Failed && !o.Shed && i+1 < len(w.fleets) && w.rng.Float64() < f.svc.CallsOther {
		if !w.call(i+1, t) {
			o.Failed, o.Status = true, 500
		}
	}
	m.calls++
	if v == 1 {
		w.note(m, f, t)
	}
	w.control.observe(node, o, t)
	if o.Crashed {
		w.crashOthers(f, t)
	}
	return !o.Failed && !o.Shed
}

// note counts a call to the new version while that is bad.
func (w *world) note(m *outcome, f *fleet, t time.Duration) {
	if !f.isBad(t) && m.firstBad == 0 {
		return
	}
	if f.isBad(t) {
		m.badCalls++
	}
	if m.firstBad == 0 {
		m.firstBad = t
	}
	m.lastCall = t
}

// crashOthers tells the other entry nodes with calls in flight of the crash.
func (w *world) crashOthers(f *fleet, t time.Duration) {
	for range w.rng.IntN(f.reported.InFlight + 2) {
		w.control.observe(w.rng.IntN(w.sc.Nodes), &f.outcome, t)
	}
}

// poisson draws by inversion; means here are below 200.
func (w *world) poisson(mean float64) int {
	if mean > 50 {
		return max(0, int(math.Round(mean+math.Sqrt(mean)*w.rng.NormFloat64())))
	}
	limit, n := math.Exp(-mean), 0
	for p := w.rng.Float64(); p > limit; p *= w.rng.Float64() {
		n++
	}
	return n
}

func nodeName(i int) mesh.NodeID { return mesh.NodeID(fmt.Sprintf("node-%02d", i)) }
