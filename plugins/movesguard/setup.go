// Package movesguard is the plug-in "moves.guard": the local layer of moves,
// which divides the calls of each service and cuts a bad version by itself.
package movesguard

import (
	"time"

	"github.com/phuslu/log"
	"go.uber.org/fx"

	"teaselring/decision/moves"
	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
)

// Settings are the table [moves.guard] of a settings file.
type Settings struct {
	Weight   float64         `toml:"weight" comment:"cost of missing a bad version divided by the cost of delaying a good one, 0.1 to 100; sock office 1, licence mesh 10"`
	MinWatch kernel.Duration `toml:"min_watch" comment:"least time at full share before a move is done, 3s to 24h"`
	Window   kernel.Duration `toml:"window" comment:"length of a window of evidence, 100ms to 10s"`
}

// Validate checks the ranges.
func (s *Settings) Validate() error {
	if err := kernel.InRange("weight", s.Weight, 0.1, 100); err != nil {
		return err
	}
	if err := kernel.SpanInRange("min_watch", s.MinWatch, 3*time.Second, 24*time.Hour); err != nil {
		return err
	}
	return kernel.SpanInRange("window", s.Window, 100*time.Millisecond, 10*time.Second)
}

func init() {
	kernel.Register(kernel.Plugin{
		Name: "moves.guard",
		Doc:  "Divides calls between old and new versions and cuts a bad version by itself.",
		Settings: func() kernel.Validator {
			return &Settings{
				Weight: moves.SockOffice.Weight, MinWatch: kernel.Span(moves.DefaultMinWatch), Window: kernel.Span(time.Second),
			}
		},
		Module: module,
	})
}

func module(v kernel.Validator) fx.Option {
	s := v.(*Settings)
	return fx.Options(
		fx.Supply(moves.Settings{Weight: s.Weight, MinWatch: s.MinWatch.Duration}),
		fx.Provide(
			func() *port.SplitsCell { return new(port.SplitsCell) },
			func() *port.MovesCell { return new(port.MovesCell) },
			func() *port.EvidenceCell { return new(port.EvidenceCell) },
			func() *port.VerdictCell { return new(port.VerdictCell) },
		),
		kernel.ProvideRing[mesh.Outcome]("guard.samples", 4096, kernel.ReplaceOldest),
		kernel.ProvideRing[port.MovesIn]("guard.messages", 1024, kernel.Refuse),
		kernel.ProvideRing[port.HeldMoves]("guard.held", 16, kernel.ReplaceOldest),
		kernel.ProvideDuty(func(in dutyIn) kernel.Duty { return newDuty(s, in) }),
	)
}

type dutyIn struct {
	fx.In
	Identity mesh.Identity
	Logger   *log.Logger
	Settings moves.Settings
	Samples  *port.SampleRing
	Messages *port.MovesInbox
	Held     *port.HeldMovesRing
	View     *port.ViewCell
	Splits   *port.SplitsCell
	Moves    *port.MovesCell
	Evidence *port.EvidenceCell
	Verdicts *port.VerdictCell
	Push     *port.PushRing `optional:"true"`
}
