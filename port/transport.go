package port

import (
	"context"
	"net"
	"net/http"
)

// NewTransport completes the transport of a client of other processes: its connections are
// of type OutgoingConn, and heads of responses are bounded.
func NewTransport(t *http.Transport) *http.Transport {
	dial := t.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewOutgoingConn(conn), nil
	}
	t.MaxResponseHeaderBytes = MaxHeadBytes
	return t
}
