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

	// loadedFactor is failureFactor for the sum over all steps under load. That sum is
	// tested more often, and the old version has few calls then: with the lower factor, 24
	// of 400 good versions were taken back where both fail 8 in 100 calls.
	loadedFactor = 2

	// minOldCalls is the number of calls of the old version that a comparison on a
	// route needs: some routes fail whatever the version.
	minOldCalls = 5

	// A version is slow when at least minWarmCalls of its calls took slowFactor times
	// as long as the old version's calls on the same routes. Servers differ in speed by
	// a factor of up to 3.
	minWarmCalls = 8
	slowFactor   = 3.5

	// A version is late when its calls after the cold start fail or miss the latency
	// target more often than lateFactor times the old version's rate and minLateRate, by
	// the same test. The factor allows for the servers' speed; the time of a call that
	// waits for calls to other services counts too.
	lateFactor  = 3
	minLateRate = 0.08

	// minTargetFraction is the fraction of the route's latency target below which times
	// are not compared: most of such a time is the wait for a slot, and slowFactor times
	// it is still far from late.
	minTargetFraction = 0.1
)

// priorCalls is the weight of the old version's rate over the whole move, in calls, when
// its rate in one slot is estimated from the few calls there.
const priorCalls = 10

// Bad returns why the new version is bad, or "" without evidence that it is.
func (e *Evidence) Bad(now time.Time) string {
	if reason := worst(e.compareWindow(now), (*comparison).reason); reason != "" {
		return reason
	}
	if reason := worst(e.compareLoaded(), (*comparison).loadedReason); reason != "" {
		return reason
	}
	return worst(e.compareAll(), (*comparison).lateReason)
}

// worst returns the reason of the sum over all routes, or else that of a route.
func worst(routes map[mesh.RouteID]*comparison, reasonOf func(*comparison) string) string {
	var all comparison
	routeReason := ""
	for id, one := range routes {
		all.add(one)
		if reason := reasonOf(one); reason != "" {
			routeReason = fmt.Sprintf("on route %q, %s", id, reason)
		}
	}
	if reason := reasonOf(&all); reason != "" {
		return "on all routes, " + reason
	}
	return routeReason
}

// compareWindow compares the versions over the last windowSpan. When the window has too
// few calls of the old version on a route, its times since the start of the move are
// used.
func (e *Evidence) compareWindow(now time.Time) map[mesh.RouteID]*comparison {
	routes := map[mesh.RouteID]*comparison{}
	for _, s := range e.slots {
		if now.Sub(s.at) <= windowSpan {
			e.addSlot(routes, &s)
		}
	}
	for id, c := range e.window(now) {
		if one := routes[id]; one != nil {
			if c.Old.Calls < minOldCalls {
				c.Old = e.total[id].Old
			}
			one.compareTimes(c)
		}
	}
	return routes
}

// compareAll compares the versions since the start of the move, without times.
func (e *Evidence) compareAll() map[mesh.RouteID]*comparison {
	return e.compareSince(e.past, func(*slot) bool { return true })
}

// compareLoaded compares the versions over all steps in which the new version got most
// calls. One step is too short to show a version that fails a part of its calls under
// load, and among all calls since the start its failures are too few.
//
// Load pattern: two steps of a new version's load, seconds apart.
func (e *Evidence) compareLoaded() map[mesh.RouteID]*comparison {
	return e.compareSince(e.pastLoaded, (*slot).loaded)
}

// compareSince adds those slots of the window that counts selects to past ones.
func (e *Evidence) compareSince(past map[mesh.RouteID]*comparison, counts func(*slot) bool) map[mesh.RouteID]*comparison {
	routes := make(map[mesh.RouteID]*comparison, len(past))
	for id, one := range past {
		sum := *one
		routes[id] = &sum
	}
	for i := range e.slots {
		if counts(&e.slots[i]) {
			e.addSlot(routes, &e.slots[i])
		}
	}
	return routes
}

