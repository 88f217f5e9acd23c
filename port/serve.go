package port

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/phuslu/log"
	"go.uber.org/fx"
	"golang.org/x/net/netutil"

	"teaselring/kernel"
	"teaselring/result"
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
}

// ErrStopping is the cause with which the contexts of requests end when the
// grace of a stopping node is over.
var ErrStopping = result.ShuttingDown.Err()

// tellTimeout is the time in which requests that are cut short can still be
// answered with the reason.
const tellTimeout = 2 * time.Second

// StartWith binds the listener when the application starts. When the
// application begins to stop, all listeners are closed at once and requests in
// progress are waited for. At the end of the grace their contexts end with
// ErrStopping, so that each can be answered.
func (l Listener) StartWith(lc fx.Lifecycle, logger *log.Logger, grace *kernel.Grace) {
	base, cut := context.WithCancelCause(context.Background())
	l.Server.BaseContext = func(net.Listener) context.Context { return base }
	stopped := make(chan error, 1)
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			context.AfterFunc(grace.Begun(), func() { stopped <- l.stop(grace, cut) })
			return l.start(logger)
		},
		OnStop: func(ctx context.Context) error {
			select {
			case err := <-stopped:
				return err
			case <-ctx.Done():
				return l.Server.Close()
			}
		},
	})
}

func (l Listener) stop(grace *kernel.Grace, cut context.CancelCauseFunc) error {
	if l.Server.Shutdown(grace.Over()) == nil {
		return nil
	}
	cut(ErrStopping)
	tell, cancel := context.WithTimeout(context.Background(), tellTimeout)
	defer cancel()
	if l.Server.Shutdown(tell) == nil {
		return nil
	}
	return l.Server.Close()
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
