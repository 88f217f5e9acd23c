package bench

import (
	"math/rand/v2"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// Schedule returns the instants of Poisson arrivals, relative to the start. It
// is fixed by the seed before the load begins, so that a slow answer delays no
// later call and is not left out of the figures.
func Schedule(seed uint64, perSecond float64, length time.Duration) []time.Duration {
	random := rand.New(rand.NewPCG(seed, 0))
	var all []time.Duration
	for at := 0.0; ; {
		at += random.ExpFloat64() / perSecond
		if at >= length.Seconds() {
			return all
		}
		all = append(all, time.Duration(at*float64(time.Second)))
	}
}

// Replay calls do(i, due) at each instant of the schedule on a goroutine of its
// own and waits for all. Times are to be measured from due. It returns how
// late the calls were started.
func Replay(schedule []time.Duration, do func(i int, due time.Time)) (lateness []time.Duration) {
	// Go's timers are rounded up to a millisecond while a process is idle.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var calls sync.WaitGroup
	lateness = make([]time.Duration, len(schedule))
	start := time.Now().Add(10 * time.Millisecond)
	for i, offset := range schedule {
		due := start.Add(offset)
		for left := time.Until(due); left > 0; left = time.Until(due) {
			pause := syscall.NsecToTimespec(left.Nanoseconds())
			_ = syscall.Nanosleep(&pause, nil)
		}
		lateness[i] = time.Since(due)
		calls.Go(func() { do(i, due) })
	}
	calls.Wait()
	return lateness
}
