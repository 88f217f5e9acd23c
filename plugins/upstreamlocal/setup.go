// Package upstreamlocal is the plug-in upstream.local: the upstream beside the
// node announces itself here on a loopback listener.
package upstreamlocal

import (
	"context"
	"net/netip"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/fx"

	"teaselring/kernel"
	"teaselring/port"
)

// Settings of the plug-in.
type Settings struct {
	Listen    netip.AddrPort  `toml:"listen" comment:"loopback IP:port on which the upstream announces itself; port 0: chosen by the system"`
	GoneAfter kernel.Duration `toml:"gone_after" comment:"time without an announcement after which the upstream is gone"`
}

func defaults() *Settings {
	return &Settings{
		Listen:    netip.MustParseAddrPort("127.0.0.1:7403"),
		GoneAfter: kernel.Span(3 * time.Second),
	}
}

// Validate checks the address and the range.
func (s *Settings) Validate() error {
	if !s.Listen.Addr().IsLoopback() {
		return &kernel.FieldError{Key: "listen", Value: s.Listen, Allowed: "a loopback IP:port such as 127.0.0.1:7403"}
	}
	return kernel.SpanInRange("gone_after", s.GoneAfter, 100*time.Millisecond, time.Minute)
}

func init() {
	kernel.Register(kernel.Plugin{
		Name:     "upstream.local",
		Doc:      "Tracks the state of the upstream beside the node.",
		Settings: func() kernel.Validator { return defaults() },
		Module:   module,
	})
}

func module(v kernel.Validator) fx.Option {
	return fx.Module("upstream.local",
		fx.Provide(
			func() *Settings { return v.(*Settings) },
			func() *port.LocalCell { return &port.LocalCell{} },
			func() *port.AnnounceAddressCell { return &port.AnnounceAddressCell{} },
			newListener,
		),
		kernel.ProvideRing[announcement]("announce.requests", 16, kernel.Refuse),
		kernel.ProvideRing[kernel.Request[port.Drain, struct{}]]("announce.drain", 4, kernel.Refuse),
		kernel.ProvideBeforeStop(drainBeforeStop),
		kernel.ProvideDuty(func(in trackerIn) kernel.Duty { return newTracker(in).duty() }),
		kernel.ProvideDuty((*listener).duty),
		fx.Invoke(func(lc fx.Lifecycle, l *listener) { lc.Append(fx.StartHook(l.open)) }),
	)
}

// drainTimeout bounds the drain of the upstream before the node stops.
const drainTimeout = time.Second

// drainBeforeStop drains the upstream when the node stops, so that calls of entry
// nodes with a stale view are refused after the grace period. Without an upstream it
// returns NoEndpoint, which does not prevent the stop.
func drainBeforeStop(ring *port.DrainRing) kernel.BeforeStop {
	return func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, drainTimeout)
		defer cancel()
		_, err := kernel.Do(ctx, ring, port.Drain{By: "stop of the node"})
		return err
	}
}

// trackerIn holds the dependencies of the announce duty.
type trackerIn struct {
	fx.In
	Settings *Settings
	Cell     *port.LocalCell
	Out      *port.LocalRing
	Requests *kernel.Ring[announcement]
	Drain    *port.DrainRing
	Logger   *log.Logger
	Metrics  metrics.Registry
}
