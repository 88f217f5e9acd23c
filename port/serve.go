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

// ErrStopping is the cancellation cause of requests that are still in progress when
// the grace period of a stopping node ends.
var ErrStopping = result.ShuttingDown.Err()

// errorReplyTimeout is the time in which aborted requests can still be answered with
// the reason.
const errorReplyTimeout = 2 * time.Second

// StartWith binds the listener when the application starts. When the process stops,
// the listener closes at once and requests in progress may finish. When the grace
// period ends, the remaining ones are cancelled with ErrStopping, so that each can
// still be answered.
func (l Listener) StartWith(lc fx.Lifecycle, logger *log.Logger, grace *kernel.Grace) {
	base, cancelRequests := context.WithCancelCause(context.Background())
	l.Server.BaseContext = func(net.Listener) context.Context { return base }
	l.Server.ConnContext = ConnContext
	lc.Append(fx.StartHook(func() error { return l.start(logger) }))
	grace.OnDrain(func(workCtx context.Context) { l.stop(workCtx, cancelRequests) })
}

func (l Listener) stop(workCtx context.Context, cancelRequests context.CancelCauseFunc) {
	if l.Server.Shutdown(workCtx) == nil {
		return
	}
	cancelRequests(ErrStopping)
	replyCtx, cancel := context.WithTimeout(context.Background(), errorReplyTimeout)
	defer cancel()
	if l.Server.Shutdown(replyCtx) != nil {
		_ = l.Server.Close()
	}
}

func (l Listener) start(logger *log.Logger) error {
	listener, err := net.Listen("tcp", l.Address.String())
	if err != nil {
		return err
	}
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	if l.Started != nil {
		l.Started(address)
	}
	logger.Info().Str("edge", l.Edge).Str("address", address.String()).Msg("listening")
	go func() {
		original := &originalListener{Listener: listener}
		err := l.Serve(&limitedListener{Listener: netutil.LimitListener(original, l.MaxConnections), original: original})
		if err != nil && err != http.ErrServerClosed {
			logger.Error().Str("edge", l.Edge).Err(err).Msg("listener failed")
		}
	}()
	return nil
}
