package main

import (
	"context"
	"time"

	"teaselring/test/standin"
)

// faults is the body of POST /control. Absent members keep their value.
type faults struct {
	LatencyMS       int  `json:"latency_ms"`
	Outage          bool `json:"outage"`       // refuse all requests with 503
	Stall           bool `json:"stall"`        // accept requests and never respond
	LoseAnswers     int  `json:"lose_answers"` // number of next writes to apply without a response
	ReadsPerSecond  int  `json:"reads_per_second"`
	WritesPerSecond int  `json:"writes_per_second"`
	StaleObjects    bool `json:"stale_objects"` // serve objects as of when this was set
}

// stats is the response to GET /control/stats: counts since the start.
type stats struct {
	Reads   int `json:"reads"`   // admitted
	Writes  int `json:"writes"`  // admitted
	Refused int `json:"refused"` // by rate limit or outage
	Stalled int `json:"stalled"`
	Lost    int `json:"lost"` // writes applied without a response
}

// state is owned by the gate duty, which decides which requests are served, refused,
// stalled or left without a response.
type state struct {
	faults          faults
	stats           stats
	reads, writes   bucket
	lastBeforeStale string          // key of the last put while objects were not stale
	putWhileStale   map[string]bool // keys put while objects were stale
}

type gate = standin.Owner[state]

func newGate() *gate {
	return standin.NewOwner("gate", &state{
		faults:        faults{ReadsPerSecond: *reads, WritesPerSecond: *writes},
		putWhileStale: map[string]bool{},
	})
}

// admission is the decision about one request.
type admission struct {
	delay        time.Duration
	status       int // 0: serve the request
	stall        bool
	dropResponse bool
}

func (s *state) admit(write bool, now time.Time) admission {
	if !s.faults.StaleObjects {
		clear(s.putWhileStale)
	}
	limit, rate, count := &s.reads, s.faults.ReadsPerSecond, &s.stats.Reads
	if write {
		limit, rate, count = &s.writes, s.faults.WritesPerSecond, &s.stats.Writes
	}
	v := admission{delay: time.Duration(s.faults.LatencyMS) * time.Millisecond}
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
		v.dropResponse = write && s.dropResponse()
	}
	return v
}

func (s *state) dropResponse() bool {
	if s.faults.LoseAnswers <= 0 {
		return false
	}
	s.faults.LoseAnswers--
	s.stats.Lost++
	return true
}

// putObject records that a key was put.
func (s *state) putObject(key string) bool {
	if s.faults.StaleObjects {
		s.putWhileStale[key] = true
	} else {
		s.lastBeforeStale = key
	}
	return true
}

// resolveRead returns the key whose content a read of key returns. While objects
// are stale, an object put since then reads as the last one put before.
func (s *state) resolveRead(key string) string {
	if s.faults.StaleObjects && s.putWhileStale[key] {
		return s.lastBeforeStale
	}
	return key
}

// bucket is a token bucket with a burst of one second's tokens.
type bucket struct {
	tokens     float64
	refilledAt time.Time
}

// take takes a token if one is available. The rate is per second, 0 for no limit.
func (b *bucket) take(rate int, now time.Time) bool {
	if rate == 0 {
		return true
	}
	burst := float64(rate)
	b.tokens = min(burst, b.tokens+now.Sub(b.refilledAt).Seconds()*burst)
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// applyDelay sleeps for the delay, or blocks a stalled request until its sender
// disconnects. It reports whether to serve the request.
func applyDelay(ctx context.Context, v admission) bool {
	if v.stall {
		<-ctx.Done()
		return false
	}
	return standin.Sleep(ctx, v.delay)
}
