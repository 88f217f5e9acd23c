// Package membershipview is the plug-in membership.view: the node's view of all
// nodes and the upstreams beside them.
package membershipview

import (
	"context"
	"net/netip"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/fx"

	"teaselring/decision/membership"
	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
)

// Settings of the plug-in.
type Settings struct {
	Seeds        []netip.AddrPort `toml:"seeds" comment:"peer addresses of other nodes, to dial at start"`
	JoinWait     kernel.Duration  `toml:"join_wait" comment:"time at start to hear of the node's last incarnation"`
	SuspectAfter kernel.Duration  `toml:"suspect_after" comment:"silence of a linked peer after which it is suspected"`
	DeadAfter    kernel.Duration  `toml:"dead_after" comment:"silence after which a suspected peer is dead"`
	TombstoneFor kernel.Duration  `toml:"tombstone_for" comment:"time for which dead and left members are remembered"`
	MaxMembers   int              `toml:"max_members" comment:"members known at most"`
	ScanJitter   kernel.Duration  `toml:"scan_jitter" comment:"spread of the first read of other nodes from the platform"`
	ScanLimit    int              `toml:"scan_limit" comment:"rows of other nodes read from the platform"`
}

func defaults() *Settings {
	c := membership.DefaultConfig()
	return &Settings{
		JoinWait:     kernel.Span(2 * time.Second),
		SuspectAfter: kernel.Span(c.SuspectAfter),
		DeadAfter:    kernel.Span(c.DeadAfter),
		TombstoneFor: kernel.Span(c.TombstoneFor),
		MaxMembers:   c.MaxMembers,
		ScanJitter:   kernel.Span(10 * time.Second),
		ScanLimit:    64,
	}
}

// Validate checks the ranges.
func (s *Settings) Validate() error {
	for _, err := range []error{
		kernel.SpanInRange("join_wait", s.JoinWait, 0, time.Minute),
		kernel.SpanInRange("suspect_after", s.SuspectAfter, 100*time.Millisecond, time.Minute),
		kernel.SpanInRange("dead_after", s.DeadAfter, s.SuspectAfter.Duration, 2*time.Minute),
		kernel.SpanInRange("tombstone_for", s.TombstoneFor, time.Minute, 24*time.Hour),
		kernel.InRange("max_members", s.MaxMembers, 2, 5000),
		kernel.SpanInRange("scan_jitter", s.ScanJitter, 0, 10*time.Minute),
		kernel.InRange("scan_limit", s.ScanLimit, 1, 1000),
	} {
		if err != nil {
			return err
		}
	}
	if len(s.Seeds) > 256 {
		return &kernel.FieldError{Key: "seeds", Value: len(s.Seeds), Allowed: "at most 256 addresses"}
	}
	return nil
}

func (s *Settings) config() membership.Config {
	c := membership.DefaultConfig()
	c.SuspectAfter, c.DeadAfter = s.SuspectAfter.Duration, s.DeadAfter.Duration
	c.TombstoneFor, c.MaxMembers = s.TombstoneFor.Duration, s.MaxMembers
	return c
}

func init() {
	kernel.Register(kernel.Plugin{
		Name:     "membership.view",
		Doc:      "Keeps the view of all nodes and of the upstreams beside them.",
		Settings: func() kernel.Validator { return defaults() },
		Module:   module,
	})
}

func module(v kernel.Validator) fx.Option {
	return fx.Module("membership.view",
		fx.Provide(
			func() *Settings { return v.(*Settings) },
			func() *port.ViewCell { return &port.ViewCell{} },
			func() *port.SeedsCell { return &port.SeedsCell{} },
			func(r *kernel.Ring[port.MembersMessage]) port.MembersInbox { return port.MembersInbox{Ring: r} },
		),
		kernel.ProvideRing[port.MembersMessage]("members.updates", 1024, kernel.Refuse),
		kernel.ProvideRing[port.Local]("members.local", 4, kernel.ReplaceOldest),
		kernel.ProvideRing[kernel.Request[port.Leaving, struct{}]]("members.leaving", 4, kernel.Refuse),
		kernel.ProvideBeforeStop(announceLeave),
		kernel.ProvideDuty(func(p dependencies) kernel.Duty { return newMembers(p).duty() }),
		kernel.ProvideDuty(func(p seedsDependencies) kernel.Duty { return newSeeds(p).duty() }),
	)
}

// leaveTimeout bounds the announcement of the leave before the node stops.
const leaveTimeout = time.Second

// announceLeave marks the node as left at its peers before its listeners close,
// so that they send it no new calls.
func announceLeave(ring *port.LeavingRing) kernel.BeforeStop {
	return func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
		defer cancel()
		_, err := kernel.Do(ctx, ring, port.Leaving{})
		return err
	}
}

// dependencies of the members duty.
type dependencies struct {
	fx.In
	Settings *Settings
	Identity mesh.Identity
	Address  *port.PeerAddressCell
	View     *port.ViewCell
	Seeds    *port.SeedsCell
	Snapshot *port.SnapshotCell `optional:"true"`

	Inbox   port.MembersInbox
	Local   *port.LocalRing
	Leaving *port.LeavingRing
	Push    *port.PushRing

	Logger  *log.Logger
	Metrics metrics.Registry
}

// seedsDependencies are the dependencies of the seeds duty.
type seedsDependencies struct {
	fx.In
	Settings *Settings
	Identity mesh.Identity
	View     *port.ViewCell
	Seeds    *port.SeedsCell
	Table    port.Table `optional:"true"`
	Logger   *log.Logger
}
