// Package oncekeys is the plug-in "once.keys": it claims the keys of once-only
// calls on the platform, so that each runs at most once over all nodes.
package oncekeys

import (
	"time"

	"go.uber.org/fx"

	"teaselring/kernel"
	"teaselring/port"
)

// Settings are the table [once.keys] of a settings file.
type Settings struct {
	BatchSize   int             `toml:"batch_size" comment:"claims written in one transaction, 1 to 256"`
	BatchWindow kernel.Duration `toml:"batch_window" comment:"time that the first claim of a batch waits for others, 1ms to 1s"`
	Patience    kernel.Duration `toml:"patience" comment:"time after which a claim that the platform did not answer is refused, 100ms to 30s"`
}

// Validate checks the ranges.
func (s *Settings) Validate() error {
	if err := kernel.InRange("batch_size", s.BatchSize, 1, 256); err != nil {
		return err
	}
	if err := kernel.SpanInRange("batch_window", s.BatchWindow, time.Millisecond, time.Second); err != nil {
		return err
	}
	return kernel.SpanInRange("patience", s.Patience, 100*time.Millisecond, 30*time.Second)
}

func init() {
	kernel.Register(kernel.Plugin{
		Name: "once.keys",
		Doc:  "Claims the keys of once-only calls on the platform.",
		Settings: func() kernel.Validator {
			return &Settings{BatchSize: 64, BatchWindow: kernel.Span(5 * time.Millisecond), Patience: kernel.Span(3 * time.Second)}
		},
		Module: module,
	})
}

func module(v kernel.Validator) fx.Option {
	s := v.(*Settings)
	return fx.Options(
		kernel.ProvideRing[kernel.Request[port.Claim, port.Claimed]]("once.claims", 1024, kernel.Refuse),
		kernel.ProvideRing[kernel.Request[port.Settlement, struct{}]]("once.settlements", 1024, kernel.Refuse),
		// One batch is written while two wait. The claims of a further one are refused
		// as not run.
		kernel.ProvideRing[pendingBatch]("once.batches", 2, kernel.Refuse),
		kernel.ProvideDuty(newCollector(s)),
		kernel.ProvideDuty(newWriter(s)),
	)
}
