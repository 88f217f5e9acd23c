// Package callrelay is the plug-in "call.relay": the path of a call from its
// entry node to the owner node and on to the server. It carries out what the
// router and slots duties decide and owns which bytes were sent where.
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

// relayIn is what both ends of the path use.
type relayIn struct {
	fx.In
	Identity mesh.Identity
	Site     *port.Site
	Headers  port.CallHeaders
	Snapshot *port.SnapshotCell
	Rows     *port.RowsCell
	Seen     *port.SeenText
	Hints    *port.RowsHintRing
	View     *port.ViewCell
	Picks    *port.PickRing
	Outcomes *port.OutcomeRing
	Retries  *port.RetryRing
	Admit    *port.AdmitRing
	Release  *port.ReleaseRing
	Load     *port.LoadCell
	Grace    *kernel.Grace
	Logger   *log.Logger
	Metrics  metrics.Registry
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

// hint passes on that the sender of a call knows newer rows. It names its own
// inbound edge: a node that starts while the store is down knows no other node.
func (in *relayIn) hint(h http.Header) {
	if peer, err := netip.ParseAddrPort(h.Get(wire.HeaderEntry)); err == nil {
		in.hintFrom(h, peer.String())
	}
}

// seen returns the newest revisions that this node knows, as calls tell them.
func (in *relayIn) seen() string { return in.Seen.Of(in.Rows.Load()) }

func (in *relayIn) hintFrom(h http.Header, peer string) {
	text := h.Get(port.SeenHeader)
	h.Del(port.SeenHeader)
	if text == "" || text == in.seen() {
		return
	}
	if seen := port.ParseSeen(text); in.Rows.Load().Seen().Behind(seen) {
		_ = in.Hints.Send(context.Background(), port.RowsHint{Peer: peer, Seen: seen}) // replaces the oldest, never fails
	}
}

// copyRest passes on what is left of a long answer.
func copyRest(w http.ResponseWriter, a *port.Answer) error {
	_, err := io.Copy(w, a.Rest)
	return err
}