// addSlot adds the counts of one slot. Routes with too few calls of the old version since
// the start of the move are left out: some fail whatever the version.
func (e *Evidence) addSlot(routes map[mesh.RouteID]*comparison, s *slot) {
	for id, c := range s.routes {
		total := e.total[id]
		if total == nil || total.Old.Calls < minOldCalls {
			continue
		}
		if routes[id] == nil {
			routes[id] = &comparison{}
		}
		one := c.compare(&total.Old)
		routes[id].add(&one)
	}
}

// comparison holds the outcomes of the new version's calls and those expected of the
// old version for the same calls. It is made for each route and slot, since the versions
// may get calls of different routes and at different times.
type comparison struct {
	old              CallCounts
	calls            uint32
	failures         uint32
	expectedFailures float64 // at the old version's rate, with a margin
	expectedLoaded   float64 // the same with the margin for steps under load
	warmCalls        uint32  // calls whose times are compared
	warmTime         time.Duration
	expectedTime     time.Duration
	judged           uint32
	late             uint32
	expectedLate     float64 // at the old version's rate, with a margin
}

// compare compares the outcomes of the versions on one route in one slot. prior holds the
// old version's calls since the start of the move.
func (c *RouteCounts) compare(prior *CallCounts) comparison {
	failureRate := smoothedRate(c.Old.Failures, c.Old.Calls, prior.failureRate())
	lateRate := smoothedRate(c.Old.Late, c.Old.Judged, prior.lateRate())
	return comparison{
		old: c.Old, calls: c.New.Calls, failures: c.New.Failures, judged: c.New.Judged, late: c.New.Late,
		expectedFailures: min(max(failureFactor*failureRate, minExpectedRate), 1) * float64(c.New.Calls),
		expectedLoaded:   min(max(loadedFactor*failureRate, minExpectedRate), 1) * float64(c.New.Calls),
		expectedLate:     min(max(lateFactor*lateRate, minLateRate), 1) * float64(c.New.Judged),
	}
}

func smoothedRate(events, calls uint32, prior float64) float64 {
	return (float64(events) + priorCalls*prior) / (float64(calls) + priorCalls)
}

// compareTimes compares the times of the versions on one route.
func (c *comparison) compareTimes(counts *RouteCounts) {
	minMean := time.Duration(minTargetFraction * float64(counts.LatencyTarget))
	if counts.Old.WarmCalls >= minWarmCalls && counts.Old.meanTime() >= minMean {
		c.warmCalls, c.warmTime = counts.New.WarmCalls, counts.New.WarmTime
		c.expectedTime = time.Duration(counts.New.WarmCalls) * counts.Old.meanTime()
	}
}

func (c *comparison) add(o *comparison) {
	c.old.add(&o.old)
	c.calls += o.calls
	c.failures += o.failures
	c.expectedFailures += o.expectedFailures
	c.expectedLoaded += o.expectedLoaded
	c.warmCalls += o.warmCalls
	c.warmTime += o.warmTime
	c.expectedTime += o.expectedTime
	c.judged += o.judged
	c.late += o.late
	c.expectedLate += o.expectedLate
}

func (c *comparison) lateReason() string {
	if c.late < minFailures || binomialTail(c.judged, c.late, c.expectedLate/float64(c.judged)) >= significance {
		return ""
	}
	return fmt.Sprintf("%d of %d calls failed or missed their latency target, %d of %d with the old version", c.late, c.judged, c.old.Late, c.old.Judged)
}

func (c *comparison) failReason(expected float64) string {
	if c.failures < minFailures || binomialTail(c.calls, c.failures, expected/float64(c.calls)) >= significance {
		return ""
	}
	return fmt.Sprintf("%d of %d calls failed, %d of %d with the old version", c.failures, c.calls, c.old.Failures, c.old.Calls)
}

func (c *comparison) loadedReason() string {
	if reason := c.failReason(c.expectedLoaded); reason != "" {
		return "under load, " + reason
	}
	return ""
}

func (c *comparison) reason() string {
	if reason := c.failReason(c.expectedFailures); reason != "" {
		return reason
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
