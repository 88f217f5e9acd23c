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

// addGrowth adds what t counts beyond an earlier state of the same tally.
func addGrowth(to, t, before *mesh.Tally) {
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

// window is what both versions answered in one span of time.
type window struct{ old, new mesh.Tally }

func (w *window) add(o *window) {
	addTally(&w.old, &o.old)
	addTally(&w.new, &o.new)
}

func (w *window) sub(o *window) {
	subTally(&w.old, &o.old)
	subTally(&w.new, &o.new)
}

func (w *window) failures() hits {
	return hits{
		newHits: float64(w.new.Failures), newCalls: float64(w.new.Calls),
		oldHits: float64(w.old.Failures), oldCalls: float64(w.old.Calls),
	}
}

// shed is comparable only while the new version carries no more load than the
// old one: shedding in proportion to load is no fault.
func (w *window) shed() hits {
	if w.new.Calls > w.old.Calls {
		return hits{}
	}
	return hits{
		newHits: float64(w.new.Shed), newCalls: float64(w.new.Calls + w.new.Shed),
		oldHits: float64(w.old.Shed), oldCalls: float64(w.old.Calls + w.old.Shed),
	}
}

// above holds, for each bucket, the answers of that bucket and above.
type above [mesh.LatencyBuckets + 1]float64

func (a *above) set(t *mesh.Tally) {
	for i := mesh.LatencyBuckets - 1; i >= 0; i-- {
		a[i] = a[i+1] + float64(t.Latency[i])
	}
}

// slowness is both versions' answers of one window.
type slowness struct{ old, new above }

func (s *slowness) set(w *window) {
	s.old.set(&w.old)
	s.new.set(&w.new)
}

// from counts the answers of bucket and above.
func (s *slowness) from(bucket int) hits {
	return hits{
		newHits: s.new[bucket], newCalls: s.new[0],
		oldHits: s.old[bucket], oldCalls: s.old[0],
	}
}
