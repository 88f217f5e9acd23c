package port

import (
	"context"
	"net"
)

// ResetOnClose makes the end of the connection of a request a reset. An HTTP/1.0 caller takes
// an orderly end for that of a body without a length.
func ResetOnClose(ctx context.Context) {
	if conn, ok := ctx.Value(tcpConnKey{}).(*net.TCPConn); ok {
		_ = conn.SetLinger(0)
	}
}

type tcpConnKey struct{}

// ConnContext is the ConnContext of an http.Server whose handlers call ResetOnClose.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if accepted, ok := c.(*acceptedConn); ok {
		c = accepted.original
	}
	return context.WithValue(ctx, tcpConnKey{}, c)
}

// originalListener keeps the connection that it accepted last.
type originalListener struct {
	net.Listener
	accepted net.Conn
}

// Accept implements net.Listener.
func (l *originalListener) Accept() (conn net.Conn, err error) {
	l.accepted, err = l.Listener.Accept()
	return l.accepted, err
}

// limitedListener is a listener with a limit on its connections. Those of netutil hide the
// original ones.
type limitedListener struct {
	net.Listener // accepts from original
	original     *originalListener
}

// acceptedConn is a connection that counts toward the limit.
type acceptedConn struct {
	net.Conn
	original net.Conn
}

// Accept implements net.Listener. Only one goroutine may call it, as http.Server does.
func (l *limitedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &acceptedConn{Conn: conn, original: l.original.accepted}, nil
}
