package main

import (
	"time"

	"teaselring/mesh"
)

// baseline raises the share in fixed steps at fixed times. With a maximum failure
// rate it takes the move back when the new version's failure rate in the last
// minute exceeds it; without one it never takes a move back.
type baseline struct {
	maxFailureRate float64 // 0: no guard
	duration       time.Duration
	moves          map[mesh.ServiceID]*moveState
	byIndex        []*moveState
}

// moveState is the state of one move.
type moveState struct {
	calls, failures    [windowSeconds]int // of the new version, one slot per second
	doneAt, revertedAt time.Duration      // 0: not yet
}

const (
	windowSeconds = 60
	// minCalls keeps the first few failures in a window from deciding.
	minCalls = 20
	// fixedThreshold is a failure rate at which such tools commonly roll back.
	fixedThreshold = 0.05
	rowDelay       = 300 * time.Millisecond
)

var fixedShares = [...]float64{0.05, 0.25, 0.5, 1}

func newBaseline(sc *scenario, maxFailureRate float64) *baseline {
	b := &baseline{maxFailureRate: maxFailureRate, duration: sc.Duration.Duration, moves: map[mesh.ServiceID]*moveState{}}
	for i := range sc.Service {
		s := &moveState{}
		b.moves[serviceID(i)] = s
		b.byIndex = append(b.byIndex, s)
	}
	return b
}

func (b *baseline) usesLatency() bool { return false }

func (b *baseline) share(_, svc int, t time.Duration) float64 {
	s := b.byIndex[svc]
	if s.revertedAt != 0 && t >= s.revertedAt+rowDelay {
		return 0
	}
	step := int(t * time.Duration(len(fixedShares)+1) / b.duration)
	return fixedShares[min(step, len(fixedShares)-1)]
}

func (b *baseline) observe(_ int, o *mesh.Outcome, t time.Duration) {
	if o.Target.Version != newVersion {
		return
	}
	s, slot := b.moves[o.Target.Service], int(t/time.Second)%windowSeconds
	s.calls[slot]++
	if o.Failed || o.Shed {
		s.failures[slot]++
	}
}

func (b *baseline) members(*mesh.View, time.Duration) {}

func (b *baseline) tick(t time.Duration, platformUp bool) {
	if t%time.Second != 0 || !platformUp {
		return
	}
	for _, s := range b.moves {
		if s.doneAt == 0 && s.revertedAt == 0 {
			b.decide(s, t)
		}
		slot := int(t/time.Second) % windowSeconds
		s.calls[slot], s.failures[slot] = 0, 0
	}
}

func (b *baseline) decide(s *moveState, t time.Duration) {
	var calls, failures int
	for i := range s.calls {
		calls += s.calls[i]
		failures += s.failures[i]
	}
	switch {
	case b.maxFailureRate > 0 && calls >= minCalls && float64(failures) > b.maxFailureRate*float64(calls):
		s.revertedAt = t
	case t >= b.duration*95/100:
		s.doneAt = t
	}
}

func (b *baseline) doneAt(svc mesh.ServiceID) time.Duration      { return b.moves[svc].doneAt }
func (b *baseline) takenBackAt(svc mesh.ServiceID) time.Duration { return b.moves[svc].revertedAt }
func (b *baseline) shownAt(svc mesh.ServiceID) time.Duration     { return b.moves[svc].revertedAt }
func (b *baseline) reason(mesh.ServiceID) string                 { return "" }
