package moves

// crashTest tests how often upstream processes end with calls in flight.
type crashTest struct {
	test eProcess
	// quiet is how many more windows crashes of a version are taken as
	// reports of a crash that was counted.
	quietNew, quietOld int
}

const (
	crashRatio = 30
	// crashWindows is how long the nodes need to report one crash, in windows
	// of about a second: each of them saw other calls end by it.
	crashWindows = 3
)

func (c *crashTest) update(w *window, weight float64) {
	h := hits{
		newHits: count(w.new.Crashes, &c.quietNew), newCalls: float64(w.new.Calls),
		oldHits: count(w.old.Crashes, &c.quietOld), oldCalls: float64(w.old.Calls),
	}
	c.test.update(h.logRatio(crashRatio, 1), weight)
}

// count returns 1 for the first window of a crash, else 0.
func count(crashes uint32, quiet *int) float64 {
	if *quiet > 0 {
		*quiet--
		return 0
	}
	if crashes == 0 {
		return 0
	}
	*quiet = crashWindows - 1
	return 1
}
