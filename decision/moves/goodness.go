package moves

import (
	"math"

	"teaselring/mesh"
)

// goodness holds the log likelihood ratios of "fails no more often than the
// old version" against "fails more often by an excess", for each of Excesses.
type goodness struct {
	nats [len(Excesses)]float64
	// fresh counts since the last reset, for the end of a doubt.
	fresh [len(Excesses)]float64
}

const (
	// priorCalls is the weight of the old version's earlier failure rate
	// against that in the same window.
	priorCalls = 200
	// maxGoodness bounds what a version can gather in advance, so that it
	// loses the evidence soon when it turns bad.
	maxGoodness = 12
	minRate     = 0.0005 // assumed lower bound of a failure rate
)

// update adds a window of all nodes. Of the new version's calls at most limit
// count, so that one node can't vouch for it with invented calls.
func (g *goodness) update(w *window, limit float64, earlier *mesh.Tally) {
	if w.new.Calls == 0 || w.old.Calls == 0 {
		return
	}
	prior := (float64(earlier.Failures) + minRate*priorCalls) / (float64(earlier.Calls) + priorCalls)
	rate := (float64(w.old.Failures) + prior*priorCalls) / (float64(w.old.Calls) + priorCalls)
	for i, excess := range Excesses {
		gain := math.Min(float64(w.new.Calls), limit) * excess
		if w.new.Failures > 0 {
			gain -= float64(w.new.Failures) * math.Log((rate+excess)/rate)
		}
		g.nats[i] = clamp(g.nats[i]+gain, -maxGoodness, maxGoodness)
		g.fresh[i] += gain
	}
}

func (g *goodness) resetFresh() { g.fresh = [len(Excesses)]float64{} }

// clear reports whether the calls since the last reset show that the versions
// don't differ by what led to a doubt: either no small excess, or, while both
// fail often, no large one.
func (g *goodness) clear() bool {
	return g.fresh[len(Excesses)-1] >= doubtClear || g.fresh[0] >= 2*doubtClear
}
