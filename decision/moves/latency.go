package moves

import (
	"math"

	"teaselring/mesh"
)

// Slowness is tested at boundaries of the latency histogram that about half,
// a tenth and a fiftieth of the old version's answers exceed. The histogram
// doubles from bucket to bucket, so the old version's own histogram says
// which rate of slow answers a slow-down by a factor leads to.
var slowTails = [...]float64{0.5, 0.1, 0.02}

const (
	// toleratedSlowdown is the factor that counts as no worse: nearer zones
	// and fuller caches explain that much. The rate of slow answers at it is
	// interpolated on a logarithmic scale, which is somewhat low for the tails
	// of latencies, so about 1.25 remains.
	toleratedSlowdown = 1.35
	// tailFactor is the second alternative: that many times more slow answers
	// than tolerated, for a version that is slow only now and then.
	tailFactor = 4
	// firstSlowBucket starts at 4 ms: zones are 1 ms apart there and back, so
	// smaller differences say more about distance than about a version.
	firstSlowBucket = 5
	// reshapePart is how much of the old answers must be new before the
	// boundaries are chosen again: a tenth.
	reshapePart   = 10
	minShapeCalls = 200 // old answers before the shape of their histogram is used
	minShapeTail  = 10  // of them above a boundary
)

// boundary is one test of slowness: the rate ratios of answers in bucket and
// above that a tolerated and an intolerable slow-down lead to.
type boundary struct {
	bucket    int
	tail      float64 // rate of the old version
	null, alt float64
}

// boundaries chooses at most one boundary for each of slowTails from the
// answers of the old version in earlier windows.
func boundaries(old *mesh.Tally) [len(slowTails)]boundary {
	var found [len(slowTails)]boundary
	var above above
	above.set(old)
	total := above[0]
	if total < minShapeCalls {
		return found
	}
	last := 0
	for i, tail := range slowTails {
		b := firstSlowBucket
		for b < mesh.LatencyBuckets-1 && above[b] > tail*total {
			b++
		}
		if b == last || above[b] < minShapeTail {
			continue
		}
		last = b
		found[i] = shape(b, above[b]/total, above[b-1]/total)
	}
	return found
}

func shape(bucket int, tail, doubled float64) boundary {
	tolerated := tail * math.Pow(doubled/tail, math.Log2(toleratedSlowdown))
	null := tolerated / tail
	return boundary{bucket: bucket, tail: tail, null: null, alt: math.Max(doubled/tail, 1.2*null)}
}
