package kernel

import (
	"context"
	"sync"

	"github.com/juju/errors"
	"github.com/phuslu/log"
	"go.uber.org/fx"
)

// Duty is a goroutine that is the only owner of its state.
type Duty struct {
	Name string
	Owns string   // the state that only this duty changes
	In   []string // names of the rings that it receives from
	Out  []string // names of the rings that it sends to
	// Run returns when ctx ends. An earlier return with an error stops the process.
	Run func(ctx context.Context) error
}

// ProvideDuty returns an fx option that runs the duty built by constructor,
// a function that returns Duty and takes its rings and cells as arguments.
func ProvideDuty(constructor any) fx.Option {
	return fx.Provide(fx.Annotate(constructor, fx.ResultTags(`group:"duties"`)))
}

// ProvideRing returns an fx option that provides the ring as its own type and
// lists it for operators.
func ProvideRing[T any](name string, capacity int, full FullPolicy) fx.Option {
	return fx.Options(
		fx.Provide(func() *Ring[T] { return NewRing[T](name, capacity, full) }),
		fx.Provide(fx.Annotate(
			func(r *Ring[T]) anyRing { return r },
			fx.ResultTags(`group:"rings"`),
		)),
	)
}

// ProvideWrappedRing is ProvideRing for a ring whose item type is used by other
// rings too: wrap gives it a distinct type for injection.
func ProvideWrappedRing[T, W any](name string, capacity int, full FullPolicy, wrap func(*Ring[T]) W) fx.Option {
	ring := NewRing[T](name, capacity, full)
	return fx.Options(
		fx.Provide(func() W { return wrap(ring) }),
		fx.Provide(fx.Annotate(func() anyRing { return ring }, fx.ResultTags(`group:"rings"`))),
	)
}

type dutiesIn struct {
	fx.In
	Duties   []Duty       `group:"duties"`
	Before   []BeforeStop `group:"before_stop"`
	Grace    *Grace
	Failures failures
	Guard    *Guard
	Logger   *log.Logger
}

// runDuties starts every duty with the application. When the application stops,
// it first runs the BeforeStop hooks, then waits for work in progress, and then
// stops all duties.
func runDuties(lc fx.Lifecycle, in dutiesIn) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			for _, d := range in.Duties {
				running.Go(func() { in.run(ctx, d) })
			}
			return nil
		},
		OnStop: func(stopCtx context.Context) error {
			in.Grace.Begin()
			in.Logger.Info().Msg("stop began")
			in.beforeStop(stopCtx)
			in.Logger.Info().Dur("after", in.Grace.StoppingFor()).Msg("stop announced")
			in.Grace.drain(stopCtx, in.Guard)
			in.Logger.Info().Dur("after", in.Grace.StoppingFor()).Bool("aborted", in.Grace.aborted()).Msg("work in progress ended")
			cancel()
			return waitWithContext(stopCtx, &running)
		},
	})
}

// run runs a duty. If it fails, the process stops in order: calls in progress end,
// but the state that the duty owned can't be trusted to run it again.
func (in *dutiesIn) run(ctx context.Context, d Duty) {
	err := in.Guard.Run("duty "+d.Name, "", func() error { return d.Run(ctx) })
	if err == nil || (ctx.Err() != nil && !errors.Is(err, ErrPanic)) {
		return
	}
	in.Logger.Error().Str("duty", d.Name).Err(err).Msg("duty failed, stopping the process")
	in.Failures.report()
}

func waitWithContext(ctx context.Context, group *sync.WaitGroup) error {
	done := make(chan struct{})
	go func() { group.Wait(); close(done) }()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
