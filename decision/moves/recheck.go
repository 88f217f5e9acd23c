package moves

import "time"

// recheck is the state in which the share goes back to half because answers got
// worse at full share. Both versions then carry the same load, and their
// answers in the same window decide. Without it, a platform outage or a surge
// of load in the watch period would look like a bad version.
type recheck struct {
	active   bool
	settled  bool
	since    time.Time
	last     time.Time // when it was last active
	relapses int
	before   window // totals at the start of the recheck
	others   int    // nodes that rechecked at the last window
}

const (
	// recheckClear is the log likelihood ratio, gathered at half share, that
	// ends a recheck.
	recheckClear = 2
	// recheckSettle is how long calls that were sent at full share may still
	// arrive in reports.
	recheckSettle = 3 * time.Second
	// maxRecheckSpan ends a recheck in which too few calls arrived.
	maxRecheckSpan = 90 * time.Second
)

func (d *recheck) step(p *Pool, now time.Time) {
	if d.active {
		d.last = now
		if !d.settled && now.Sub(d.since) >= recheckSettle {
			d.settled = true
			p.good.resetFresh()
		}
		d.tryEnd(p, now)
		return
	}
	rechecking := p.rechecking()
	joins := d.others < agreeingNodes && rechecking >= agreeingNodes
	d.others = rechecking
	if !joins && !p.surging() {
		return
	}
	d.active, d.settled, d.since, d.last, d.before = true, false, now, now, p.total
	for i := range p.detectors {
		p.detectors[i].restart = true
		p.detectors[i].resetSurge()
	}
}

// surging reports whether answers got worse whichever group is left out.
func (p *Pool) surging() bool {
	for i := range p.detectors {
		if !p.detectors[i].surging() {
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
	if span < recheckSpan {
		return
	}
	if !p.good.clear() && span < maxRecheckSpan {
		return
	}
	d.active, d.others = false, p.rechecking()
	for i := range p.detectors {
		p.detectors[i].resetSurge()
	}
	d.noteRelapse(p)
}

// noteRelapse counts a recheck in which the old version answered as well as it
// always did: whatever made the answers worse at full share is then no common
// cause, and happening again it counts as badness under load.
func (d *recheck) noteRelapse(p *Pool) {
	during := p.total
	during.sub(&d.before)
	if surgedOld(&during, &d.before) {
		return
	}
	d.relapses++
	if d.relapses >= p.settings.fullShareRelapses() && !p.shown {
		p.shown = true
		p.reason = "answers get worse at full share and recover at half share"
	}
}

// surgedOld reports whether the old version failed clearly more than before.
func surgedOld(during, before *window) bool {
	rate := max(float64(before.old.Failures)/max(float64(before.old.Calls), 1), minRefRate)
	h := hits{newHits: float64(during.old.Failures), newCalls: float64(during.old.Calls)}
	return cusum(0, h, rate, 3, MeasurableExcess) > recheckClear
}
