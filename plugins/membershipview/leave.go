package membershipview

import (
	"context"
	"time"

	"teaselring/kernel"
	"teaselring/port"
)

// leaveTimeout bounds the wait for the members duty at a stop. It is above
// leaveWait by far more than the duty needs.
const leaveTimeout = 2 * time.Second

// leaveAtStop spreads that the node is leaving as soon as the process is told
// to stop, while calls in progress are still served.
func leaveAtStop(grace *kernel.Grace, ring *port.LeavingRing) {
	grace.Drain(func(over context.Context) {
		ctx, cancel := context.WithTimeout(over, leaveTimeout)
		defer cancel()
		_, _ = kernel.Do(ctx, ring, port.Leaving{})
	})
}
