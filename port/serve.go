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

// StartWith binds the listener when the application starts. When the process is
// told to stop, the listener is closed at once and requests in progress are
// waited for. When they must be cut short, their contexts end with ErrStopping,
// so that each can be answered.
func (l Listener) StartWith(lc fx.Lifecycle, logger *log.Logger, grace *kernel.Grace) {
	base, cut := context.WithCancelCause(context.Background())
	l.Server.BaseContext = func(net.Listener) context.Context { return base }
	lc.Append(fx.StartHook(func() error { return l.start(logger) }))
	grace.Drain(func(over context.Context) { l.stop(over, cut) })
}

func (l Listener) stop(over context.Context, cut context.CancelCauseFunc) {
	if l.Server.Shutdown(over) == nil {
		return
	}
	cut(ErrStopping)
	tell, cancel := context.WithTimeout(context.Background(), tellTimeout)
	defer cancel()
	if l.Server.Shutdown(tell) != nil {
		_ = l.Server.Close()
	}
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
