// Package callrelay is the plug-in "call.relay": the path of a call from its
// entry node to the owner node and on to the server. It executes the decisions of
// the router and slots duties and manages the connections itself.
package callrelay

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"sync/atomic"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/fx"

	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/wire"
)

// relayIn holds the dependencies of both ends of the path.
type relayIn struct {
	fx.In
	Identity         mesh.Identity
	PlatformSettings *port.PlatformSettings
	Headers          port.CallHeaders
	Snapshot         *port.SnapshotCell
	Rows             *port.RowsCell
	Seen             *port.SeenCache
	Hints            *port.RowsHintRing
	View             *port.ViewCell
	Picks            *port.PickRing
	Outcomes         *port.OutcomeRing
	Retries          *port.RetryRing
	Admit            *port.AdmitRing
	Release          *port.ReleaseRing
	Charges          *port.AccountChargeRing
	Returns          *port.AccountReturnRing
	Load             *port.LoadCell
	Grace            *kernel.Grace
	Guard            *kernel.Guard
	Logger           *log.Logger
	Metrics          metrics.Registry
}

func init() {
	kernel.Register(kernel.Plugin{
		Name: "call.relay",
		Doc:  "Carries calls from entry nodes to owner nodes and from owner nodes to servers.",
		Module: func(kernel.Validator) fx.Option {
			return fx.Options(
				fx.Provide(
					func(in relayIn) *owner { return &owner{relayIn: &in, pool: newPool(), calls: new(atomic.Int64)} },
					func(in relayIn, o *owner) *entry { return newEntry(&in, o) },
					func(e *entry) port.CallPath { return e.serve },
					func(o *owner) port.CallsInProgress { return o.calls.Load },
				),
				port.ProvideInboundRoute(func(o *owner) port.InboundRoute { return port.InboundRoute{Handler: o} }),
			)
		},
	})
}

// hintFromEntry forwards a hint that the entry node of a call has newer rows. The
// entry node sends the address of its inbound edge, since a node that starts while the
// store is down has no addresses of other nodes.
func (in *relayIn) hintFromEntry(h http.Header) {
	if peer, err := netip.ParseAddrPort(h.Get(wire.HeaderEntry)); err == nil {
		in.hintFromPeer(h, peer.String())
	}
}

// seen returns the newest revisions of this node in the format of the header.
func (in *relayIn) seen() string { return in.Seen.Format(in.Rows.Load()) }

func (in *relayIn) hintFromPeer(h http.Header, peer string) {
	text := h.Get(port.SeenHeader)
	h.Del(port.SeenHeader)
	if text == "" || text == in.seen() {
		return
	}
	if seen := port.ParseSeen(text); in.Rows.Load().Seen().Behind(seen) {
		_ = in.Hints.Send(context.Background(), port.RowsHint{Peer: peer, Seen: seen}) // replaces the oldest, never fails
	}
}

// copyRemaining copies the rest of a long response.
func copyRemaining(w http.ResponseWriter, response *port.Response) error {
	_, err := io.Copy(w, response.Remaining)
	return err
}
