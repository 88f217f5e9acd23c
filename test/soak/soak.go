package soak

import (
	"context"
	"time"

	"teaselring/test/harness"
)

const (
	rounds = 2 // each has mixed faults, then planned work alone

	mixedDuration    = 6 * time.Second
	plannedDuration  = 6 * time.Second
	maxFaultDuration = 4 * time.Second // the shortest duration is a tenth of it
	maxFaultInterval = 500 * time.Millisecond
	tick             = 25 * time.Millisecond
	// recoveryBound is the platform's RecoveryS.
	recoveryBound = 15 * time.Second
	// configureInterval is the mean time between two new configurations.
	configureInterval = 700 * time.Millisecond
)

// active is a fault in progress.
type active struct {
	fault     fault
	machine   string // "" for all
	target    string
	endsAt    time.Time
	heal      func(due bool) bool
	recordEnd func() // records the end in the ledger
}

// soak is the state of one run.
type soak struct {
	*fleet
	active        []*active
	log           func(format string, args ...any)
	nextFault     time.Time
	nextConfigure time.Time
}

// Run runs one seed and returns the violations. The same seed gives the same plan;
// which events coincide depends on the speed of the machine.
func Run(h *harness.Harness, seed uint64, machines int, log func(format string, args ...any)) []string {
	s := &soak{fleet: newFleet(h, seed, machines), log: log}
	defer s.mesh.Stop()
	s.log("accounts: %v, evacuations: %v, cold servers: %v", s.hasAccounts, s.evacuates, s.hasColdStarts)
	for range 3 {
		s.configure()
	}
	ctx, stop := context.WithCancel(context.Background())
	wait := s.startCallers(ctx)
	moveRound := s.rnd.IntN(rounds)
	for round := range rounds {
		if round == moveRound {
			s.orderMove()
		}
		s.runPhase(mixedDuration, false)
		s.awaitNoFaults()
		s.runPhase(plannedDuration, true)
		s.awaitNoFaults()
	}
	s.endEvacuation()
	s.recover()
	stop()
	wait()
	s.checkMove()
	return s.ledger.checkCalls()
}

// runPhase starts and ends faults for the given duration, only planned ones if
// planned is set.
func (s *soak) runPhase(duration time.Duration, planned bool) {
	switch {
	case planned: // wait until the bounds apply again
		s.waitWithoutFaults(stableWindow)
	case s.hasColdStarts: // one cold server among warm ones gets few calls
		for i := range s.mesh.Machines {
			s.startFault(serverCrashed, i, addressReuseDelay)
		}
	}
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(tick) {
		s.step(planned)
	}
}

// waitWithoutFaults changes the configuration for a while without new faults.
func (s *soak) waitWithoutFaults(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(tick) {
		s.configureWhenDue()
		s.evacuateWhenDue()
	}
}

func (s *soak) step(planned bool) {
	s.configureWhenDue()
	s.evacuateWhenDue()
	kept := s.active[:0]
	for _, a := range s.active {
		if !a.heal(time.Now().After(a.endsAt)) {
			kept = append(kept, a)
			continue
		}
		a.recordEnd()
		s.log("%s: %s ends", a.machine, a.fault.name)
	}
	s.active = kept
	if time.Now().After(s.nextFault) {
		s.nextFault = time.Now().Add(time.Duration(s.rnd.Int64N(int64(maxFaultInterval))))
		if chosen, i, duration := s.drawFault(); chosen.planned || !planned {
			s.startFault(chosen, i, duration)
		}
	}
}

func (s *soak) configureWhenDue() {
	if time.Now().After(s.nextConfigure) {
		s.nextConfigure = time.Now().Add(time.Duration(s.rnd.Int64N(int64(2 * configureInterval))))
		s.configure()
	}
}

func (s *soak) drawFault() (chosen fault, machine int, duration time.Duration) {
	chosen, machine = faults[s.rnd.IntN(len(faults))], s.rnd.IntN(len(s.mesh.Machines))
	return chosen, machine, maxFaultDuration/10 + time.Duration(s.rnd.Int64N(int64(maxFaultDuration*9/10)))
}

// startFault starts a fault unless an active one has the same target.
func (s *soak) startFault(chosen fault, i int, duration time.Duration) {
	machine := s.mesh.Machines[i].String()
	if chosen.resource == "all" {
		machine = ""
	}
	target := machine + "/" + chosen.resource
	for _, a := range s.active {
		if a.target == target {
			return
		}
	}
	s.log("%s: %s begins, for %v", machine, chosen.name, duration)
	recordEnd := func() {}
	if !chosen.planned {
		recordEnd = s.ledger.fault(machine, chosen.name)
	}
	s.active = append(s.active, &active{
		fault: chosen, target: target, endsAt: time.Now().Add(duration), heal: chosen.inject(s.fleet, i), recordEnd: recordEnd, machine: machine,
	})
}

// awaitNoFaults waits until no fault is active.
func (s *soak) awaitNoFaults() {
	s.nextFault = time.Now().Add(time.Hour)
	for len(s.active) > 0 {
		s.step(true)
		time.Sleep(tick)
	}
	s.nextFault = time.Time{}
}

// recover waits until the fleet has recovered and the move has ended, for at most
// recoveryBound.
func (s *soak) recover() {
	deadline := time.Now().Add(recoveryBound)
	for {
		err := s.checkRecovered()
		if err == nil {
			break
		}
		if time.Now().After(deadline) {
			s.ledger.addViolation("RECOVER", "%v after the last fault: %v", recoveryBound, err)
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
