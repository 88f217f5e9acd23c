package moves

import (
	"math"

	"teaselring/mesh"
)

// goodness holds the log likelihood ratios of "fails no more often than the
// old version" against "fails more often by an excess", for each of Excesses.
type goodness struct {
	nats [len(Excesses)]float64
	// fresh counts since the last reset, for the end of a recheck.
	fresh [len(Excesses)]float64
	// pending is what has too few old calls to estimate a rate from.
	pending window
	limit   float64
}

const (
	// priorCalls is the weight of the old version's earlier failure rate
	// against that in the same window.
	priorCalls = 200
	// maxNewPerOld is how many new calls for each old one a window may have.
	// A few old calls say nothing about their rate during an outage.
	maxNewPerOld = 4
	// minRateCalls is how many old calls a rate is estimated from: fewer look
	// faultless too often during an outage.
	minRateCalls = 20
	// maxGoodness bounds what a version can gather in advance, so that it
	// loses the evidence soon when it turns bad.
	maxGoodness = 12
	// A burst is more than minBurst failures beyond burstFactor times the
	// expected ones, which chance brings about in fewer than 1 of 100 windows.
	minBurst    = 1
	burstFactor = 4
	minRate     = 0.0005 // assumed lower bound of a failure rate
)

// update adds a window of all nodes. Of the new version's calls at most limit
// count, so that one node can't vouch for it with invented calls.
func (g *goodness) update(w *window, limit float64, earlier *mesh.Tally) {
	if w.new.Calls == 0 || w.old.Calls*maxNewPerOld < w.new.Calls {
		return
	}
	g.pending.add(w)
	g.limit += limit
	if g.pending.old.Calls < minRateCalls {
		return
	}
	w, limit = &g.pending, g.limit
	g.count(w, limit, oldRate(&w.old, earlier))
	g.pending, g.limit = window{}, 0
}

func (g *goodness) count(w *window, limit, rate float64) {
	for i, excess := range Excesses {
		gain := math.Min(float64(w.new.Calls), limit) * excess
		if w.new.Failures > 0 {
			gain -= float64(w.new.Failures) * math.Log((rate+excess)/rate)
		}
		g.nats[i] = clamp(g.nats[i]+gain, -maxGoodness, maxGoodness)
		g.fresh[i] += gain
	}
}

// oldRate estimates the old version's failure rate in a window from that
// window and earlier ones. A burst of failures, such as in an outage, says that
// the earlier ones don't matter now.
func oldRate(now, earlier *mesh.Tally) float64 {
	failures, calls := float64(now.Failures), float64(now.Calls)
	prior := (float64(earlier.Failures) + minRate*priorCalls) / (float64(earlier.Calls) + priorCalls)
	if failures > minBurst+burstFactor*prior*calls {
		return failures / calls
	}
	return (failures + prior*priorCalls) / (calls + priorCalls)
}

func (g *goodness) resetFresh() { g.fresh = [len(Excesses)]float64{} }

// clear reports whether the calls since the last reset show that the versions
// don't differ by what led to a recheck: either no small excess, or, while both
// fail often, no large one.
func (g *goodness) clear() bool {
	return g.fresh[len(Excesses)-1] >= recheckClear || g.fresh[0] >= 2*recheckClear
}
