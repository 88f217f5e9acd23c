// Package audittrail is the plug-in audit.trail: it writes the audit entries of
// a node to the platform and reads streams back.
package audittrail

import (
	"time"

	"go.uber.org/fx"

	"teaselring/kernel"
	"teaselring/port"
)

// ringCapacity is the number of entries that a node buffers during an outage of the
// platform, besides the current batch. Entries are rare: refusals, drains and
// quarantines.
const ringCapacity = 1024

// Settings of the plug-in audit.trail.
type Settings struct {
	Linger       kernel.Duration `toml:"linger" comment:"how long a batch waits for further entries, 0s to 5s"`
	WriteTimeout kernel.Duration `toml:"write_timeout" comment:"upper limit of one write, and all writes at shutdown, 100ms to 1m"`
	RetryMax     kernel.Duration `toml:"retry_max" comment:"upper limit of the wait between two tries, which doubles from 250ms, 250ms to 5m"`
}

func defaults() *Settings {
	return &Settings{
		Linger:       kernel.Span(100 * time.Millisecond),
		WriteTimeout: kernel.Span(5 * time.Second),
		RetryMax:     kernel.Span(10 * time.Second),
	}
}

// Validate checks the ranges.
func (s *Settings) Validate() error {
	if err := kernel.SpanInRange("linger", s.Linger, 0, 5*time.Second); err != nil {
		return err
	}
	if err := kernel.SpanInRange("write_timeout", s.WriteTimeout, 100*time.Millisecond, time.Minute); err != nil {
		return err
	}
	return kernel.SpanInRange("retry_max", s.RetryMax, minBackoff, 5*time.Minute)
}

func init() {
	kernel.Register(kernel.Plugin{
		Name:     "audit.trail",
		Doc:      "Writes audit entries to the platform and reads streams back.",
		Settings: func() kernel.Validator { return defaults() },
		Module:   func(settings kernel.Validator) fx.Option { return module(settings.(*Settings)) },
	})
}

func module(settings *Settings) fx.Option {
	return fx.Options(
		kernel.ProvideRing[port.AuditEntry]("audit.entries", ringCapacity, kernel.WaitUntilDeadline),
		kernel.ProvideDuty(func(in dependencies) kernel.Duty { return newDuty(in, settings) }),
		fx.Provide(func(table port.Table) port.AuditReader { return reader{table: table} }),
	)
}
