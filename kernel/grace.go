package kernel

import (
	"context"
	"sync"
)

// Grace is the time that a stopping process gives to work in progress. While it
// lasts, all duties still run.
type Grace struct {
	over   context.Context
	end    context.CancelFunc
	drains []func(over context.Context)
}

func newGrace() *Grace {
	g := &Grace{}
	g.over, g.end = context.WithCancel(context.Background())
	return g
}

// Drain registers a function that finishes work in progress. All of them start
// at once after the BeforeStop hooks; the duties run until all have returned. The context ends when work must be cut short. Drain is called while
// the application is built.
func (g *Grace) Drain(f func(over context.Context)) { g.drains = append(g.drains, f) }

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
