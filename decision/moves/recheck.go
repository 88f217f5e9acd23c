package moves

import "time"

// recheck is the state in which the share is back at half because calls got
// worse at full share. Both versions then carry the same load, and their calls
// in the same window decide. Without it, a platform outage or a surge of load
// in the watch period would look like a bad version.
type recheck struct {
	active           bool
	settled          bool // recheckSettleSpan has passed
	since            time.Time
	lastActive       time.Time
	relapses         int
	totalsBefore     window // totals at the start of the recheck
	othersRechecking int    // nodes in a recheck at the last window
}

const (
	// recheckThreshold is the log likelihood ratio, gathered at half share, that
	// ends a recheck.
	recheckThreshold = 2
	// recheckSettleSpan is how long reports may still contain calls that were
	// sent at full share.
	recheckSettleSpan = 3 * time.Second
	// maxRecheckSpan ends a recheck in which too few calls arrive.
	maxRecheckSpan = 90 * time.Second
)

func (d *recheck) step(p *Pool, now time.Time) {
	if d.active {
		d.lastActive = now
		if !d.settled && now.Sub(d.since) >= recheckSettleSpan {
			d.settled = true
			p.noWorse.reset()
		}
		d.tryEnd(p, now)
		return
	}
	rechecking := p.rechecking()
	joins := d.othersRechecking < agreeingNodes && rechecking >= agreeingNodes
	d.othersRechecking = rechecking
	if !joins && !p.degraded() {
		return
	}
	d.active, d.settled, d.since, d.lastActive, d.totalsBefore = true, false, now, now, p.total
	for i := range p.detectors {
		p.detectors[i].restartPending = true
		p.detectors[i].resetDegradation()
	}
}

// degraded reports whether calls got worse whichever group is left out.
func (p *Pool) degraded() bool {
	for i := range p.detectors {
		if !p.detectors[i].degraded() {
			return false
		}
	}
	return true
}

func (p *Pool) rechecking() int {
	n := 0
	for _, r := range p.nodes {
		if r.latest.Recheck {
			n++
		}
	}
	return n
}

func (d *recheck) tryEnd(p *Pool, now time.Time) {
	span := now.Sub(d.since)
	if span < minRecheckSpan {
		return
	}
	if !p.noWorse.clear() && span < maxRecheckSpan {
		return
	}
	d.active, d.othersRechecking = false, p.rechecking()
	for i := range p.detectors {
		p.detectors[i].resetDegradation()
	}
	d.countRelapse(p)
}

// countRelapse counts a recheck in which the old version failed no more than
// before. The degradation at full share then has no cause common to both
// versions; after several relapses the new version counts as bad under load.
func (d *recheck) countRelapse(p *Pool) {
	during := p.total
	during.sub(&d.totalsBefore)
	if oldVersionDegraded(&during, &d.totalsBefore) {
		return
	}
	d.relapses++
	if d.relapses >= p.settings.maxRelapses() && !p.bad {
		p.bad = true
		p.reason = "responses get worse at full share and recover at half share"
	}
}

// oldVersionDegraded reports whether the old version failed clearly more often
// than before.
func oldVersionDegraded(during, before *window) bool {
	rate := max(float64(before.old.Failures)/max(float64(before.old.Calls), 1), minBaselineRate)
	h := eventCounts{newEvents: float64(during.old.Failures), newCalls: float64(during.old.Calls)}
	return cusum(0, h, rate, 3, MeasurableExcess) > recheckThreshold
}
