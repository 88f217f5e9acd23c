package rollout

import (
	"fmt"
	"math"
	"time"

	"teaselring/mesh"
)

const (
	// A version fails when at least leastFailures of its calls on a route failed
	// and so many would fail by chance with a probability below chance, if it were
	// as good as the old one. Its share of failures counts spread times, and as
	// usualFailures at least, since both versions meet different servers and times.
	leastFailures = 3
	chance        = 0.002
	spread        = 1.5
	usualFailures = 0.03

	// leastOld is the number of calls of the old version on a route without which
	// nothing is compared there: some routes fail whatever the version.
	leastOld = 5

	// A version is slow when at least leastSlow of its calls took slowFactor times as
	// long as the old version's calls on the same routes. Servers differ in speed by up
	// to 3 to 1.
	leastSlow  = 8
	slowFactor = 3.5

	// briefPart is the part of the route's aim below which times are not compared:
	// most of such a time is the wait for a slot, and slowFactor times it is still far
	// from late.
	briefPart = 0.1
)

// Bad returns why the new version is bad, or "" while nothing shows that it is.
func (e *Evidence) Bad(now time.Time) string {
	var all comparison
	why := ""
	for id, c := range e.comparable(now) {
		one := c.compare()
		all.add(one)
		if bad := one.bad(); bad != "" {
			why = fmt.Sprintf("on route %q, %s", id, bad)
		}
	}
	if bad := all.bad(); bad != "" {
		return "on all routes, " + bad
	}
	return why
}

// comparable returns the counts of the routes on which enough is known of the old
// version, from before when it gets no calls any more.
func (e *Evidence) comparable(now time.Time) map[mesh.RouteID]*Counts {
	routes := e.window(now)
	for id, c := range routes {
		if old := e.old[id]; c.Old.Calls < leastOld && old != nil {
			c.Old = *old
		}
		if c.Old.Calls < leastOld {
			delete(routes, id)
		}
	}
	return routes
}

// comparison holds what calls of the new version came to, and what the same calls
// would have come to with the old version. It is taken for each route, since the
// versions may get calls of other routes.
type comparison struct {
	old      Count
	calls    uint32
	failures uint32
	usual    float64 // failures that would be usual
	warm     uint32  // calls whose times are compared
	took     time.Duration
	expected time.Duration
}

// compare compares the calls of one route.
func (c *Counts) compare() comparison {
	share := min(max(spread*c.Old.failed(), usualFailures), 1)
	out := comparison{old: c.Old, calls: c.New.Calls, failures: c.New.Failures, usual: share * float64(c.New.Calls)}
	brief := time.Duration(briefPart * float64(c.Aim))
	if c.Old.Warm >= leastSlow && c.Old.mean() >= brief {
		out.warm, out.took = c.New.Warm, c.New.Time
		out.expected = time.Duration(c.New.Warm) * c.Old.mean()
	}
	return out
}

func (c *comparison) add(o comparison) {
	c.old.add(&o.old)
	c.calls += o.calls
	c.failures += o.failures
	c.usual += o.usual
	c.warm += o.warm
	c.took += o.took
	c.expected += o.expected
}

func (c *comparison) bad() string {
	if c.failures >= leastFailures && tail(c.calls, c.failures, c.usual/float64(c.calls)) < chance {
		return fmt.Sprintf("%d of %d calls failed, of the old version %d of %d", c.failures, c.calls, c.old.Failures, c.old.Calls)
	}
	if c.warm >= leastSlow && float64(c.took) > slowFactor*float64(c.expected) {
		n := time.Duration(c.warm)
		return fmt.Sprintf("%d calls took %v on average, with the old version they take %v", c.warm, c.took/n, c.expected/n)
	}
	return ""
}

// tail returns the probability that at least k of n calls fail when each fails
// with probability p.
func tail(n, k uint32, p float64) float64 {
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
