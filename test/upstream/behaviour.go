package main

import (
	"math/rand/v2"
	"strings"
	"time"

	"teaselring/test/standin"
)

// options is the body of POST /control. Absent members keep their value.
type options struct {
	State      string  `json:"state"`  // as announced
	Silent     bool    `json:"silent"` // send no announcements
	ServiceMS  int     `json:"service_ms"`
	SlowFactor float64 `json:"slow_factor"`
	ErrorRate  float64 `json:"error_rate"`
	FaultPath  string  `json:"fault_path"` // limits ErrorRate and SlowFactor to a path prefix
	ColdCalls  int     `json:"cold_calls"` // number of next calls that run ColdMS longer
	ColdMS     int     `json:"cold_ms"`
	ShedAbove  int     `json:"shed_above"`
	Health     string  `json:"health"` // ok or bad; empty: the actual health
	Load       int     `json:"load"`   // -1: the actual load
}

// state is owned by the behaviour duty.
type state struct {
	options  options
	inFlight int
	calls    int
	random   *rand.Rand
}

type behaviour = standin.Owner[state]

func newBehaviour() *behaviour {
	return standin.NewOwner("behaviour", &state{options: initial, random: rand.New(rand.NewPCG(*seed, 0))})
}

// callPlan is the simulated course of a call.
type callPlan struct {
	number int // sequence number in this process; 0: shed
	delay  time.Duration
	fail   bool
}

// begin sheds the call or counts it as in flight.
func (s *state) begin(path string) callPlan {
	o := &s.options
	if o.ShedAbove > 0 && s.inFlight >= o.ShedAbove {
		return callPlan{}
	}
	s.inFlight++
	s.calls++
	p := callPlan{number: s.calls, delay: time.Duration(o.ServiceMS) * time.Millisecond}
	if strings.HasPrefix(path, o.FaultPath) {
		p.delay = time.Duration(float64(p.delay) * o.SlowFactor)
		p.fail = s.random.Float64() < o.ErrorRate
	}
	if o.ColdCalls > 0 {
		o.ColdCalls--
		p.delay += time.Duration(o.ColdMS) * time.Millisecond
	}
	return p
}

func (s *state) end() bool {
	s.inFlight--
	return true
}

func (s *state) healthy() bool {
	if s.options.Health != "" {
		return s.options.Health == "ok"
	}
	return s.options.State == "ready"
}

func (s *state) load() int {
	if s.options.Load >= 0 {
		return s.options.Load
	}
	return s.inFlight
}
