package main

import (
	"context"
	"time"

	"teaselring/test/standin"
)

// faults is the body of POST /control. Members that are absent keep their value.
type faults struct {
	LatencyMS       int  `json:"latency_ms"`
	Outage          bool `json:"outage"`       // refuse all with 503
	Stall           bool `json:"stall"`        // accept and never answer
	LoseAnswers     int  `json:"lose_answers"` // writes still to be applied and not answered
	ReadsPerSecond  int  `json:"reads_per_second"`
	WritesPerSecond int  `json:"writes_per_second"`
	StaleObjects    bool `json:"stale_objects"` // objects as they were when this was set
}

// stats answers GET /control/stats with what happened since the start.
type stats struct {
	Reads   int `json:"reads"`   // admitted
	Writes  int `json:"writes"`  // admitted
	Refused int `json:"refused"` // by rate limit or outage
	Stalled int `json:"stalled"`
	Lost    int `json:"lost"` // answers
}

// state is owned by the gate duty, which decides which requests are served,
// refused, stalled or left unanswered.
type state struct {
	faults        faults
	stats         stats
	reads, writes bucket
	lastObject    string          // put most recently while objects were not stale
	fresh         map[string]bool // put while objects were stale
}

type gate = standin.Owner[state]

func newGate() *gate {
	return standin.NewOwner("gate", &state{
		faults: faults{ReadsPerSecond: *reads, WritesPerSecond: *writes},
		fresh:  map[string]bool{},
	})
}

// verdict says what happens to one request.
type verdict struct {
	delay  time.Duration
	status int // 0: serve it
	stall  bool
	lose   bool
}

func (s *state) admit(write bool, now time.Time) verdict {
	if !s.faults.StaleObjects {
		clear(s.fresh)
	}
	limit, rate, count := &s.reads, s.faults.ReadsPerSecond, &s.stats.Reads
	if write {
		limit, rate, count = &s.writes, s.faults.WritesPerSecond, &s.stats.Writes
	}
	v := verdict{delay: time.Duration(s.faults.LatencyMS) * time.Millisecond}
	switch {
	case s.faults.Stall:
		s.stats.Stalled++
		v.stall = true
	case s.faults.Outage:
		s.stats.Refused++
		v.status = 503
	case !limit.take(rate, now):
		s.stats.Refused++
		v.status = 429
	default:
		*count++
		v.lose = write && s.lose()
	}
	return v
}

func (s *state) lose() bool {
	if s.faults.LoseAnswers <= 0 {
		return false
	}
	s.faults.LoseAnswers--
	s.stats.Lost++
	return true
}

// putObject notes a key as put.
func (s *state) putObject(key string) bool {
	if s.faults.StaleObjects {
		s.fresh[key] = true
	} else {
		s.lastObject = key
	}
	return true
}

// readObject returns the key whose content a read of key returns. With stale
// objects, one that was put since is answered with the newest before that.
func (s *state) readObject(key string) string {
	if s.faults.StaleObjects && s.fresh[key] {
		return s.lastObject
	}
	return key
}

// bucket is a token bucket that holds at most the tokens of one second.
type bucket struct {
	tokens float64
	at     time.Time // of the last refill
}

// take uses a rate per second; 0 is no limit.
func (b *bucket) take(rate int, now time.Time) bool {
	if rate == 0 {
		return true
	}
	most := float64(rate)
	b.tokens = min(most, b.tokens+now.Sub(b.at).Seconds()*most)
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// wait lasts for the delay of a verdict, and for a stalled request until its
// sender leaves. It reports whether to go on.
func wait(ctx context.Context, v verdict) bool {
	if v.stall {
		<-ctx.Done()
		return false
	}
	return standin.Wait(ctx, v.delay)
}
