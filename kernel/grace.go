package kernel

import (
	"context"
	"sync"
	"time"
)

// Grace is the period in which a stopping process finishes its work in progress.
// All duties keep running until it ends.
type Grace struct {
	workCtx    context.Context
	cancelWork context.CancelFunc
	began      chan struct{} // closed when the stop begins
	beganAt    time.Time     // valid once began is closed
	drains     []func(workCtx context.Context)
}

// NewGrace returns a period that has not begun.
func NewGrace() *Grace {
	g := &Grace{began: make(chan struct{})}
	g.workCtx, g.cancelWork = context.WithCancel(context.Background())
	return g
}

// OnDrain registers a function that finishes work in progress. All registered
// functions start concurrently after the BeforeStop hooks; the duties run until all
// have returned. The context ends when the work must be aborted. OnDrain is called
// while the application is built.
func (g *Grace) OnDrain(f func(workCtx context.Context)) { g.drains = append(g.drains, f) }

// StopBegan returns a channel that is closed when the stop begins.
func (g *Grace) StopBegan() <-chan struct{} { return g.began }

// Stopping reports whether the stop has begun.
func (g *Grace) Stopping() bool {
	select {
	case <-g.began:
		return true
	default:
		return false
	}
}

// StoppingFor returns the time since the stop began, or 0 before it.
func (g *Grace) StoppingFor() time.Duration {
	if !g.Stopping() {
		return 0
	}
	return time.Since(g.beganAt)
}

// Begin starts the period. The kernel calls it once, at the stop signal.
func (g *Grace) Begin() {
	g.beganAt = time.Now()
	close(g.began)
}

// Abort cancels the work in progress.
func (g *Grace) Abort() { g.cancelWork() }

// aborted reports whether the work in progress was cancelled.
func (g *Grace) aborted() bool { return g.workCtx.Err() != nil }

// drain runs all registered functions and waits for them or the end of ctx.
func (g *Grace) drain(ctx context.Context, guard *Guard) {
	defer context.AfterFunc(ctx, g.cancelWork)()
	var draining sync.WaitGroup
	for _, f := range g.drains {
		draining.Go(func() { _ = guard.Do("drain", func() { f(g.workCtx) }) })
	}
	_ = waitWithContext(ctx, &draining)
}
