package soak

import (
	"context"
	"time"

	"teaselring/test/harness"
)

const (
	rounds = 2 // each of mixed faults, then of planned work alone

	mixedSpan   = 6 * time.Second
	plannedSpan = 6 * time.Second
	faultMost   = 4 * time.Second // the longest time of a fault; the shortest is a tenth
	pauseMost   = 500 * time.Millisecond
	tick        = 25 * time.Millisecond
	// recoveryBound is the platform's RecoveryS.
	recoveryBound = 15 * time.Second
	// configureEvery is the mean time between two configurations.
	configureEvery = 700 * time.Millisecond
)

// active is a fault in progress.
type active struct {
	fault   fault
	machine string // "" for all
	claim   string
	until   time.Time
	end     func(over bool) bool
	noted   func() // tells the ledger that it has ended
}

// soak is one run.
type soak struct {
	*fleet
	active        []*active
	log           func(format string, args ...any)
	nextFault     time.Time
	nextConfigure time.Time
}

// Run plays one seed and returns the broken promises. The same seed draws the
// same plan; what meets what depends on the machine.
func Run(h *harness.Harness, seed uint64, machines int, log func(format string, args ...any)) []string {
	s := &soak{fleet: newFleet(h, seed, machines), log: log}
	defer s.mesh.Stop()
	for range 3 {
		s.configure()
	}
	ctx, stop := context.WithCancel(context.Background())
	wait := s.callers(ctx)
	ordered := s.rnd.IntN(rounds)
	for round := range rounds {
		if round == ordered {
			s.order()
		}
		s.play(mixedSpan, false)
		s.settle()
		s.play(plannedSpan, true)
		s.settle()
	}
	s.recover()
	stop()
	wait()
	s.judgeMove()
	return s.ledger.judge()
}

// play begins and ends faults for a while.
func (s *soak) play(span time.Duration, planned bool) {
	if planned { // the bounds hold again
		s.pass(stableWindow)
	}
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(tick) {
		s.step(planned)
	}
}

// pass lets time pass without new faults.
func (s *soak) pass(span time.Duration) {
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(tick) {
		s.configureSometimes()
	}
}

func (s *soak) step(planned bool) {
	s.configureSometimes()
	kept := s.active[:0]
	for _, a := range s.active {
		if !a.end(time.Now().After(a.until)) {
			kept = append(kept, a)
			continue
		}
		a.noted()
		s.log("%s: %s ends", a.machine, a.fault.name)
	}
	s.active = kept
	if time.Now().After(s.nextFault) {
		s.nextFault = time.Now().Add(time.Duration(s.rnd.Int64N(int64(pauseMost))))
		s.start(planned)
	}
}

func (s *soak) configureSometimes() {
	if time.Now().After(s.nextConfigure) {
		s.nextConfigure = time.Now().Add(time.Duration(s.rnd.Int64N(int64(2 * configureEvery))))
		s.configure()
	}
}

// start draws a fault, a machine and a time, and begins the fault if nothing
// else is claimed by one in progress.
func (s *soak) start(planned bool) {
	drawn, i := faults[s.rnd.IntN(len(faults))], s.rnd.IntN(len(s.mesh.Machines))
	span := faultMost/10 + time.Duration(s.rnd.Int64N(int64(faultMost*9/10)))
	machine := s.mesh.Machines[i].String()
	if drawn.claims == "all" {
		machine = ""
	}
	claim := machine + "/" + drawn.claims
	if planned && !drawn.planned {
		return
	}
	for _, a := range s.active {
		if a.claim == claim {
			return
		}
	}
	s.log("%s: %s begins, for %v", machine, drawn.name, span)
	noted := func() {}
	if !drawn.planned {
		noted = s.ledger.fault(machine, drawn.name)
	}
	s.active = append(s.active, &active{
		fault: drawn, claim: claim, until: time.Now().Add(span), end: drawn.begin(s.fleet, i), noted: noted, machine: machine,
	})
}

// settle waits until no fault is in progress.
func (s *soak) settle() {
	s.nextFault = time.Now().Add(time.Hour)
	for len(s.active) > 0 {
		s.step(true)
		time.Sleep(tick)
	}
	s.nextFault = time.Time{}
}

// recover waits until everything works again.
func (s *soak) recover() {
	deadline := time.Now().Add(recoveryBound)
	for {
		err := s.recovered()
		if err == nil {
			break
		}
		if time.Now().After(deadline) {
			s.ledger.violation("RECOVER", "%v after the last fault: %v", recoveryBound, err)
			return
		}
		time.Sleep(tick)
	}
	for !s.moveEnded() && time.Now().Before(deadline) {
		time.Sleep(tick)
	}
}

func (s *soak) moveEnded() bool {
	s.move.Lock()
	defer s.move.Unlock()
	n := len(s.move.states)
	return n > 0 && s.move.states[n-1] != "running"
}
