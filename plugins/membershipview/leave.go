package membershipview

import (
	"context"
	"time"

	"go.uber.org/fx"

	"teaselring/kernel"
	"teaselring/port"
)

// leaveTimeout bounds the wait for the members duty at a stop. It is above
// leaveWait by far more than the duty needs.
const leaveTimeout = 2 * time.Second

// leaveAtStop spreads that the node is leaving as soon as the application
// begins to stop, while calls in progress are still served.
func leaveAtStop(lc fx.Lifecycle, grace *kernel.Grace, ring *port.LeavingRing) {
	told := make(chan struct{})
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			context.AfterFunc(grace.Begun(), func() {
				defer close(told)
				ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
				defer cancel()
				_, _ = kernel.Do(ctx, ring, port.Leaving{})
			})
			return nil
		},
		OnStop: func(ctx context.Context) error {
			select {
			case <-told:
			case <-ctx.Done():
			}
			return nil
		},
	})
}
