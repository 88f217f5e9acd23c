// Package movesguard runs the local layer of moves: it divides the calls of
// services during moves and cuts bad upstream versions by itself.
package movesguard

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
	// delaying a good one, 0.1 to 100.
	Weight float64 `toml:"weight"`
	// Interval is the time between two windows of evidence, and the least time
	// between two reports.
	Interval kernel.Duration `toml:"interval"`
	// ReportBudget is what the reports of all nodes may take on this node, in
	// bytes/s. Reports become rarer, down to one in 10 intervals, to meet it.
	ReportBudget int `toml:"report_budget"`
}

// Validate checks the ranges.
func (s *Settings) Validate() error {
	if err := kernel.InRange("weight", s.Weight, 0.1, 100); err != nil {
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
			return &Settings{Weight: moves.SockOffice.Weight, Interval: kernel.Span(time.Second), ReportBudget: 8000}
		},
		Module: func(v kernel.Validator) fx.Option {
			return fx.Options(
				fx.Supply(v.(*Settings)),
				kernel.ProvideRing[mesh.Outcome]("guard.samples", samplesCapacity, kernel.ReplaceOldest),
				kernel.ProvideRing[port.MovesIn]("guard.inbox", inboxCapacity, kernel.Refuse),
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
