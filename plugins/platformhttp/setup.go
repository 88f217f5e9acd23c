// Package platformhttp is the plug-in platform.http: a client of the
// platform's table service and object store over HTTP with JSON.
package platformhttp

import (
	"net/netip"
	"time"

	"go.uber.org/fx"

	"teaselring/kernel"
	"teaselring/port"
)

// Settings are the settings of platform.http.
type Settings struct {
	Address netip.AddrPort  `toml:"address" comment:"IP:port of the platform, no default"`
	Timeout kernel.Duration `toml:"timeout" comment:"upper limit of each call, from connecting to the last byte of the answer"`
}

// Validate implements kernel.Validator.
func (s *Settings) Validate() error {
	if !s.Address.IsValid() || s.Address.Port() == 0 {
		return &kernel.FieldError{Key: "address", Value: s.Address, Allowed: "the IP:port of the platform"}
	}
	return kernel.SpanInRange("timeout", s.Timeout, 100*time.Millisecond, 30*time.Second)
}

func init() {
	kernel.Register(kernel.Plugin{
		Name:     "platform.http",
		Doc:      "Reads and writes the platform's tables and objects over HTTP.",
		Settings: func() kernel.Validator { return &Settings{Timeout: kernel.Span(2 * time.Second)} },
		Module: func(settings kernel.Validator) fx.Option {
			return fx.Provide(
				func() *Client { return New(*settings.(*Settings)) },
				func(c *Client) port.Table { return c },
				func(c *Client) port.Objects { return c },
			)
		},
	})
}
