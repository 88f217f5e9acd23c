// Package movesguard is the plug-in moves.guard, the part of moves that every
// node decides locally: it divides the calls of services during moves and cuts
// bad upstream versions without the platform.
package movesguard

import (
	"time"

	"go.uber.org/fx"

	"teaselring/decision/moves"
	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
)

// Settings are the table [moves.guard] of a settings file. The decisions of
// moves.holder use the same weight and minimum watch period.
type Settings struct {
	Weight       float64         `toml:"weight" comment:"cost of missing a bad version divided by the cost of delaying a good one, 0.1 to 100; sock office 1, licence mesh 10"`
	MinWatch     kernel.Duration `toml:"min_watch" comment:"least time at full share before a move is done, 3s to 24h"`
	Interval     kernel.Duration `toml:"interval" comment:"length of a window of evidence and least time between two reports, 500ms to 3s"`
	ReportBudget int             `toml:"report_budget" comment:"bytes per second that the reports of all nodes may take on this one, 1000 to 1000000; reports become rarer, down to one in 10 intervals, to meet it"`
}

func (s *Settings) decisions() moves.Settings {
	return moves.Settings{Weight: s.Weight, MinWatch: s.MinWatch.Duration}
}

// Validate checks the ranges.
func (s *Settings) Validate() error {
	if err := kernel.InRange("weight", s.Weight, 0.1, 100); err != nil {
		return err
	}
	if err := kernel.SpanInRange("min_watch", s.MinWatch, 3*time.Second, 24*time.Hour); err != nil {
		return err
	}
	if err := kernel.InRange("report_budget", s.ReportBudget, 1000, 1_000_000); err != nil {
		return err
	}
	return kernel.SpanInRange("interval", s.Interval, 500*time.Millisecond, 3*time.Second)
}

// Capacities of the rings, in items.
const (
	samplesCapacity = 4096 // about 30 ms of the calls of a whole mesh at full scale
	inboxCapacity   = 1024
	heldCapacity    = 16
)

func init() {
	kernel.Register(kernel.Plugin{
		Name: "moves.guard",
		Doc:  "Divides calls during moves and cuts bad upstream versions.",
		Settings: func() kernel.Validator {
			return &Settings{
				Weight: moves.SockOffice.Weight, MinWatch: kernel.Span(moves.DefaultMinWatch),
				Interval: kernel.Span(time.Second), ReportBudget: 8000,
			}
		},
		Module: func(v kernel.Validator) fx.Option {
			return fx.Options(
				fx.Supply(v.(*Settings), v.(*Settings).decisions()),
				kernel.ProvideRing[mesh.Outcome]("guard.samples", samplesCapacity, kernel.ReplaceOldest),
				kernel.ProvideRing[port.MovesMessage]("guard.inbox", inboxCapacity, kernel.Refuse),
				kernel.ProvideRing[port.HeldMoves]("guard.held", heldCapacity, kernel.ReplaceOldest),
				fx.Provide(
					func() *port.SplitsCell { return &port.SplitsCell{} },
					func() *port.MovesCell { return &port.MovesCell{} },
					func() *port.EvidenceCell { return &port.EvidenceCell{} },
					func() *port.VerdictsCell { return &port.VerdictsCell{} },
				),
				kernel.ProvideDuty(newDuty),
			)
		},
	})
}
