// Package edgeinbound is the plug-in "edge.inbound": the HTTP listener for other
// nodes. It decides nothing.
package edgeinbound

import (
	"net"
	"net/http"
	"time"

	"github.com/phuslu/log"
	"go.uber.org/fx"

	"teaselring/decision/budget"
	"teaselring/kernel"
	"teaselring/port"
	"teaselring/wire"
)

const (
	// headerTimeout is the time for a request's headers to arrive.
	headerTimeout = 5 * time.Second
	// idleTimeout exceeds the time for which nodes keep an idle connection.
	idleTimeout = 30 * time.Second
	// maxHeaderBytes is far above the limit on clients' heads and the headers that nodes
	// add to them.
	maxHeaderBytes = 256 << 10
)

type edge struct {
	fx.In
	PlatformSettings *port.PlatformSettings
	Routes           []port.InboundRoute `group:"inbound_routes"`
	Budget           *port.Budget
	Guard            *kernel.Guard
	Logger           *log.Logger
}

func init() {
	kernel.Register(kernel.Plugin{
		Name: "edge.inbound",
		Doc:  "Accepts calls and control requests of other nodes.",
		Module: func(kernel.Validator) fx.Option {
			return fx.Invoke(func(lc fx.Lifecycle, in edge) {
				lc.Append(fx.StartHook(in.start))
			})
		},
	})
}

// ServeHTTP routes a request that carries an attempt to the call path, whatever
// its URL path, and other requests by URL path.
func (e *edge) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	isCall := r.Header.Get(wire.HeaderAttempt) != ""
	for _, route := range e.Routes {
		if (isCall && route.Path == "") || (!isCall && route.Path == r.URL.Path) {
			route.Handler.ServeHTTP(w, r)
			return
		}
	}
	http.NotFound(w, r)
}

// start listens and serves. The server is never closed, since other nodes' calls
// may be in progress until the process exits.
func (e *edge) start() error {
	socket, err := net.Listen("tcp", e.PlatformSettings.Inbound.String())
	if err != nil {
		return err
	}
	e.Logger.Info().Str("edge", "inbound").Str("address", e.PlatformSettings.Inbound.String()).Msg("listening")
	server := &http.Server{
		Handler: e.Guard.Handler(e), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	door := e.Budget.Door(budget.Inbound)
	door.Bind(server)
	go func() {
		if err := door.Serve(server, socket); err != nil && err != http.ErrServerClosed {
			e.Logger.Error().Str("edge", "inbound").Err(err).Msg("listener failed")
		}
	}()
	return nil
}
