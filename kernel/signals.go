package kernel

import (
	"os"
	"os/signal"
	"syscall"
)

// maxQueuedStops is the number of stop signals that have a meaning: the first begins
// a graceful stop, the second cancels the work in progress.
const maxQueuedStops = 2

// Signals receives the signals of the process. It is the only receiver of stop
// signals, so that each one counts once.
type Signals struct {
	stops   chan os.Signal
	reloads chan os.Signal
}

// NotifySignals begins to receive SIGINT, SIGTERM and SIGHUP. A program calls it
// before anything else: an earlier SIGHUP ends the process, unless the program imports
// kernel/earlysignal, which ignores it.
func NotifySignals() *Signals {
	s := &Signals{stops: make(chan os.Signal, maxQueuedStops), reloads: make(chan os.Signal, 1)}
	signal.Notify(s.stops, syscall.SIGINT, syscall.SIGTERM)
	signal.Notify(s.reloads, syscall.SIGHUP)
	return s
}

// Close restores the effect that the signals had before.
func (s *Signals) Close() {
	signal.Stop(s.stops)
	signal.Stop(s.reloads)
}

// awaitStops returns after a number of stop signals.
func (s *Signals) awaitStops(count int) {
	for range count {
		<-s.stops
	}
}
