package moves

import (
	"math"

	"teaselring/mesh"
)

// nonInferiority holds the log likelihood ratios of "fails no more often than
// the old version" against "fails more often by an excess", for each of
// Excesses.
type nonInferiority struct {
	logRatio [len(Excesses)]float64
	// sinceReset is what was added since the last reset; it ends a recheck.
	sinceReset [len(Excesses)]float64
	// pending holds windows with too few old calls to estimate a rate from.
	pending window
	limit   float64
}

const (
	// priorCalls is the weight, in calls, of the old version's earlier failure
	// rate against that in the same window.
	priorCalls = 200
	// maxNewPerOld is how many new calls for each old one a window may have. A
	// few old calls give no estimate of the failure rate during an outage.
	maxNewPerOld = 4
	// minRateCalls is how many old calls a rate is estimated from: with fewer,
	// the old version looks faultless too often during an outage.
	minRateCalls = 20
	// maxLogRatio bounds the evidence that a version accumulates in advance, so
	// that it loses it soon when it turns bad.
	maxLogRatio = 12
	// A burst is more than minBurst failures above burstFactor times the
	// expected number, which happens by chance in fewer than 1 of 100 windows.
	minBurst    = 1
	burstFactor = 4
	minRate     = 0.0005 // assumed lower bound of a failure rate
)

// update adds a window of all nodes. At most limit calls of the new version
// count, so that invented calls of one node can't raise the version's share.
func (g *nonInferiority) update(w *window, limit float64, earlier *mesh.Tally) {
	if w.new.Calls == 0 || w.old.Calls*maxNewPerOld < w.new.Calls {
		return
	}
	g.pending.add(w)
	g.limit += limit
	if g.pending.old.Calls < minRateCalls {
		return
	}
	w, limit = &g.pending, g.limit
	g.accumulate(w, limit, oldRate(&w.old, earlier))
	g.pending, g.limit = window{}, 0
}

func (g *nonInferiority) accumulate(w *window, limit, rate float64) {
	for i, excess := range Excesses {
		gain := math.Min(float64(w.new.Calls), limit) * excess
		if w.new.Failures > 0 {
			gain -= float64(w.new.Failures) * math.Log((rate+excess)/rate)
		}
		g.logRatio[i] = clamp(g.logRatio[i]+gain, -maxLogRatio, maxLogRatio)
		g.sinceReset[i] += gain
	}
}

// oldRate estimates the old version's failure rate in a window from that window
// and earlier ones. In a burst of failures, such as an outage, the earlier ones
// are ignored.
func oldRate(current, earlier *mesh.Tally) float64 {
	failures, calls := float64(current.Failures), float64(current.Calls)
	prior := (float64(earlier.Failures) + minRate*priorCalls) / (float64(earlier.Calls) + priorCalls)
	if failures > minBurst+burstFactor*prior*calls {
		return failures / calls
	}
	return (failures + prior*priorCalls) / (calls + priorCalls)
}

func (g *nonInferiority) reset() { g.sinceReset = [len(Excesses)]float64{} }

// clear reports whether the calls since the last reset rule out the
// difference that led to a recheck: either the smallest excess or, while both
// versions fail often, the largest.
func (g *nonInferiority) clear() bool {
	return g.sinceReset[len(Excesses)-1] >= recheckThreshold || g.sinceReset[0] >= 2*recheckThreshold
}
