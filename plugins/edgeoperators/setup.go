// Package edgeoperators is the plug-in "edge.operators": the HTTP listener for
// operators, with /healthz, /readyz, /metrics and the routes of other plug-ins.
package edgeoperators

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/fx"

	"teaselring/kernel"
	"teaselring/port"
)

// Settings are the table [edge.operators] of a settings file.
type Settings struct {
	Address        netip.AddrPort `toml:"address" comment:"IP:port on which operators reach the node"`
	ReadToken      string         `toml:"read_token" comment:"token of the role read, at least 16 characters; empty: the role can't be used"`
	ChangeToken    string         `toml:"change_token" comment:"token of the role change, at least 16 characters; empty: the role can't be used"`
	MaxConnections int            `toml:"max_connections" comment:"connections of operators at a time, 1 to 10000"`
	MaxBodyBytes   int64          `toml:"max_body_bytes" comment:"size of a request's body, 1024 to 16777216"`
}

const minTokenLength = 16

// Validate checks the address, tokens and ranges.
func (s *Settings) Validate() error {
	if !s.Address.IsValid() {
		return &kernel.FieldError{Key: "address", Value: s.Address, Allowed: "an IP address and a port such as 10.0.0.1:9090"}
	}
	for key, token := range map[string]string{"read_token": s.ReadToken, "change_token": s.ChangeToken} {
		if token != "" && len(token) < minTokenLength {
			return &kernel.FieldError{Key: key, Value: "(hidden)", Allowed: "empty or at least 16 characters"}
		}
	}
	if err := kernel.InRange("max_connections", s.MaxConnections, 1, 10_000); err != nil {
		return err
	}
	return kernel.InRange("max_body_bytes", s.MaxBodyBytes, 1<<10, 16<<20)
}

func init() {
	kernel.Register(kernel.Plugin{
		Name: "edge.operators",
		Doc:  "Serves the operators' API, health and metrics over HTTP.",
		Settings: func() kernel.Validator {
			return &Settings{
				Address:        netip.MustParseAddrPort("127.0.0.1:9090"),
				MaxConnections: 256,
				MaxBodyBytes:   4 << 20,
			}
		},
		Module: func(v kernel.Validator) fx.Option {
			return fx.Invoke(func(lc fx.Lifecycle, in listenerIn) {
				newListener(v.(*Settings), in).StartWith(lc, in.Logger, in.Grace)
			})
		},
	})
}

type listenerIn struct {
	fx.In
	Grace   *kernel.Grace
	Logger  *log.Logger
	Metrics metrics.Registry
	Routes  []port.OperatorRoute `group:"operator_routes"`
	Checks  []port.ReadyCheck    `group:"ready_checks"`
	// Inventory makes the kernel register the rings' metrics.
	Inventory *kernel.Inventory
}

func newListener(s *Settings, in listenerIn) port.Listener {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.Use(limitBody(s.MaxBodyBytes))
	h := &handlers{settings: s, listenerIn: in}
	engine.GET("/healthz", func(c *gin.Context) { c.JSON(http.StatusOK, gin.H{"status": "ok"}) })
	engine.GET("/readyz", h.readiness)
	engine.GET("/metrics", h.metrics)
	engine.PUT("/v1/log-level", h.require(port.RoleChange), h.setLogLevel)
	engine.NoRoute(h.unknownRoute)
	for _, route := range in.Routes {
		engine.Handle(route.Method, route.Path, h.require(route.Role), route.Handle)
	}
	server := &http.Server{Handler: engine, MaxHeaderBytes: 16 << 10, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: time.Minute}
	return port.Listener{
		Edge: "operators", Address: s.Address, MaxConnections: s.MaxConnections,
		Server: server, Serve: server.Serve,
	}
}
