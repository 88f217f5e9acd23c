package kernel

import (
	"context"

	"go.uber.org/fx"
)

// Grace is the time that a stopping process gives to work in progress. It
// begins when the application is told to stop, before any part of it has
// stopped, and ends with the second signal.
type Grace struct {
	begun, over context.Context
	begin, end  context.CancelFunc
}

func newGrace() *Grace {
	g := &Grace{}
	g.begun, g.begin = context.WithCancel(context.Background())
	g.over, g.end = context.WithCancel(context.Background())
	return g
}

// Begun ends when the application begins to stop.
func (g *Grace) Begun() context.Context { return g.begun }

// Over ends when work in progress must be cut short.
func (g *Grace) Over() context.Context { return g.over }

// End cuts work in progress short.
func (g *Grace) End() { g.end() }

// beginGrace is invoked last, so that its hook is the first to run at a stop.
func beginGrace(lc fx.Lifecycle, g *Grace) {
	lc.Append(fx.Hook{OnStop: func(context.Context) error { g.begin(); return nil }})
}
