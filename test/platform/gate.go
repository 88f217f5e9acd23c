package main

import (
	"context"
	"time"

	"teaselring/kernel"
)

// faults is the body of POST /control. Members that are absent keep their value.
type faults struct {
	LatencyMS       *int  `json:"latency_ms,omitempty"`
	Outage          *bool `json:"outage,omitempty"`       // refuse all with 503
	Stall           *bool `json:"stall,omitempty"`        // accept and never answer
	LoseAnswers     *int  `json:"lose_answers,omitempty"` // writes still to be applied and not answered
	ReadsPerSecond  *int  `json:"reads_per_second,omitempty"`
	WritesPerSecond *int  `json:"writes_per_second,omitempty"`
	StaleObjects    *bool `json:"stale_objects,omitempty"` // objects as they were when this was set
}

// stats answers GET /control/stats with what happened since the start.
type stats struct {
	Reads   int `json:"reads"`   // admitted
	Writes  int `json:"writes"`  // admitted
	Refused int `json:"refused"` // by rate limit or outage
	Stalled int `json:"stalled"`
	Lost    int `json:"lost"` // answers
}

// verdict says what happens to one request.
type verdict struct {
	delay  time.Duration
	status int // 0: serve it
	stall  bool
	lose   bool
}

// state is owned by the gate duty.
type state struct {
	latency       time.Duration
	outage, stall bool
	lose          int
	reads, writes bucket
	stats         stats

	stale      bool
	lastObject string          // put most recently, not counting those put since stale was set
	fresh      map[string]bool // put since stale was set
}

type gateAnswer struct {
	verdict verdict
	stats   stats
	object  string
}

// gate decides which requests are served, refused, stalled or left unanswered.
type gate struct {
	ring *kernel.Ring[kernel.Ask[func(*state, time.Time) gateAnswer, gateAnswer]]
}

const gateRing = "gate.requests"

func newGate() *gate {
	return &gate{kernel.NewRing[kernel.Ask[func(*state, time.Time) gateAnswer, gateAnswer]](gateRing, 256, kernel.WaitUntilDeadline)}
}

func (g *gate) duty() kernel.Duty {
	return kernel.Duty{Name: "gate", Owns: "the faults set and the statistics", In: []string{gateRing}, Run: g.run}
}

func (g *gate) run(ctx context.Context) error {
	s := &state{reads: bucket{rate: *reads}, writes: bucket{rate: *writes}, fresh: map[string]bool{}}
	for {
		select {
		case ask := <-g.ring.C():
			ask.Answer(ask.Query(s, time.Now()))
		case <-ctx.Done():
			return nil
		}
	}
}

// ask returns the zero answer when the process is stopping.
func (g *gate) ask(ctx context.Context, f func(*state, time.Time) gateAnswer) gateAnswer {
	a, _ := kernel.Do(ctx, g.ring, f)
	return a
}

func (g *gate) admit(ctx context.Context, write bool) verdict {
	return g.ask(ctx, func(s *state, now time.Time) gateAnswer { return gateAnswer{verdict: s.admit(write, now)} }).verdict
}

func (g *gate) set(ctx context.Context, f faults) {
	g.ask(ctx, func(s *state, _ time.Time) gateAnswer { s.set(f); return gateAnswer{} })
}

func (g *gate) stats(ctx context.Context) stats {
	return g.ask(ctx, func(s *state, _ time.Time) gateAnswer { return gateAnswer{stats: s.stats} }).stats
}

// putObject notes a key as put.
func (g *gate) putObject(ctx context.Context, key string) {
	g.ask(ctx, func(s *state, _ time.Time) gateAnswer {
		if s.stale {
			s.fresh[key] = true
		} else {
			s.lastObject = key
		}
		return gateAnswer{}
	})
}

// staleObject returns the key whose content a read of key returns. With stale
// objects, one that was put since is answered with the newest before that.
func (g *gate) staleObject(ctx context.Context, key string) string {
	return g.ask(ctx, func(s *state, _ time.Time) gateAnswer {
		if s.stale && s.fresh[key] {
			return gateAnswer{object: s.lastObject}
		}
		return gateAnswer{object: key}
	}).object
}

func (s *state) set(f faults) {
	assign(&s.outage, f.Outage)
	assign(&s.stall, f.Stall)
	assign(&s.lose, f.LoseAnswers)
	assign(&s.reads.rate, f.ReadsPerSecond)
	assign(&s.writes.rate, f.WritesPerSecond)
	if f.LatencyMS != nil {
		s.latency = time.Duration(*f.LatencyMS) * time.Millisecond
	}
	if f.StaleObjects != nil {
		s.stale, s.fresh = *f.StaleObjects, map[string]bool{}
	}
}

func assign[T any](to, from *T) {
	if from != nil {
		*to = *from
	}
}

func (s *state) admit(write bool, now time.Time) verdict {
	limit, count := &s.reads, &s.stats.Reads
	if write {
		limit, count = &s.writes, &s.stats.Writes
	}
	switch {
	case s.stall:
		s.stats.Stalled++
		return verdict{stall: true}
	case s.outage:
		s.stats.Refused++
		return verdict{status: 503, delay: s.latency}
	case !limit.take(now):
		s.stats.Refused++
		return verdict{status: 429}
	}
	*count++
	v := verdict{delay: s.latency}
	if write && s.lose > 0 {
		s.lose--
		s.stats.Lost++
		v.lose = true
	}
	return v
}

// bucket is a token bucket that holds at most the tokens of one second.
type bucket struct {
	rate   int // per second, 0: no limit
	tokens float64
	at     time.Time // of the last refill
}

func (b *bucket) take(now time.Time) bool {
	if b.rate == 0 {
		return true
	}
	most := float64(b.rate)
	b.tokens = min(most, b.tokens+now.Sub(b.at).Seconds()*most)
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
