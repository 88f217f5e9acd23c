package callforward

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"teaselring/mesh"
	"teaselring/port"
	"teaselring/result"
)

// errDeadline is the cause of a context that the progress timer ended.
var errDeadline = result.DeadlineDuring.Err()

// progressTimer ends a call that makes no progress. For uploads the route's timeout
// bounds the time between two reads of the body in either direction, so that a slow
// sender is not cut off while it makes progress; for other classes it bounds the
// time until the response begins, and then the time between two reads of it.
type progressTimer struct {
	timer        *time.Timer
	timeout      time.Duration
	extendOnSend bool
}

// stopCause returns why this node ended a call in progress: its timer expired or the
// node is stopping. It returns nil when the node did not end the call.
func stopCause(ctx context.Context) error {
	if cause := context.Cause(ctx); cause == errDeadline || cause == port.ErrStopping {
		return cause
	}
	return nil
}

// notStartedError maps the end of a call's context to a "not run" code for a call of
// which nothing was sent yet. While the context has not ended, it returns the error
// unchanged.
func notStartedError(ctx context.Context, err error) error {
	switch {
	case ctx.Err() == nil:
		return err
	case context.Cause(ctx) == errDeadline:
		return result.DeadlineBefore.Err()
	case context.Cause(ctx) == port.ErrStopping:
		return result.Stopped.Err()
	}
	return result.CallerGone.Err()
}

// withProgressTimer returns a context that ends with the cause errDeadline when the
// timer expires.
func withProgressTimer(ctx context.Context, class mesh.Class, remaining, timeout time.Duration) (context.Context, *progressTimer, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	p := &progressTimer{timeout: timeout, extendOnSend: class == mesh.ClassUpload}
	p.timer = time.AfterFunc(remaining, func() { cancel(errDeadline) })
	return ctx, p, func() {
		p.timer.Stop()
		cancel(context.Canceled)
	}
}

// sent records progress of the request body.
func (p *progressTimer) sent() {
	if p.extendOnSend {
		p.timer.Reset(p.timeout)
	}
}

// received records progress of the response.
func (p *progressTimer) received() { p.timer.Reset(p.timeout) }

// trackedBody is a request body that records progress and whether any byte was
// read.
type trackedBody struct {
	io.ReadCloser
	progressTimer *progressTimer
	readStarted   *atomic.Bool
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.readStarted.Store(true)
		b.progressTimer.sent()
	}
	return n, err
}

// noReplayBody is an empty body that net/http does not recognise as empty. It keeps
// the client from repeating a request without body when an idle connection breaks,
// which the client does if the request has an Idempotency-Key header.
type noReplayBody struct{ io.ReadCloser }
