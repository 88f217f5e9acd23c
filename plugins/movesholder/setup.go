// Package movesholder is the plug-in moves.holder: it holds the leases of moves,
// decides on their steps and writes their rows on the platform.
package movesholder

import (
	"time"

	"go.uber.org/fx"

	"teaselring/decision/moves"
	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
)

// Settings are the table [moves.holder] of a settings file.
type Settings struct {
	PlatformTimeout kernel.Duration `toml:"platform_timeout" comment:"time for one platform call, 100ms to 4s"`
}

// Validate checks the ranges.
func (s *Settings) Validate() error {
	return kernel.SpanInRange("platform_timeout", s.PlatformTimeout, 100*time.Millisecond, moves.LeaseRenewInterval)
}

// requestCapacity is the number of operators' requests that can be queued.
const requestCapacity = 16

func init() {
	kernel.Register(kernel.Plugin{
		Name: "moves.holder",
		Doc:  "Holds the leases of moves and decides on their steps.",
		Settings: func() kernel.Validator {
			return &Settings{PlatformTimeout: kernel.Span(time.Second)}
		},
		Module: func(v kernel.Validator) fx.Option {
			return fx.Options(
				fx.Supply(v.(*Settings)),
				kernel.ProvideRing[kernel.Request[port.StartMove, mesh.Move]]("holder.start", requestCapacity, kernel.Refuse),
				kernel.ProvideRing[kernel.Request[port.TakeBack, mesh.Move]]("holder.take-back", requestCapacity, kernel.Refuse),
				kernel.ProvideDuty(newDuty),
			)
		},
	})
}
