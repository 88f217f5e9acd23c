// Package crashspread is the plug-in "crash.spread": it tells every node of the
// view which requests were running when a server crashed, so that a request that
// crashes servers is stopped on all of them. Crashes are rare; each is told
// directly.
package crashspread

import (
	"context"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/phuslu/log"
	"go.uber.org/fx"

	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/wire"
)

const (
	pushRing  = "links.push"
	crashPath = "/crash"
	// tellTimeout bounds the telling of one node.
	tellTimeout = 500 * time.Millisecond
	// parallel is the number of nodes told at a time.
	parallel = 8
	// maxReport is in bytes, far above a report of a server's slots.
	maxReport = 64 << 10
)

func init() {
	kernel.Register(kernel.Plugin{
		Name: "crash.spread",
		Doc:  "Tells all nodes which requests were running when a server crashed.",
		Module: func(kernel.Validator) fx.Option {
			return fx.Options(
				kernel.ProvideRing[port.Push](pushRing, 64, kernel.ReplaceOldest),
				kernel.ProvideDuty(newDuty),
				port.ProvideInboundRoute(newInbound),
			)
		},
	})
}

type dutyIn struct {
	fx.In
	Identity mesh.Identity
	Pushes   *port.PushRing
	View     *port.ViewCell
	Logger   *log.Logger
}

type duty struct {
	dutyIn
	client *http.Client
}

func newDuty(in dutyIn) kernel.Duty {
	d := &duty{dutyIn: in, client: &http.Client{Timeout: tellTimeout}}
	return kernel.Duty{Name: "crash-spread", Owns: "nothing", In: []string{pushRing}, Run: d.run}
}

func (d *duty) run(ctx context.Context) error {
	return d.Pushes.Each(ctx, func(push port.Push) {
		// Reports of other nodes were told to all by their first sender.
		if q, ok := push.Message.(wire.Quarantine); ok && q.Crash.Node == d.Identity.Node {
			d.tellAll(ctx, &q.Crash)
		}
	})
}

// tellAll tells the nodes of the view, a few at a time.
func (d *duty) tellAll(ctx context.Context, c *mesh.Crash) {
	body, err := cbor.Marshal(c)
	view := d.View.Load()
	if err != nil || view == nil {
		d.Logger.Error().Err(err).Msg("crash not told")
		return
	}
	places := make(chan struct{}, parallel)
	for i := range view.Members {
		m := &view.Members[i]
		if m.Node == d.Identity.Node {
			continue
		}
		places <- struct{}{}
		go func() {
			defer func() { <-places }()
			if _, err := port.PostToPeer(ctx, d.client, m.PeerAddress, crashPath, body); err != nil {
				d.Logger.Warn().Str("node", string(m.Node)).Err(err).Msg("crash not told to a node")
			}
		}()
	}
}

// newInbound takes the reports of other nodes.
func newInbound(inbox *port.CrashInbox) port.InboundRoute {
	return port.InboundRoute{Path: crashPath, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := port.DecodePeerMessage[mesh.Crash](w, r, maxReport)
		if !ok {
			return
		}
		if err := inbox.Send(r.Context(), c); err != nil {
			port.Refuse(w, err)
		}
	})}
}
