package kernel

import (
	"context"
	"sync"
	"time"
)

// Grace is the time that a stopping process gives to work in progress. While it
// lasts, all duties still run.
type Grace struct {
	over   context.Context
	end    context.CancelFunc
	began  chan struct{} // closed when the process begins to stop
	at     time.Time     // of that; valid once began is closed
	drains []func(over context.Context)
}

func newGrace() *Grace {
	g := &Grace{began: make(chan struct{})}
	g.over, g.end = context.WithCancel(context.Background())
	return g
}

// Drain registers a function that finishes work in progress. All of them start
// at once after the BeforeStop hooks; the duties run until all have returned. The context ends when work must be cut short. Drain is called while
// the application is built.
func (g *Grace) Drain(f func(over context.Context)) { g.drains = append(g.drains, f) }

// Began returns a channel that is closed when the process begins to stop.
func (g *Grace) Began() <-chan struct{} { return g.began }

// Stopping reports whether the process has begun to stop.
func (g *Grace) Stopping() bool {
	select {
	case <-g.began:
		return true
	default:
		return false
	}
}

// StoppingFor returns the time since the process began to stop, 0 before.
func (g *Grace) StoppingFor() time.Duration {
	if !g.Stopping() {
		return 0
	}
	return time.Since(g.at)
}

func (g *Grace) begin() {
	g.at = time.Now()
	close(g.began)
}

// End cuts work in progress short.
func (g *Grace) End() { g.end() }

// drain runs all registered functions and waits for them or the end of ctx.
func (g *Grace) drain(ctx context.Context) {
	defer context.AfterFunc(ctx, g.end)()
	var draining sync.WaitGroup
	for _, f := range g.drains {
		draining.Go(func() { f(g.over) })
	}
	_ = waitGroup(ctx, &draining)
}
