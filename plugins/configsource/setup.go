// Package configsource is the plug-in config.source: it reads the head of the
// configuration from the platform and publishes new versions there.
package configsource

import (
	"time"

	"go.uber.org/fx"

	"teaselring/decision/config"
	"teaselring/kernel"
)

// Capacities of the rings to the publisher. Operators make 1,000 changes per
// day at design scale; the rings cover a burst from a script.
const (
	requestsCapacity = 16
	historyCapacity  = 16
)

// Settings of the plug-in config.source.
type Settings struct {
	Interval        kernel.Duration `toml:"interval" comment:"time between two reads of the head by a reader, 100ms to 10s"`
	FirstReadWithin kernel.Duration `toml:"first_read_within" comment:"spread of the first read after a start without news from a peer, 0s to 1m; with 6s, 1,200 nodes that start at once stay under 200 reads per second"`
	Unconfirmed     kernel.Duration `toml:"unconfirmed" comment:"how long a node that is not a reader goes without a confirmation of the head before it reads it itself, 1s to 5m"`
	FallbackWithin  kernel.Duration `toml:"fallback_within" comment:"spread of such reads, 1s to 5m"`
	FallbackMax     kernel.Duration `toml:"fallback_max" comment:"upper limit of the spread, which doubles with each failed read, 1s to 1h"`
	ReadTimeout     kernel.Duration `toml:"read_timeout" comment:"upper limit of one read of the head and its object, 100ms to 30s"`
	PublishTimeout  kernel.Duration `toml:"publish_timeout" comment:"upper limit of one publication with all its retries, 1s to 2m"`
}

func defaults() *Settings {
	return &Settings{
		Interval:        kernel.Span(500 * time.Millisecond),
		FirstReadWithin: kernel.Span(6 * time.Second),
		Unconfirmed:     kernel.Span(config.DefaultBackoff.Unconfirmed),
		FallbackWithin:  kernel.Span(config.DefaultBackoff.Window),
		FallbackMax:     kernel.Span(config.DefaultBackoff.MaxWindow),
		ReadTimeout:     kernel.Span(2 * time.Second),
		PublishTimeout:  kernel.Span(10 * time.Second),
	}
}

// Validate checks the ranges.
func (s *Settings) Validate() error {
	for _, r := range []struct {
		key       string
		value     kernel.Duration
		low, high time.Duration
	}{
		{"interval", s.Interval, 100 * time.Millisecond, 10 * time.Second},
		{"first_read_within", s.FirstReadWithin, 0, time.Minute},
		{"unconfirmed", s.Unconfirmed, time.Second, 5 * time.Minute},
		{"fallback_within", s.FallbackWithin, time.Second, 5 * time.Minute},
		{"fallback_max", s.FallbackMax, s.FallbackWithin.Duration, time.Hour},
		{"read_timeout", s.ReadTimeout, 100 * time.Millisecond, 30 * time.Second},
		{"publish_timeout", s.PublishTimeout, time.Second, 2 * time.Minute},
	} {
		if err := kernel.SpanInRange(r.key, r.value, r.low, r.high); err != nil {
			return err
		}
	}
	return nil
}

func (s *Settings) backoff() config.Backoff {
	return config.Backoff{
		Unconfirmed: s.Unconfirmed.Duration,
		Window:      s.FallbackWithin.Duration,
		MaxWindow:   s.FallbackMax.Duration,
	}
}

func init() {
	kernel.Register(kernel.Plugin{
		Name:     "config.source",
		Doc:      "Reads the head of the configuration from the platform and publishes new versions.",
		Settings: func() kernel.Validator { return defaults() },
		Module:   func(settings kernel.Validator) fx.Option { return module(settings.(*Settings)) },
	})
}

func module(settings *Settings) fx.Option {
	return fx.Options(
		kernel.ProvideRing[publishRequest]("publisher.requests", requestsCapacity, kernel.WaitUntilDeadline),
		kernel.ProvideRing[historyRequest]("publisher.history", historyCapacity, kernel.WaitUntilDeadline),
		kernel.ProvideDuty(func(in readerDependencies) kernel.Duty { return newReaderDuty(in, settings) }),
		kernel.ProvideDuty(func(in publisherDependencies) kernel.Duty { return newPublisherDuty(in, settings) }),
	)
}
