// Package coldstart bounds the requests that an upstream gets while it is cold: for a time
// after its start, or at any moment when it says so.
package coldstart

import (
	"math"
	"time"

	"teaselring/mesh"
)

// window is the time in which the requests to a cold upstream are counted.
const window = time.Second

// bunching is the longest difference between the delays of two requests on their way to the
// upstream for which the bound still holds. A pause of the node's process delays requests
// that have started and lets them arrive together.
const bunching = window / 4

// lateFactor is the number of heartbeat intervals without a report after which an
// upstream counts as cold. The quarter covers the jitter of heartbeats on a busy machine.
const lateFactor = 1.25

// lossInterval is the time in which a second lost connection suggests that the upstream
// has crashed.
const lossInterval = 100 * time.Millisecond

// Params are the figures of a service and of the platform.
type Params struct {
	Rate      float64       // requests per second that a cold upstream tolerates; 0: no bound
	Overage   float64       // factor of Rate in the allowance
	Slack     float64       // requests per second beyond that
	Heartbeat time.Duration // interval of the upstream's heartbeats; 0: none
}

// Allowance returns how many requests a cold upstream may get in any second, at least 1.
func (p *Params) Allowance() float64 { return max(1, math.Floor(p.Rate*p.Overage+p.Slack)) }

// burst returns the number of requests that may start at once.
func (p *Params) burst() float64 {
	return max(1, math.Floor(min(p.Slack/2, p.Allowance()/4)))
}

// pace returns the steady rate of starts, in requests per second. At this rate, the starts in
// a window extended by bunching stay within the allowance.
func (p *Params) pace() float64 {
	return min(p.Rate, (p.Allowance()+1-p.burst())/(window+bunching).Seconds())
}

// Status is what an upstream said last about itself.
type Status struct {
	HeardAt   time.Time // zero: never, or the last attempt to reach it failed
	ColdUntil time.Time
}

// Gate decides when requests may start. It handles these load patterns: all upstreams
// are cold at once and get the calls of all callers; one upstream restarts among warm ones
// and, being idle, attracts their calls. It is not safe for concurrent use.
type Gate struct {
	params      Params
	status      Status
	suspectedAt time.Time // of the last event that suggests a restart
	lostAt      time.Time // of the last lost connection
	// chargedUntil is the theoretical arrival time of the generic cell rate algorithm
	// (ITU-T I.371): the time by which all starts conform to the pace.
	chargedUntil time.Time
}

// SetParams sets the figures in force.
func (g *Gate) SetParams(p Params) { g.params = p }

// Bounded reports whether the service has a bound for cold upstreams.
func (g *Gate) Bounded() bool { return g.params.Rate > 0 }

// Observe records the upstream's last status.
func (g *Gate) Observe(s Status) { g.status = s }

// Suspect records an event after which the upstream counts as cold until it is heard
// again: its connection was refused, or its zone was evacuated until now.
func (g *Gate) Suspect(now time.Time) { g.suspectedAt = now }

// ConnectionLost records a connection that broke during a request. The upstream is
// suspected when no other request is running on it, or when two connections break
// almost at once.
func (g *Gate) ConnectionLost(running int, now time.Time) {
	if running == 0 || (!g.lostAt.IsZero() && now.Sub(g.lostAt) <= lossInterval) {
		g.Suspect(now)
	}
	g.lostAt = now
}

// Cold reports whether the upstream counts as cold, and until when; a zero time means
// until it is heard again.
func (g *Gate) Cold(now time.Time) (cold bool, until time.Time) {
	switch late := time.Duration(lateFactor * float64(g.params.Heartbeat)); {
	case !g.Bounded():
		return false, time.Time{}
	case !g.status.HeardAt.After(g.suspectedAt):
		return true, time.Time{}
	case late > 0 && now.Sub(g.status.HeardAt) > late:
		return true, time.Time{}
	}
	return now.Before(g.status.ColdUntil), g.status.ColdUntil
}

// StartTime returns when the nth of the next requests may start, if all start as early as
// possible; n is at least 1.
func (g *Gate) StartTime(n int, now time.Time) time.Time {
	cold, until := g.Cold(now)
	if !cold {
		return now
	}
	charged := mesh.Later(g.chargedUntil, now)
	start := mesh.Later(now, charged.Add(g.spacing(float64(n)-g.params.burst())))
	if !until.IsZero() && start.After(until) {
		start = until
	}
	return start
}

// Started charges a request. Starts on a warm upstream are charged for one window at
// most, since they count if it turns cold.
func (g *Gate) Started(now time.Time) {
	if !g.Bounded() {
		return
	}
	charged := mesh.Later(g.chargedUntil, now).Add(g.spacing(1))
	if limit := now.Add(max(window, g.spacing(g.params.burst()))); charged.After(limit) {
		charged = limit
	}
	g.chargedUntil = charged
}

// Withdrawn credits a request that never reached the upstream.
func (g *Gate) Withdrawn() {
	if g.Bounded() {
		g.chargedUntil = g.chargedUntil.Add(-g.spacing(1))
	}
}

// Concurrency returns how many requests a cold upstream runs at once, each for the average
// time hold; 0: no bound.
func (g *Gate) Concurrency(hold time.Duration, now time.Time) int {
	if cold, _ := g.Cold(now); !cold {
		return 0
	}
	return max(1, int(math.Ceil(g.params.pace()*hold.Seconds())))
}

// spacing returns the time that n requests take at the steady rate.
func (g *Gate) spacing(n float64) time.Duration {
	return time.Duration(n / g.params.pace() * float64(time.Second))
}
