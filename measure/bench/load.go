package bench

import (
	"math/rand/v2"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// PoissonSchedule returns Poisson arrival times relative to the start. They
// depend on the seed only, so a slow response delays no later call and can't
// hide the latency of calls due meanwhile (coordinated omission).
func PoissonSchedule(seed uint64, perSecond float64, length time.Duration) []time.Duration {
	random := rand.New(rand.NewPCG(seed, 0))
	var arrivals []time.Duration
	for at := 0.0; ; {
		at += random.ExpFloat64() / perSecond
		if at >= length.Seconds() {
			return arrivals
		}
		arrivals = append(arrivals, time.Duration(at*float64(time.Second)))
	}
}

// Replay calls do(i, due) at each time of the schedule, each in its own
// goroutine, and waits for all of them. Latency must be measured from due.
// Replay returns how late each call was started.
func Replay(schedule []time.Duration, do func(i int, due time.Time)) (lateness []time.Duration) {
	// Go rounds timers up to a millisecond while the process is idle, so the
	// thread sleeps by system call.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var calls sync.WaitGroup
	lateness = make([]time.Duration, len(schedule))
	start := time.Now().Add(10 * time.Millisecond)
	for i, offset := range schedule {
		due := start.Add(offset)
		for remaining := time.Until(due); remaining > 0; remaining = time.Until(due) {
			pause := syscall.NsecToTimespec(remaining.Nanoseconds())
			_ = syscall.Nanosleep(&pause, nil)
		}
		lateness[i] = time.Since(due)
		calls.Go(func() { do(i, due) })
	}
	calls.Wait()
	return lateness
}
