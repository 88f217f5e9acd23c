// Package movesholder runs the deciding layer of moves on the nodes that hold
// a lease: it reads and writes the rows of moves on the platform.
package movesholder

import (
	"time"

	"go.uber.org/fx"

	"teaselring/decision/moves"
	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
)

// Settings of the plug-in.
type Settings struct {
	// Weight is the cost of missing a bad version divided by the cost of
	// delaying a good one, 0.1 to 100. It should equal that of moves.guard.
	Weight float64 `toml:"weight"`
	// PlatformTimeout bounds each platform call.
	PlatformTimeout kernel.Duration `toml:"platform_timeout"`
}

// Validate checks the ranges.
func (s *Settings) Validate() error {
	if err := kernel.InRange("weight", s.Weight, 0.1, 100); err != nil {
		return err
	}
	return kernel.SpanInRange("platform_timeout", s.PlatformTimeout, 100*time.Millisecond, moves.RenewInterval)
}

// askCapacity is the number of operators' requests that may wait.
const askCapacity = 16

func init() {
	kernel.Register(kernel.Plugin{
		Name: "moves.holder",
		Doc:  "Holds the leases of moves and decides on their steps.",
		Settings: func() kernel.Validator {
			return &Settings{Weight: moves.SockOffice.Weight, PlatformTimeout: kernel.Span(time.Second)}
		},
		Module: func(v kernel.Validator) fx.Option {
			return fx.Options(
				fx.Supply(v.(*Settings)),
				kernel.ProvideRing[kernel.Ask[port.StartMove, mesh.Move]]("holder.start", askCapacity, kernel.Refuse),
				kernel.ProvideRing[kernel.Ask[port.TakeBack, mesh.Move]]("holder.take-back", askCapacity, kernel.Refuse),
				kernel.ProvideDuty(newDuty),
			)
		},
	})
}
