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
// start times: half of the weight starts with the move, half is spread over
// later starts, so that a version that turns bad late is shown soon. Its
// expectation is at most 1 for a good version at any stopping time.
type eProcess struct {
	value   float64
	windows int
	started bool
	spare   float64 // weight kept for restarts after doubt
}

// Weights of the start times; their sum is 1. lateStarts is the number of
// windows after which half of lateWeight has been used.
const (
	firstWeight = 0.5
	lateWeight  = 0.3
	spareWeight = 0.2
	lateStarts  = 100.0
	maxEValue   = 1e60
)

func (e *eProcess) update(logRatio float64) {
	if !e.started {
		e.started, e.value, e.spare = true, firstWeight, spareWeight
	}
	t := float64(e.windows)
	e.windows++
	e.value += lateWeight * lateStarts / ((t + lateStarts) * (t + lateStarts + 1))
	if logRatio != 0 {
		e.value = math.Min(e.value*math.Exp(logRatio), maxEValue)
	}
}

// restart uses half of the spare weight for a start at this window. The
// caller decides on it from earlier windows only.
func (e *eProcess) restart() {
	if !e.started {
		return
	}
	e.spare /= 2
	e.value += e.spare
}
