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

// errDeadline is the cause of a context that ended because the call's time ran out.
var errDeadline = result.DeadlineDuring.Err()

// patience bounds a call in time. For uploads the route's timeout bounds the
// silence between two pieces of the body in either direction, so that a slow
// sender is not cut while it makes progress; for other classes it bounds the
// time until the answer begins, and then the silence within the answer.
type patience struct {
	timer   *time.Timer
	timeout time.Duration
	extend  bool
}

// endedBy returns why this node ended a call that was in progress, or nil when
// it did not: its time ran out, or the node is stopping.
func endedBy(ctx context.Context) error {
	if cause := context.Cause(ctx); cause == errDeadline || cause == port.ErrStopping {
		return cause
	}
	return nil
}

// beforeStart maps the end of a call's context to a code that says "not run",
// for a call of which nothing was sent yet. An error for another reason is
// returned as it is.
func beforeStart(ctx context.Context, err error) error {
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

// withPatience returns a context that ends with errDeadline as its cause.
func withPatience(ctx context.Context, class mesh.Class, left, timeout time.Duration) (context.Context, *patience, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	p := &patience{timeout: timeout, extend: class == mesh.ClassUpload}
	p.timer = time.AfterFunc(left, func() { cancel(errDeadline) })
	return ctx, p, func() {
		p.timer.Stop()
		cancel(context.Canceled)
	}
}

// sent notes progress of the request body.
func (p *patience) sent() {
	if p.extend {
		p.timer.Reset(p.timeout)
	}
}

// received notes progress of the answer.
func (p *patience) received() { p.timer.Reset(p.timeout) }

// trackedBody is a request body that reports progress and whether any byte was
// read.
type trackedBody struct {
	io.ReadCloser
	patience *patience
	touched  *atomic.Bool
}

// Read reads from the caller and notes progress.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.touched.Store(true)
		b.patience.sent()
	}
	return n, err
}

// onceOnly is an empty body that net/http does not recognise as empty. Without
// it the client repeats a request without body by itself when a kept
// connection breaks, if the request carries an Idempotency-Key header.
type onceOnly struct{ io.ReadCloser }
