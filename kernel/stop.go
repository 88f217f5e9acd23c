package kernel

import (
	"context"
	"sync"

	"go.uber.org/fx"
)

// BeforeStop is called when the application begins to stop, while all listeners and
// duties still run. Its error does not prevent the stop.
type BeforeStop func(ctx context.Context) error

// ProvideBeforeStop registers the BeforeStop that constructor returns.
func ProvideBeforeStop(constructor any) fx.Option {
	return fx.Provide(fx.Annotate(constructor, fx.ResultTags(`group:"before_stop"`)))
}

// runBeforeStop runs all hooks concurrently and waits for them.
func runBeforeStop(ctx context.Context, hooks []BeforeStop) {
	var running sync.WaitGroup
	for _, hook := range hooks {
		running.Go(func() { _ = hook(ctx) })
	}
	_ = waitWithContext(ctx, &running)
}
