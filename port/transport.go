package port

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"
)

// Transport is the transport of a client of other processes. Its connections are of type
// OutgoingConn, heads of responses are bounded, and malformed responses are errors.
type Transport struct{ *http.Transport }

// NewTransport returns a transport with the settings of t, which must not be used elsewhere.
func NewTransport(t *http.Transport) *Transport {
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
	return &Transport{t}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var conn net.Conn
	var interim atomic.Int64
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { conn = info.Conn },
		Got1xxResponse: func(_ int, header textproto.MIMEHeader) error {
			if interim.Add(1) > MaxInterimResponses { // net/http bounds each, not their number
				return ErrHeadTooLarge
			}
			return checkFieldNames(header)
		},
	})
	response, err := t.Transport.RoundTrip(r.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := CheckResponseHead(response); err != nil {
		_ = response.Body.Close()
		if conn != nil && response.ProtoMajor == 1 {
			_ = conn.Close() // net/http keeps the connection of a response without a body
		}
		return nil, err
	}
	return response, nil
}
