// Package linkoverlay is the plug-in link.overlay: it dials and accepts links
// between nodes and passes messages over them.
package linkoverlay

import (
	"fmt"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/fx"

	"teaselring/decision/overlay"
	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
)

// Settings of the plug-in.
type Settings struct {
	Heartbeat       kernel.Duration `toml:"heartbeat" comment:"time between two heartbeats on a link"`
	Silence         kernel.Duration `toml:"silence" comment:"silence after which a link is closed"`
	WriteTimeout    kernel.Duration `toml:"write_timeout" comment:"time to write one message"`
	DialTimeout     kernel.Duration `toml:"dial_timeout" comment:"time from a dial to the peer's Hello"`
	MaxAccepted     int             `toml:"max_accepted" comment:"accepted links at a time"`
	AcceptPerSecond int             `toml:"accept_per_second" comment:"links accepted per second"`
	SendRing        int             `toml:"send_ring" comment:"messages that wait on one link before it is closed as too slow"`
}

func defaults() *Settings {
	return &Settings{
		Heartbeat:       kernel.Span(500 * time.Millisecond),
		Silence:         kernel.Span(1500 * time.Millisecond),
		WriteTimeout:    kernel.Span(time.Second),
		DialTimeout:     kernel.Span(2 * time.Second),
		MaxAccepted:     overlay.MaxAccepted,
		AcceptPerSecond: overlay.AcceptPerSecond,
		SendRing:        256,
	}
}

// Validate checks the ranges.
func (s *Settings) Validate() error {
	for _, err := range []error{
		kernel.SpanInRange("heartbeat", s.Heartbeat, 50*time.Millisecond, 10*time.Second),
		kernel.SpanInRange("silence", s.Silence, 2*s.Heartbeat.Duration, time.Minute),
		kernel.SpanInRange("write_timeout", s.WriteTimeout, 10*time.Millisecond, 10*time.Second),
		kernel.SpanInRange("dial_timeout", s.DialTimeout, 10*time.Millisecond, 30*time.Second),
		kernel.InRange("max_accepted", s.MaxAccepted, 1, 64),
		kernel.InRange("accept_per_second", s.AcceptPerSecond, 1, 1000),
		kernel.InRange("send_ring", s.SendRing, 16, 4096),
	} {
		if err != nil {
			return err
		}
	}
	return nil
}

// dialers is the number of dialer duties. An address that does not respond
// occupies one of them for dial_timeout.
const dialers = 4

func init() {
	kernel.Register(kernel.Plugin{
		Name:     "link.overlay",
		Doc:      "Keeps the links to other nodes and passes messages over them.",
		Settings: func() kernel.Validator { return defaults() },
		Module:   module,
	})
}

func module(v kernel.Validator) fx.Option {
	options := []fx.Option{
		fx.Provide(func() *Settings { return v.(*Settings) }),
		kernel.ProvideRing[port.Push]("links.push", 1024, kernel.ReplaceOldest),
		kernel.ProvideRing[event]("links.events", 1024, kernel.WaitUntilDeadline),
		kernel.ProvideRing[kernel.Request[acceptRequest, struct{}]]("links.accepts", 64, kernel.Refuse),
		kernel.ProvideRing[dialRequest]("links.dials", 16, kernel.Refuse),
		fx.Provide(func() *helloCell { return &helloCell{} }, newDialer, newAcceptor),
		kernel.ProvideDuty(func(p dependencies) kernel.Duty { return newLinks(p).duty() }),
		port.ProvidePeerRoutes((*acceptor).routes),
	}
	for i := range dialers {
		name := fmt.Sprintf("link-dialer-%d", i+1)
		options = append(options, kernel.ProvideDuty(func(d *dialer) kernel.Duty { return d.duty(name) }))
	}
	return fx.Module("link.overlay", options...)
}

// dependencies of the links duty.
type dependencies struct {
	fx.In
	Settings *Settings
	Identity mesh.Identity
	Address  *port.PeerAddressCell
	View     *port.ViewCell
	Seeds    *port.SeedsCell
	Snapshot *port.SnapshotCell     `optional:"true"`
	Status   *port.ConfigStatusCell `optional:"true"`
	Hello    *helloCell

	Push    *port.PushRing
	Events  *kernel.Ring[event]
	Accepts *kernel.Ring[kernel.Request[acceptRequest, struct{}]]
	Dials   *kernel.Ring[dialRequest]

	Members port.MembersInbox
	Config  port.ConfigInbox `optional:"true"`
	Moves   *port.MovesInbox `optional:"true"`
	Crashes *port.CrashInbox `optional:"true"`

	Logger  *log.Logger
	Metrics metrics.Registry
}
