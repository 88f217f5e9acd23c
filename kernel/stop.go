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

// beforeStop runs all hooks concurrently and waits for them.
func (in *dutiesIn) beforeStop(ctx context.Context) {
	var running sync.WaitGroup
	for _, hook := range in.Before {
		running.Go(func() {
			if err := in.Guard.Run("stop hook", "", func() error { return hook(ctx) }); err != nil {
				in.Logger.Warn().Err(err).Msg("stop hook failed")
			}
		})
	}
	_ = waitWithContext(ctx, &running) // the end of ctx shows in the drain that follows
}
