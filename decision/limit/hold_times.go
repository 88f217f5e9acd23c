package limit

import "teaselring/mesh"

// holdTimes estimates how long calls hold a slot now.
//
// Load pattern: an instance becomes 2.5 times slower for parts of a second, and routes of
// the same priority differ in class.
type holdTimes struct {
	// usual is the moving average of each rank and class at the usual speed, in ns. Classes
	// are separate so that a slow upload doesn't make reads look slow.
	usual [rankCount][classCount]float64
	// all is the moving average of all calls as they were, in ns.
	all float64
	// slowness is how long work takes now, in percent of the usual time, as the upstream
	// reports it; 0: unknown.
	slowness int
}

const (
	classCount = 4
	// holdTimeWeight is the weight of a new sample in a moving average.
	holdTimeWeight = 0.05
	// minSlowness and maxSlowness bound the factor that an upstream reports.
	minSlowness, maxSlowness = 0.25, 10
)

func classIndex(c mesh.Class) int {
	switch c {
	case mesh.ClassOnce:
		return 1
	case mesh.ClassUpload:
		return 2
	case mesh.ClassDownload:
		return 3
	}
	return 0
}

// factor returns how long work takes now, as a multiple of the usual time.
func (h *holdTimes) factor() float64 {
	if h.slowness <= 0 {
		return 1
	}
	return min(max(float64(h.slowness)/100, minSlowness), maxSlowness)
}

// expected returns how long a call would hold its slot now, in ns; 0: unknown.
func (h *holdTimes) expected(q *Request) float64 {
	return h.usual[q.rank()][classIndex(q.Class)] * h.factor()
}

// add records how long a call held its slot. The present slowness is that of the call: the
// upstream reports it with each response.
func (h *holdTimes) add(r rank, c mesh.Class, held float64) {
	addSample(&h.usual[r][classIndex(c)], held/h.factor())
	addSample(&h.all, held)
}

func addSample(mean *float64, sample float64) {
	if *mean == 0 {
		*mean = sample
	}
	*mean += holdTimeWeight * (sample - *mean)
}
