package kernel

import (
	"context"

	"go.uber.org/fx"
)

// BeforeStop is called when the application begins to stop, while all
// listeners and duties still run. An error does not keep it from stopping.
type BeforeStop func(ctx context.Context) error

// ProvideBeforeStop adds the BeforeStop that constructor returns.
func ProvideBeforeStop(constructor any) fx.Option {
	return fx.Provide(fx.Annotate(constructor, fx.ResultTags(`group:"before_stop"`)))
}

type beforeStopIn struct {
	fx.In
	Hooks []BeforeStop `group:"before_stop"`
}

// runBeforeStop is invoked after everything else, since stop hooks run in the
// reverse order of their registration.
func runBeforeStop(lc fx.Lifecycle, in beforeStopIn) {
	lc.Append(fx.StopHook(func(ctx context.Context) {
		for _, hook := range in.Hooks {
			_ = hook(ctx)
		}
	}))
}
