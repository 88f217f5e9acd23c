package rollout

import (
	"fmt"
	"math"
	"time"

	"teaselring/mesh"
)

const (
	// A version fails when at least minFailures of its calls on a route failed and that
	// many would fail by chance with a probability below significance, if it were as
	// good as the old one. Its expected failure rate is failureFactor times that of the
	// old version and at least minExpectedRate, since both versions run on different
	// servers and at different times.
	minFailures     = 3
	significance    = 0.002
	failureFactor   = 1.5
	minExpectedRate = 0.03

	// minOldCalls is the number of calls of the old version that a comparison on a
	// route needs: some routes fail whatever the version.
	minOldCalls = 5

	// A version is slow when at least minWarmCalls of its calls took slowFactor times
	// as long as the old version's calls on the same routes. Servers differ in speed by
	// a factor of up to 3.
	minWarmCalls = 8
	slowFactor   = 3.5

	// minTargetFraction is the fraction of the route's latency target below which times
	// are not compared: most of such a time is the wait for a slot, and slowFactor times
	// it is still far from late.
	minTargetFraction = 0.1
)

// Bad returns why the new version is bad, or "" without evidence that it is.
func (e *Evidence) Bad(now time.Time) string {
	var all comparison
	routeReason := ""
	for id, c := range e.comparable(now) {
		one := c.compare()
		all.add(one)
		if reason := one.reason(); reason != "" {
			routeReason = fmt.Sprintf("on route %q, %s", id, reason)
		}
	}
	if reason := all.reason(); reason != "" {
		return "on all routes, " + reason
	}
	return routeReason
}

// comparable returns the counts of the routes with enough calls of the old version.
// When the window has too few, those since the start of the move are used.
func (e *Evidence) comparable(now time.Time) map[mesh.RouteID]*RouteCounts {
	routes := e.window(now)
	for id, c := range routes {
		if old := e.old[id]; c.Old.Calls < minOldCalls && old != nil {
			c.Old = *old
		}
		if c.Old.Calls < minOldCalls {
			delete(routes, id)
		}
	}
	return routes
}

// comparison holds the outcomes of the new version's calls and those expected of the
// old version for the same calls. It is made for each route, since the versions may get
// calls of different routes.
type comparison struct {
	old              CallCounts
	calls            uint32
	failures         uint32
	expectedFailures float64 // at the old version's rate, with a margin
	warmCalls        uint32  // calls whose times are compared
	warmTime         time.Duration
	expectedTime     time.Duration
}

// compare compares the versions on one route.
func (c *RouteCounts) compare() comparison {
	expectedRate := min(max(failureFactor*c.Old.failureRate(), minExpectedRate), 1)
	out := comparison{old: c.Old, calls: c.New.Calls, failures: c.New.Failures, expectedFailures: expectedRate * float64(c.New.Calls)}
	minMean := time.Duration(minTargetFraction * float64(c.LatencyTarget))
	if c.Old.WarmCalls >= minWarmCalls && c.Old.meanTime() >= minMean {
		out.warmCalls, out.warmTime = c.New.WarmCalls, c.New.WarmTime
		out.expectedTime = time.Duration(c.New.WarmCalls) * c.Old.meanTime()
	}
	return out
}

func (c *comparison) add(o comparison) {
	c.old.add(&o.old)
	c.calls += o.calls
	c.failures += o.failures
	c.expectedFailures += o.expectedFailures
	c.warmCalls += o.warmCalls
	c.warmTime += o.warmTime
	c.expectedTime += o.expectedTime
}

func (c *comparison) reason() string {
	if c.failures >= minFailures && binomialTail(c.calls, c.failures, c.expectedFailures/float64(c.calls)) < significance {
		return fmt.Sprintf("%d of %d calls failed, %d of %d with the old version", c.failures, c.calls, c.old.Failures, c.old.Calls)
	}
	if c.warmCalls >= minWarmCalls && float64(c.warmTime) > slowFactor*float64(c.expectedTime) {
		n := time.Duration(c.warmCalls)
		return fmt.Sprintf("%d calls took %v on average, with the old version they take %v", c.warmCalls, c.warmTime/n, c.expectedTime/n)
	}
	return ""
}

// binomialTail returns the probability that at least k of n calls fail when each fails
// with probability p.
func binomialTail(n, k uint32, p float64) float64 {
	sum := 0.0
	for i := uint32(0); i < k; i++ {
		sum += math.Exp(logChoose(n, i) + float64(i)*math.Log(p) + float64(n-i)*math.Log1p(-p))
	}
	return max(1-sum, 0)
}

func logChoose(n, k uint32) float64 {
	all, _ := math.Lgamma(float64(n) + 1)
	taken, _ := math.Lgamma(float64(k) + 1)
	left, _ := math.Lgamma(float64(n-k) + 1)
	return all - taken - left
}
