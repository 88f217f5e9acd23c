// Package edgepeers is the plug-in "edge.peers": the HTTPS listener for other
// nodes and the client that calls them. Both ends of a connection authenticate
// with certificates that each node issues for itself from a shared key.
package edgepeers

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/phuslu/log"
	"go.uber.org/fx"

	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/result"
)

// Settings are the table [edge.peers] of a settings file.
type Settings struct {
	Address        netip.AddrPort  `toml:"address" comment:"IP:port on which other nodes reach this one"`
	Advertise      netip.AddrPort  `toml:"advertise" comment:"IP:port that other nodes are told, where it differs from the bound one; default: the bound one"`
	Key            string          `toml:"key" comment:"key shared by all nodes, at least 16 characters"`
	MaxConnections int             `toml:"max_connections" comment:"connections of other nodes at a time, 1 to 100000"`
	PingAfter      kernel.Duration `toml:"ping_after" comment:"silence of an HTTP/2 connection before a ping is sent, 100ms to 10s"`
	PingTimeout    kernel.Duration `toml:"ping_timeout" comment:"time for a ping's answer before the connection is closed, 100ms to 10s"`
}

// minKeyLength excludes keys short enough for a brute-force search.
const minKeyLength = 16

// Validate checks the address, the key and the ranges.
func (s *Settings) Validate() error {
	if !s.Address.IsValid() {
		return &kernel.FieldError{Key: "address", Value: s.Address, Allowed: "an IP address and a port such as 10.0.0.1:8443"}
	}
	// Other nodes can't dial an unspecified address or port 0.
	if a := s.Advertise; a != (netip.AddrPort{}) && (a.Addr().IsUnspecified() || a.Port() == 0) {
		return &kernel.FieldError{Key: "advertise", Value: a, Allowed: "an IP address and a port such as 10.0.0.1:8443"}
	}
	if len(s.Key) < minKeyLength {
		return &kernel.FieldError{Key: "key", Value: "(hidden)", Allowed: "at least 16 characters"}
	}
	if err := kernel.InRange("max_connections", s.MaxConnections, 1, 100_000); err != nil {
		return err
	}
	if err := kernel.SpanInRange("ping_after", s.PingAfter, 100*time.Millisecond, 10*time.Second); err != nil {
		return err
	}
	return kernel.SpanInRange("ping_timeout", s.PingTimeout, 100*time.Millisecond, 10*time.Second)
}

func init() {
	kernel.Register(kernel.Plugin{
		Name: "edge.peers",
		Doc:  "Accepts other nodes' requests and links over HTTPS and calls other nodes.",
		Settings: func() kernel.Validator {
			return &Settings{
				Address:        netip.MustParseAddrPort("127.0.0.1:8443"),
				MaxConnections: 4096,
				// With PingTimeout, a silent connection is closed within 2 s; the target is 3 s.
				PingAfter:   kernel.Span(time.Second),
				PingTimeout: kernel.Span(time.Second),
			}
		},
		Module: module,
	})
}

func module(v kernel.Validator) fx.Option {
	s := v.(*Settings)
	return fx.Options(
		fx.Provide(func() *port.PeerAddressCell { return new(port.PeerAddressCell) }),
		fx.Provide(func(id mesh.Identity) (port.PeerTLS, error) { return newPeerTLS(s.Key, id.Node, time.Now()) }),
		fx.Provide(func(tls port.PeerTLS) port.PeerClient { return newClient(s, tls) }),
		fx.Invoke(func(lc fx.Lifecycle, in listenerIn) { newListener(s, in).StartWith(lc, in.Logger, in.Grace) }),
	)
}

type listenerIn struct {
	fx.In
	Grace   *kernel.Grace
	Logger  *log.Logger
	TLS     port.PeerTLS
	Address *port.PeerAddressCell
	Routes  []port.PeerRoute `group:"peer_routes"`
}

func newListener(s *Settings, in listenerIn) port.Listener {
	mux := http.NewServeMux()
	for _, route := range in.Routes {
		pattern := route.Path
		if route.Method != "" {
			pattern = route.Method + " " + route.Path
		}
		mux.Handle(pattern, route.Handler)
	}
	server := &http.Server{
		Handler:           requirePeerCertificate(mux),
		TLSConfig:         in.TLS.Server,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: 10 * time.Second,
		HTTP2:             http2Config(s),
	}
	return port.Listener{
		Edge: "peers", Address: s.Address, MaxConnections: s.MaxConnections, Server: server,
		Serve:   serveTLS(server),
		Started: func(bound netip.AddrPort) { in.Address.Store(s.advertisedAddress(bound)) },
	}
}

// advertisedAddress returns the address at which other nodes reach the listener.
func (s *Settings) advertisedAddress(bound netip.AddrPort) *netip.AddrPort {
	if s.Advertise.IsValid() {
		return &s.Advertise
	}
	return &bound
}

// requirePeerCertificate refuses a request whose connection has no peer certificate.
// An invalid certificate already fails the TLS handshake.
func requirePeerCertificate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.TLS == nil || len(r.TLS.VerifiedChains) == 0 {
			port.Refuse(w, result.Unauthenticated.Errorf("the connection has no peer certificate"))
			return
		}
		next.ServeHTTP(w, r)
	})
}
