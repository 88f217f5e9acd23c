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
	// Interval is the time between two reads of the head by a reader.
	// 100ms to 10s, default 500ms.
	Interval kernel.Duration `toml:"interval"`
	// FirstReadWithin spreads the first read after a start. 0s to 1m, default
	// 500ms. 1,200 nodes that return at once stay under 200 reads per second
	// with 6s.
	FirstReadWithin kernel.Duration `toml:"first_read_within"`
	// Unconfirmed is how long a node that is not a reader goes without a
	// confirmation of the head before it reads it itself. 1s to 5m, default 5s.
	Unconfirmed kernel.Duration `toml:"unconfirmed"`
	// FallbackWithin spreads such reads. 1s to 5m, default 10s.
	FallbackWithin kernel.Duration `toml:"fallback_within"`
	// FallbackMax bounds the spread, which doubles with each failed read. 1s to
	// 1h, default 1m.
	FallbackMax kernel.Duration `toml:"fallback_max"`
	// ReadTimeout bounds one read of the head and its object. 100ms to 30s,
	// default 2s.
	ReadTimeout kernel.Duration `toml:"read_timeout"`
	// PublishTimeout bounds one publication with all its retries. 1s to 2m,
	// default 10s.
	PublishTimeout kernel.Duration `toml:"publish_timeout"`
}

func defaults() *Settings {
	return &Settings{
		Interval:        kernel.Span(500 * time.Millisecond),
		FirstReadWithin: kernel.Span(500 * time.Millisecond),
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
		kernel.ProvideRing[publishAsk]("publisher.requests", requestsCapacity, kernel.WaitUntilDeadline),
		kernel.ProvideRing[historyAsk]("publisher.history", historyCapacity, kernel.WaitUntilDeadline),
		kernel.ProvideDuty(func(in readerDependencies) kernel.Duty { return newReaderDuty(in, settings) }),
		kernel.ProvideDuty(func(in publisherDependencies) kernel.Duty { return newPublisherDuty(in, settings) }),
	)
}
