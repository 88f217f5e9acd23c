package moves

// crashTest tests the rate of upstream process crashes with calls in flight.
type crashTest struct {
	test eProcess
	// skipNew and skipOld count the windows in which further crashes of a
	// version are still taken as reports of a crash that was counted.
	skipNew, skipOld int
}

const (
	crashRatio = 30
	// crashWindows is how long the nodes need to report one crash, in windows
	// of about a second: each of them sees other calls fail.
	crashWindows = 3
)

func (c *crashTest) update(w *window, weight float64) {
	h := eventCounts{
		newEvents: countCrash(w.new.Crashes, &c.skipNew), newCalls: float64(w.new.Calls),
		oldEvents: countCrash(w.old.Crashes, &c.skipOld), oldCalls: float64(w.old.Calls),
	}
	c.test.update(h.logRatio(crashRatio, 1), weight)
}

// countCrash returns 1 for the first window of a crash, else 0.
func countCrash(crashes uint32, skip *int) float64 {
	if *skip > 0 {
		*skip--
		return 0
	}
	if crashes == 0 {
		return 0
	}
	*skip = crashWindows - 1
	return 1
}
