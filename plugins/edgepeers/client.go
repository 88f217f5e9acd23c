package edgepeers

import (
	"net"
	"net/http"
	"time"

	"teaselring/port"
)

const (
	maxHeaderBytes = 64 << 10
	dialTimeout    = time.Second
	// maxStreams bounds the concurrent calls on one connection. It exceeds the
	// slots and queue of one upstream, so that a second connection to the same
	// peer is rare.
	maxStreams = 1000
)

func http2Config(s *Settings) *http.HTTP2Config {
	return &http.HTTP2Config{
		MaxConcurrentStreams: maxStreams,
		SendPingTimeout:      s.PingAfter.Duration,
		PingTimeout:          s.PingTimeout.Duration,
		WriteByteTimeout:     s.PingAfter.Duration + s.PingTimeout.Duration,
	}
}

func serveTLS(server *http.Server) func(net.Listener) error {
	return func(l net.Listener) error { return server.ServeTLS(l, "", "") }
}

// newClient returns a client with one HTTP/2 connection per peer. A connection on
// which a ping times out is closed, so that the next call opens a new one.
func newClient(s *Settings, tls port.PeerTLS) port.PeerClient {
	protocols := new(http.Protocols)
	protocols.SetHTTP2(true)
	return port.PeerClient{Client: &http.Client{Transport: port.NewTransport(&http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout, KeepAlive: -1}).DialContext,
		TLSClientConfig:     tls.Client,
		TLSHandshakeTimeout: dialTimeout,
		Protocols:           protocols,
		HTTP2:               http2Config(s),
		DisableCompression:  true,
		IdleConnTimeout:     90 * time.Second,
	})}}
}
