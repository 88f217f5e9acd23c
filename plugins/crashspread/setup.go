// Package crashspread is the plug-in "crash.spread": it broadcasts to every node of
// the view which requests were running when a server crashed, so that all nodes
// refuse a request that crashes servers. Crashes are rare, so each report is sent
// to every node directly. A node that starts asks a few others for the recent reports.
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
	"teaselring/result"
	"teaselring/wire"
)

const (
	pushRing  = "links.push"
	crashPath = "/crash"
	// sendTimeout bounds the sending of a report to one node.
	sendTimeout = 500 * time.Millisecond
	// maxConcurrentSends bounds the nodes that a report is sent to concurrently.
	maxConcurrentSends = 8
	// maxIdleConns bounds the connections that are kept after a report. Crashes are rare.
	maxIdleConns = 100
	// idleTimeout is shorter than that of the inbound edge.
	idleTimeout = 20 * time.Second
	// maxReportBytes is far above the size of a report of all of a server's slots.
	maxReportBytes = 64 << 10
)

func init() {
	kernel.Register(kernel.Plugin{
		Name: "crash.spread",
		Doc:  "Broadcasts to all nodes which requests were running when a server crashed.",
		Module: func(kernel.Validator) fx.Option {
			return fx.Options(
				kernel.ProvideRing[port.Push](pushRing, 64, kernel.ReplaceOldest),
				kernel.ProvideDuty(newDuty),
				port.ProvideInboundRoute(newCrashRoute),
				fx.Provide(func() *port.LearnedCrashesCell { return new(port.LearnedCrashesCell) }),
				kernel.ProvideDuty(newLearner),
				port.ProvideInboundRoute(newRecentRoute),
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
	d := &duty{dutyIn: in, client: newBroadcastClient()}
	return kernel.Duty{Name: "crash-spread", Owns: "nothing", In: []string{pushRing}, Run: d.run}
}

func newBroadcastClient() *http.Client {
	return &http.Client{Timeout: sendTimeout, Transport: port.NewTransport(&http.Transport{
		MaxIdleConns: maxIdleConns, IdleConnTimeout: idleTimeout, DisableCompression: true,
	})}
}

func (d *duty) run(ctx context.Context) error {
	return d.Pushes.Each(ctx, func(push port.Push) {
		// Other nodes' reports were already broadcast by the node of the crash.
		if report, ok := push.Message.(wire.Quarantine); ok && report.Crash.Node == d.Identity.Node {
			d.broadcast(ctx, &report.Crash)
		}
	})
}

// broadcast sends a crash report to the other nodes of the view, a few at a time.
func (d *duty) broadcast(ctx context.Context, crash *mesh.Crash) {
	body, err := cbor.Marshal(crash)
	view := d.View.Load()
	if err == nil && view == nil {
		err = result.NoEndpoint.Errorf("no other node is known yet")
	}
	if err != nil {
		d.Logger.Error().Err(err).Msg("crash report not sent")
		return
	}
	semaphore := make(chan struct{}, maxConcurrentSends)
	for i := range view.Members {
		m := &view.Members[i]
		if m.Node == d.Identity.Node {
			continue
		}
		select {
		case semaphore <- struct{}{}:
		case <-ctx.Done():
			return
		}
		go func() {
			defer func() { <-semaphore }()
			if _, err := port.PostToPeer(ctx, d.client, m.PeerAddress, crashPath, body); err != nil {
				d.Logger.Warn().Str("node", string(m.Node)).Err(err).Msg("crash report not sent to a node")
			}
		}()
	}
}

// newCrashRoute receives the reports of other nodes.
func newCrashRoute(inbox *port.CrashInbox) port.InboundRoute {
	return port.InboundRoute{Path: crashPath, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		crash, ok := port.DecodePeerMessage[mesh.Crash](w, r, maxReportBytes)
		if !ok {
			return
		}
		err := crash.Check()
		if err == nil {
			err = inbox.Send(r.Context(), crash)
		}
		if err != nil {
			port.Refuse(w, err)
		}
	})}
}
