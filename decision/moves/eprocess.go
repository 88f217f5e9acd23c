package moves

import "math"

// eventCounts counts the calls of each version in one window, and those with
// some property, such as having failed.
type eventCounts struct {
	newEvents, newCalls, oldEvents, oldCalls float64
}

func (h eventCounts) comparable() bool { return h.newCalls > 0 && h.oldCalls > 0 }

// logRatio returns the log likelihood ratio of one window for the rate ratio
// alt between new and old against the rate ratio null. It is conditional on the
// number of events in both versions together, so that the common rate, which
// changes with load and outages, cancels out. Given k events, the number on the
// new version is binomial for rare events and less dispersed for frequent ones,
// so the expectation of the ratio is at most 1 whenever the true rate ratio is
// at most null.
func (h eventCounts) logRatio(alt, null float64) float64 {
	k := h.newEvents + h.oldEvents
	if k == 0 || !h.comparable() {
		return 0
	}
	perCall := math.Log((h.newCalls*alt + h.oldCalls) / (h.newCalls*null + h.oldCalls))
	return h.newEvents*math.Log(alt/null) - k*perCall
}

// eProcess is an anytime-valid test of one alternative. It is a mixture over
// start times: half of the weight starts with the move, the rest is spread over
// later starts, so that a version that turns bad late is detected soon. Its
// expectation is at most 1 for a good version at any stopping time.
type eProcess float64

// Weights of the start times; they add up to 1. lateStarts is the number of
// windows after which half of lateWeight has been used.
const (
	firstWeight   = 0.5
	lateWeight    = 0.3
	restartBudget = 0.2
	lateStarts    = 100.0
	maxEValue     = 1e60
)

// startWeight returns the weight of tests that start at window t, counted from
// 0.
func startWeight(t int) float64 {
	w := lateWeight * lateStarts / ((float64(t) + lateStarts) * (float64(t) + lateStarts + 1))
	if t == 0 {
		w += firstWeight
	}
	return w
}

// restartWeight returns the weight of the n-th restart, counted from 1: half of
// what is left of restartBudget. The decision to restart depends on earlier
// windows only.
func restartWeight(n int) float64 { return restartBudget * math.Pow(0.5, float64(n)) }

func (e *eProcess) update(logRatio, weight float64) {
	v := float64(*e) + weight
	if logRatio != 0 {
		v = math.Min(v*math.Exp(logRatio), maxEValue)
	}
	*e = eProcess(v)
}
