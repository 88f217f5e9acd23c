package operator

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"teaselring/result"
)

// The backoff between attempts doubles from minBackoff to maxBackoff, with full jitter.
const (
	minBackoff = 250 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// lostResponse reports whether the request may have been executed although its response
// is missing.
func lostResponse(err error) bool {
	var transport *TransportError
	if errors.As(err, &transport) {
		return transport.Sent
	}
	return result.Of(err) == result.PlatformUnknown
}

// transient reports whether the same request may succeed later; that includes requests
// that were not sent and refusals that are safe to retry. After a lost response such an
// error does not settle the outcome: "nothing was written" then holds for the last
// attempt only.
func transient(err error) bool {
	var transport *TransportError
	return errors.As(err, &transport) || result.Of(err).Retry == result.RetrySafe
}

// retryIdempotent repeats an idempotent request until its outcome is known. Only a lost
// response starts the retries: a request that could not be sent fails at once. The
// argument lost of attempt is set after the first lost response.
func retryIdempotent[R any](ctx context.Context, c *Client, operation string, attempt func(ctx context.Context, lost bool) (R, error)) (R, error) {
	lost := false
	for backoff := minBackoff; ; backoff = min(2*backoff, maxBackoff) {
		response, err := runAttempt(ctx, lost, attempt)
		if !lostResponse(err) && !(lost && transient(err)) {
			return response, err
		}
		lost = true
		c.progress("%s: %v; trying again", operation, err)
		if !sleep(ctx, rand.N(backoff)) {
			return response, &TransportError{Sent: true, Err: errors.Join(context.Cause(ctx), err)}
		}
	}
}

func runAttempt[R any](ctx context.Context, lost bool, attempt func(context.Context, bool) (R, error)) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return attempt(ctx, lost)
}

// sleep waits for d and reports whether ctx is still active.
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
