package port

import (
	"context"
	"net"
	"net/http"
	"net/netip"

	"github.com/phuslu/log"
	"go.uber.org/fx"
	"golang.org/x/net/netutil"
)

// Listener describes one HTTP listener of a node.
type Listener struct {
	Edge           string // name in log lines
	Address        netip.AddrPort
	MaxConnections int
	Server         *http.Server
	// Serve runs the server on the listener until it is shut down.
	Serve func(net.Listener) error
	// Started is called with the bound address; nil for none.
	Started func(netip.AddrPort)
	// Stop ends the server; nil for a graceful Shutdown that waits for calls.
	Stop func(context.Context) error
}

// StartWith binds the listener when the application starts and stops it
// gracefully with the application.
func (l Listener) StartWith(lc fx.Lifecycle, logger *log.Logger) {
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error { return l.start(logger) },
		OnStop:  l.stop,
	})
}

func (l Listener) start(logger *log.Logger) error {
	socket, err := net.Listen("tcp", l.Address.String())
	if err != nil {
		return err
	}
	address := socket.Addr().(*net.TCPAddr).AddrPort()
	if l.Started != nil {
		l.Started(address)
	}
	logger.Info().Str("edge", l.Edge).Str("address", address.String()).Msg("listening")
	go func() {
		err := l.Serve(netutil.LimitListener(socket, l.MaxConnections))
		if err != nil && err != http.ErrServerClosed {
			logger.Error().Str("edge", l.Edge).Err(err).Msg("listener failed")
		}
	}()
	return nil
}

func (l Listener) stop(ctx context.Context) error {
	if l.Stop != nil {
		return l.Stop(ctx)
	}
	if err := l.Server.Shutdown(ctx); err != nil {
		return l.Server.Close()
	}
	return nil
}
