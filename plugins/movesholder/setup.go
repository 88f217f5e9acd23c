// Package movesholder is the plug-in "moves.holder": the deciding layer of
// moves, which holds leases on their rows and writes each step.
package movesholder

import (
	"time"

	"github.com/phuslu/log"
	"go.uber.org/fx"

	"teaselring/decision/moves"
	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
)

// Settings are the table [moves.holder] of a settings file.
type Settings struct {
	Interval kernel.Duration `toml:"interval" comment:"time between two reads of the rows by a node that may hold a lease, 200ms to 10s"`
}

// Validate checks the ranges.
func (s *Settings) Validate() error {
	return kernel.SpanInRange("interval", s.Interval, 200*time.Millisecond, 10*time.Second)
}

func init() {
	kernel.Register(kernel.Plugin{
		Name:     "moves.holder",
		Doc:      "Holds leases on moves and writes their steps to the platform.",
		Settings: func() kernel.Validator { return &Settings{Interval: kernel.Span(time.Second)} },
		Module: func(v kernel.Validator) fx.Option {
			return fx.Options(
				kernel.ProvideRing[kernel.Ask[port.StartMove, mesh.Move]]("holder.starts", 16, kernel.WaitUntilDeadline),
				kernel.ProvideRing[kernel.Ask[port.TakeBack, mesh.Move]]("holder.take-backs", 16, kernel.WaitUntilDeadline),
				kernel.ProvideDuty(func(in dutyIn) kernel.Duty { return newDuty(v.(*Settings), in) }),
			)
		},
	})
}

type dutyIn struct {
	fx.In
	Identity  mesh.Identity
	Logger    *log.Logger
	Settings  moves.Settings
	Table     port.Table
	View      *port.ViewCell
	Verdicts  *port.VerdictCell
	Starts    *port.StartMoveRing
	TakeBacks *port.TakeBackRing
	Held      *port.HeldMovesRing
}
