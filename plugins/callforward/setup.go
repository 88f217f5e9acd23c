// Package callforward is the plug-in "call.forward": the path of a call from
// the entry node to the owner node and on to the upstream. It executes the decisions
// of the router, slots and claims duties and copies the bodies.
package callforward

import (
	"net/http"
	"time"

	"github.com/phuslu/log"
	"go.uber.org/fx"

	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
)

// Settings are the table [call.forward] of a settings file.
type Settings struct {
	SettleTimeout       kernel.Duration `toml:"settle_timeout" comment:"time to ask an owner node whether a lost attempt began, 100ms to 10s"`
	UpstreamConnections int             `toml:"upstream_connections" comment:"connections to the upstream beside the node, 1 to 4096"`
}

// Validate checks the ranges.
func (s *Settings) Validate() error {
	if err := kernel.SpanInRange("settle_timeout", s.SettleTimeout, 100*time.Millisecond, 10*time.Second); err != nil {
		return err
	}
	return kernel.InRange("upstream_connections", s.UpstreamConnections, 1, 4096)
}

func init() {
	kernel.Register(kernel.Plugin{
		Name: "call.forward",
		Doc:  "Carries calls from callers to owner nodes and from owner nodes to upstreams.",
		Settings: func() kernel.Validator {
			return &Settings{
				SettleTimeout: kernel.Span(time.Second),
				// Both deployments allow at least 110 connections per server; the
				// others are left for the server's own use.
				UpstreamConnections: 64,
			}
		},
		Module: func(v kernel.Validator) fx.Option {
			s := v.(*Settings)
			return fx.Options(
				fx.Provide(func(in ownerIn) *owner { return newOwner(s, in) }),
				fx.Provide(func(in entryIn) port.CallEntry { return port.CallEntry{Handler: newEntry(s, in)} }),
				port.ProvidePeerRoutes(func(o *owner) []port.PeerRoute {
					return []port.PeerRoute{
						{Path: callPrefix + "/", Handler: o},
						{Method: http.MethodPost, Path: settlePath, Handler: http.HandlerFunc(o.settle)},
					}
				}),
			)
		},
	})
}

type ownerIn struct {
	fx.In
	Identity    mesh.Identity
	Logger      *log.Logger
	Admit       *port.AdmitRing
	Release     *port.ReleaseRing
	Settle      *port.SettleRing
	Load        *port.LoadCell       `optional:"true"`
	Claims      *port.ClaimRing      `optional:"true"`
	Settlements *port.SettlementRing `optional:"true"`
}

type entryIn struct {
	fx.In
	Identity mesh.Identity
	Logger   *log.Logger
	Snapshot *port.SnapshotCell
	Picks    *port.PickRing
	Outcomes *port.OutcomeRing
	Retries  *port.RetryRing
	Peers    port.PeerClient
	Owner    *owner
}
