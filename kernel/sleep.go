package kernel

import (
	"context"
	"time"
)

// Sleep waits for a time or the end of the context, whose error it returns then.
func Sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
