package moves

import "teaselring/mesh"

func addTally(to *mesh.Tally, t *mesh.Tally) {
	to.Calls += t.Calls
	to.Failures += t.Failures
	to.Shed += t.Shed
	to.Crashes += t.Crashes
	for i := range t.Latency {
		to.Latency[i] += t.Latency[i]
	}
}

// addDelta adds the growth of t since an earlier state of the same tally.
func addDelta(to, t, before *mesh.Tally) {
	if *t == *before {
		return
	}
	to.Calls += t.Calls - min(t.Calls, before.Calls)
	to.Failures += t.Failures - min(t.Failures, before.Failures)
	to.Shed += t.Shed - min(t.Shed, before.Shed)
	to.Crashes += t.Crashes - min(t.Crashes, before.Crashes)
	for i, n := range t.Latency {
		if n > before.Latency[i] {
			to.Latency[i] += n - before.Latency[i]
		}
	}
}

func subTally(from *mesh.Tally, t *mesh.Tally) {
	from.Calls -= min(from.Calls, t.Calls)
	from.Failures -= min(from.Failures, t.Failures)
	from.Shed -= min(from.Shed, t.Shed)
	from.Crashes -= min(from.Crashes, t.Crashes)
	for i := range t.Latency {
		from.Latency[i] -= min(from.Latency[i], t.Latency[i])
	}
}

// window holds the calls of both versions in one span of time.
type window struct{ old, new mesh.Tally }

func (w *window) add(o *window) {
	addTally(&w.old, &o.old)
	addTally(&w.new, &o.new)
}

func (w *window) sub(o *window) {
	subTally(&w.old, &o.old)
	subTally(&w.new, &o.new)
}

func (w *window) failures() eventCounts {
	return eventCounts{
		newEvents: float64(w.new.Failures), newCalls: float64(w.new.Calls),
		oldEvents: float64(w.old.Failures), oldCalls: float64(w.old.Calls),
	}
}

// shed is empty unless the new version carries no more load than the old one:
// shedding in proportion to load is no fault.
func (w *window) shed() eventCounts {
	if w.new.Calls > w.old.Calls {
		return eventCounts{}
	}
	return eventCounts{
		newEvents: float64(w.new.Shed), newCalls: float64(w.new.Calls + w.new.Shed),
		oldEvents: float64(w.old.Shed), oldCalls: float64(w.old.Calls + w.old.Shed),
	}
}

// tailCounts is a reverse cumulative histogram: for each bucket, the calls in
// that bucket and above.
type tailCounts [mesh.LatencyBuckets + 1]float64

func (a *tailCounts) set(t *mesh.Tally) {
	for i := mesh.LatencyBuckets - 1; i >= 0; i-- {
		a[i] = a[i+1] + float64(t.Latency[i])
	}
}

// latencyTails holds the reverse cumulative histograms of both versions in one
// window.
type latencyTails struct{ old, new tailCounts }

func (s *latencyTails) set(w *window) {
	s.old.set(&w.old)
	s.new.set(&w.new)
}

// atLeast counts the calls in bucket and above.
func (s *latencyTails) atLeast(bucket int) eventCounts {
	return eventCounts{
		newEvents: s.new[bucket], newCalls: s.new[0],
		oldEvents: s.old[bucket], oldCalls: s.old[0],
	}
}
