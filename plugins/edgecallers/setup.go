// Package edgecallers is the plug-in "edge.callers": the HTTP listener for
// callers. It hands every request to the call path and decides nothing.
package edgecallers

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/phuslu/log"
	"go.uber.org/fx"

	"teaselring/kernel"
	"teaselring/port"
	"teaselring/result"
)

// Settings are the table [edge.callers] of a settings file.
type Settings struct {
	Address        netip.AddrPort  `toml:"address" comment:"IP:port on which callers reach the node"`
	MaxConnections int             `toml:"max_connections" comment:"connections of callers at a time, 1 to 100000"`
	MaxHeaderBytes int             `toml:"max_header_bytes" comment:"size of a request's headers, 1024 to 1048576"`
	MaxBodyBytes   int64           `toml:"max_body_bytes" comment:"size of a request's body, 1024 to 1099511627776"`
	HeaderTimeout  kernel.Duration `toml:"header_timeout" comment:"time for a request's headers to arrive, 100ms to 1m"`
	IdleTimeout    kernel.Duration `toml:"idle_timeout" comment:"time that an idle connection is kept, 1s to 1h"`
}

// Validate checks the ranges.
func (s *Settings) Validate() error {
	if !s.Address.IsValid() {
		return &kernel.FieldError{Key: "address", Value: s.Address, Allowed: "an IP address and a port such as 10.0.0.1:8080"}
	}
	if err := kernel.InRange("max_connections", s.MaxConnections, 1, 100_000); err != nil {
		return err
	}
	if err := kernel.InRange("max_header_bytes", s.MaxHeaderBytes, 1<<10, 1<<20); err != nil {
		return err
	}
	if err := kernel.InRange("max_body_bytes", s.MaxBodyBytes, 1<<10, 1<<40); err != nil {
		return err
	}
	if err := kernel.SpanInRange("header_timeout", s.HeaderTimeout, 100*time.Millisecond, time.Minute); err != nil {
		return err
	}
	return kernel.SpanInRange("idle_timeout", s.IdleTimeout, time.Second, time.Hour)
}

func init() {
	kernel.Register(kernel.Plugin{
		Name: "edge.callers",
		Doc:  "Accepts callers' requests over HTTP.",
		Settings: func() kernel.Validator {
			return &Settings{
				Address:        netip.MustParseAddrPort("127.0.0.1:8080"),
				MaxConnections: 4096,
				MaxHeaderBytes: 64 << 10,
				MaxBodyBytes:   16 << 30,
				HeaderTimeout:  kernel.Span(10 * time.Second),
				IdleTimeout:    kernel.Span(90 * time.Second),
			}
		},
		Module: func(v kernel.Validator) fx.Option {
			return fx.Invoke(func(lc fx.Lifecycle, logger *log.Logger, grace *kernel.Grace, entry port.CallEntry) {
				newListener(v.(*Settings), entry).StartWith(lc, logger, grace)
			})
		},
	})
}

func newListener(s *Settings, entry port.CallEntry) port.Listener {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	// gin presets status 404 here; the call path always sets the status itself.
	engine.NoRoute(gin.WrapH(limitBody(entry.Handler, s.MaxBodyBytes)))
	server := &http.Server{
		Handler:           engine,
		MaxHeaderBytes:    s.MaxHeaderBytes,
		ReadHeaderTimeout: s.HeaderTimeout.Duration,
		IdleTimeout:       s.IdleTimeout.Duration,
	}
	return port.Listener{
		Edge: "callers", Address: s.Address, MaxConnections: s.MaxConnections,
		Server: server, Serve: server.Serve,
	}
}

// limitBody refuses a request whose declared length exceeds the limit before any
// byte of the body is forwarded. A body without a declared length fails once it
// exceeds the limit.
func limitBody(next http.Handler, limit int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength > limit {
			port.Refuse(w, result.BodyTooLarge.Errorf("the body has %d bytes; allowed are %d", r.ContentLength, limit))
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, limit)
		next.ServeHTTP(w, r)
	})
}
