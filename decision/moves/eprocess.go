package moves

import "math"

// hits is how many calls of each version in one window had some property,
// such as having failed.
type hits struct {
	newHits, newCalls, oldHits, oldCalls float64
}

func (h hits) comparable() bool { return h.newCalls > 0 && h.oldCalls > 0 }

// logRatio is the log likelihood ratio of one window for the rate ratio alt
// between new and old against the rate ratio null. It is conditional on the
// number of hits in both versions together, so that the common rate, which
// changes with load and outages, cancels out. Given k hits, the number on the
// new version is binomial for rare hits and less dispersed for frequent ones,
// so the expectation of the ratio is at most 1 whenever the true rate ratio
// is at most null.
func (h hits) logRatio(alt, null float64) float64 {
	k := h.newHits + h.oldHits
	if k == 0 || !h.comparable() {
		return 0
	}
	perCall := math.Log((h.newCalls*alt + h.oldCalls) / (h.newCalls*null + h.oldCalls))
	return h.newHits*math.Log(alt/null) - k*perCall
}

// eProcess is an always-valid test of one alternative. It is a mixture over
// start times: half of the weight starts with the move, the rest is spread
// over later starts, so that a version that turns bad late is shown soon. Its
// expectation is at most 1 for a good version at any stopping time.
type eProcess float64

// Weights of the start times; their sum is 1. lateStarts is the number of
// windows after which half of lateWeight has been used.
const (
	firstWeight = 0.5
	lateWeight  = 0.3
	spareWeight = 0.2
	lateStarts  = 100.0
	maxEValue   = 1e60
)

// startWeight is the weight of a start at window t, counted from 0.
func startWeight(t int) float64 {
	w := lateWeight * lateStarts / ((float64(t) + lateStarts) * (float64(t) + lateStarts + 1))
	if t == 0 {
		w += firstWeight
	}
	return w
}

// restartWeight is the weight of the n-th restart, counted from 1: half of
// what is left of spareWeight. Whether to restart is decided on earlier
// windows only.
func restartWeight(n int) float64 { return spareWeight * math.Pow(0.5, float64(n)) }

func (e *eProcess) update(logRatio, weight float64) {
	v := float64(*e) + weight
	if logRatio != 0 {
		v = math.Min(v*math.Exp(logRatio), maxEValue)
	}
	*e = eProcess(v)
}
