package main

import (
	"time"

	"teaselring/mesh"
)

// baseline shifts by fixed steps at fixed times. With a threshold it takes the
// move back when the new version failed more often than that in the last
// minute; without one there is no guard at all.
type baseline struct {
	threshold float64 // 0: none
	duration  time.Duration
	services  map[mesh.ServiceID]*steps
	list      []*steps
}

// steps is the state of one move.
type steps struct {
	calls, failures [window]int // of the new version, one slot a second
	done, back      time.Duration
}

const (
	window = 60 // s
	// minCalls keeps the first failures of a window from deciding.
	minCalls = 20
	// fixedThreshold is a usual setting of such tools.
	fixedThreshold = 0.05
	rowDelay       = 300 * time.Millisecond
)

var fixedShares = [...]float64{0.05, 0.25, 0.5, 1}

func newBaseline(sc *scenario, threshold float64) *baseline {
	b := &baseline{threshold: threshold, duration: sc.Duration.Duration, services: map[mesh.ServiceID]*steps{}}
	for i := range sc.Service {
		s := &steps{}
		b.services[newFleetID(i)] = s
		b.list = append(b.list, s)
	}
	return b
}

func (b *baseline) usesLatency() bool { return false }

func (b *baseline) share(_, svc int, t time.Duration) float64 {
	s := b.list[svc]
	if s.back != 0 && t >= s.back+rowDelay {
		return 0
	}
	at := int(t * time.Duration(len(fixedShares)+1) / b.duration)
	return fixedShares[min(at, len(fixedShares)-1)]
}

func (b *baseline) observe(_ int, o *mesh.Outcome, t time.Duration) {
	if o.Target.Version != newVersion {
		return
	}
	s, at := b.services[o.Target.Service], int(t/time.Second)%window
	s.calls[at]++
	if o.Failed || o.Shed {
		s.failures[at]++
	}
}

func (b *baseline) members(*mesh.View, time.Duration) {}

func (b *baseline) tick(t time.Duration, platformUp bool) {
	if t%time.Second != 0 || !platformUp {
		return
	}
	for _, s := range b.services {
		if s.done == 0 && s.back == 0 {
			b.judge(s, t)
		}
		at := int(t/time.Second) % window
		s.calls[at], s.failures[at] = 0, 0
	}
}

func (b *baseline) judge(s *steps, t time.Duration) {
	var calls, failures int
	for i := range s.calls {
		calls += s.calls[i]
		failures += s.failures[i]
	}
	switch {
	case b.threshold > 0 && calls >= minCalls && float64(failures) > b.threshold*float64(calls):
		s.back = t
	case t >= b.duration*95/100:
		s.done = t
	}
}

func (b *baseline) done(svc mesh.ServiceID) time.Duration      { return b.services[svc].done }
func (b *baseline) takenBack(svc mesh.ServiceID) time.Duration { return b.services[svc].back }
func (b *baseline) shown(svc mesh.ServiceID) time.Duration     { return b.services[svc].back }
func (b *baseline) reason(mesh.ServiceID) string               { return "" }
