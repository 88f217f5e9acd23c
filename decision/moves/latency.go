package moves

import (
	"math"

	"teaselring/mesh"
)

// tailFractions are the approximate fractions of the old version's calls above
// the bucket boundaries at which latency is tested. The bounds double from
// bucket to bucket, so the old version's histogram gives the rate of slow calls
// that a slowdown by a given factor causes.
var tailFractions = [...]float64{0.5, 0.1, 0.02}

const (
	// toleratedSlowdown is the factor that counts as no worse: nearer zones and
	// fuller caches explain that much. The rate of slow calls at that factor is
	// interpolated on a logarithmic scale, which is somewhat low for the tails
	// of latencies, so about 1.25 remains.
	toleratedSlowdown = 1.35
	// tailFactor is the second alternative: that many times more slow calls
	// than tolerated, for a version that is slow only now and then.
	tailFactor = 4
	// firstSlowBucket starts at 4 ms: the round trip between zones takes 1 ms,
	// so smaller differences say more about distance than about a version.
	firstSlowBucket = 5
	// boundsGrowthDivisor sets when boundaries are computed again: after the old
	// version's calls have grown by 1/boundsGrowthDivisor.
	boundsGrowthDivisor = 10
	minHistogramCalls   = 200 // old calls before their histogram is used
	minTailCalls        = 10  // of them above a boundary
)

// boundary is one latency test. null and alt are the rate ratios, new over old,
// of calls in bucket and above under a tolerated and an intolerable slowdown.
type boundary struct {
	bucket    int
	tail      float64 // fraction of the old version's calls
	null, alt float64
}

// boundaries computes at most one boundary for each of tailFractions from the
// calls of the old version in earlier windows.
func boundaries(old *mesh.Tally) [len(tailFractions)]boundary {
	var found [len(tailFractions)]boundary
	var tailCounts tailCounts
	tailCounts.set(old)
	total := tailCounts[0]
	if total < minHistogramCalls {
		return found
	}
	last := 0
	for i, tail := range tailFractions {
		b := firstSlowBucket
		for b < mesh.LatencyBuckets-1 && tailCounts[b] > tail*total {
			b++
		}
		if b == last || tailCounts[b] < minTailCalls {
			continue
		}
		last = b
		found[i] = newBoundary(b, tailCounts[b]/total, tailCounts[b-1]/total)
	}
	return found
}

func newBoundary(bucket int, tail, doubled float64) boundary {
	tolerated := tail * math.Pow(doubled/tail, math.Log2(toleratedSlowdown))
	null := tolerated / tail
	return boundary{bucket: bucket, tail: tail, null: null, alt: math.Max(doubled/tail, 1.2*null)}
}
