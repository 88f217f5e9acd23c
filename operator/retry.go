package operator

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"teaselring/result"
)

// Waits between tries double from firstWait to lastWait, with full jitter.
const (
	firstWait = 250 * time.Millisecond
	lastWait  = 2 * time.Second
)

// lostAnswer reports whether the request may have been carried out without
// this client knowing.
func lostAnswer(err error) bool {
	var transport *TransportError
	if errors.As(err, &transport) {
		return transport.Sent
	}
	return result.Of(err) == result.PlatformUnknown
}

// transient also covers requests that were not sent, and refusals that the
// same request may not meet again. After a lost answer these decide nothing:
// "nothing was written" is then true of the last try only.
func transient(err error) bool {
	var transport *TransportError
	return errors.As(err, &transport) || result.Of(err).Retry == result.RetrySafe
}

// retryLost repeats a request that does no harm when it is carried out twice.
// The first try must lose its answer for that; a request that could not be
// sent fails at once. Try gets whether an answer was lost before.
func retryLost[A any](ctx context.Context, c *Client, what string, try func(ctx context.Context, lost bool) (A, error)) (A, error) {
	lost := false
	for wait := firstWait; ; wait = min(2*wait, lastWait) {
		a, err := bounded(ctx, lost, try)
		if !lostAnswer(err) && !(lost && transient(err)) {
			return a, err
		}
		lost = true
		c.progress("%s: %v; trying again", what, err)
		if !sleep(ctx, rand.N(wait)) {
			return a, &TransportError{Sent: true, Err: errors.Join(context.Cause(ctx), err)}
		}
	}
}

func bounded[A any](ctx context.Context, lost bool, try func(context.Context, bool) (A, error)) (A, error) {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	return try(ctx, lost)
}

// sleep reports whether ctx was still alive after d.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
