package rollout

import (
	"time"

	"teaselring/mesh"
	"teaselring/result"
)

// Limits on one report. A node reports several times a second and serves at most a few
// thousand calls a second.
const (
	maxReportedRoutes = 4096
	maxReportedCalls  = 100_000
	maxReportedTime   = time.Hour // of one call
)

// CheckReport returns an error if a report can't be a node's counts. The time of an
// evaluation grows with the counts, so that absurd ones would stall the evaluator.
func CheckReport(routes []RouteCounts) error {
	if len(routes) > maxReportedRoutes {
		return result.BadMessage.Errorf("%d routes in a report; allowed are %d", len(routes), maxReportedRoutes)
	}
	for i := range routes {
		r := &routes[i]
		if err := mesh.CheckNames(string(r.Route)); err != nil {
			return err
		}
		if !r.Old.plausible() || !r.New.plausible() || r.LatencyTarget < 0 || r.LatencyTarget > maxReportedTime {
			return result.BadMessage.Errorf("route %q: counts out of range", r.Route)
		}
	}
	return nil
}

func (c *CallCounts) plausible() bool {
	return c.Calls <= maxReportedCalls && c.Failures <= c.Calls && c.WarmCalls <= c.Calls-c.Failures &&
		c.Judged <= c.Calls && c.Late <= c.Judged &&
		c.WarmTime >= 0 && c.WarmTime <= time.Duration(c.WarmCalls)*maxReportedTime
}
