package upstreamlocal

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"teaselring/kernel"
	"teaselring/port"
)

// listener is the loopback listener and the duty that serves it. The duty stops with
// all other duties, after the calls in flight have ended: until then the upstream
// must be able to announce itself, or it would count as gone.
type listener struct {
	settings *Settings
	address  *port.AnnounceAddressCell
	handler  http.Handler
	opened   chan net.Listener // filled once, before or after the duty starts
}

func newListener(s *Settings, requests *kernel.Ring[announcement], address *port.AnnounceAddressCell) *listener {
	return &listener{settings: s, address: address, handler: newHandler(requests), opened: make(chan net.Listener, 1)}
}

func (l *listener) duty() kernel.Duty {
	return kernel.Duty{
		Name: "announce-listener",
		Owns: "the listener for announcements",
		Out:  []string{"announce.requests"},
		Run:  l.run,
	}
}

// open binds the address when the application starts, so that the start fails if the
// port is in use.
func (l *listener) open(ctx context.Context) error {
	bound, err := (&net.ListenConfig{}).Listen(ctx, "tcp", l.settings.Listen.String())
	if err != nil {
		return err
	}
	l.address.Store(&port.AnnounceAddress{AddrPort: bound.Addr().(*net.TCPAddr).AddrPort()})
	l.opened <- bound
	return nil
}

func (l *listener) run(ctx context.Context) error {
	var bound net.Listener
	select {
	case <-ctx.Done():
		return nil
	case bound = <-l.opened:
	}
	server := &http.Server{
		Handler:           l.handler,
		ReadHeaderTimeout: time.Second,
		ReadTimeout:       2 * time.Second,
		WriteTimeout:      2 * time.Second,
		IdleTimeout:       30 * time.Second,
		MaxHeaderBytes:    64 << 10,
	}
	defer context.AfterFunc(ctx, func() { _ = server.Close() })()
	if err := server.Serve(bound); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
