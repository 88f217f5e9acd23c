// Package nodeidentity is the plug-in "node.identity": the node's name,
// availability zone and region. It also adds name and zone to every log line.
package nodeidentity

import (
	"regexp"

	"github.com/phuslu/log"
	"go.uber.org/fx"

	"teaselring/kernel"
	"teaselring/mesh"
)

const pluginName = "node.identity"

// Settings are the table [node.identity] of a settings file.
type Settings struct {
	ID       string `toml:"id" comment:"name of the node, kept over restarts; letters, digits, dot, dash"`
	Zone     string `toml:"zone" comment:"availability zone of the instance"`
	Region   string `toml:"region" comment:"region of the availability zone"`
	LogLevel string `toml:"log_level" comment:"debug, info, warn or error; changeable at run time"`
}

var validName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9.-]{0,63}$`)

// Validate checks the log level and the names, which become parts of platform keys.
func (s *Settings) Validate() error {
	for key, value := range map[string]string{"id": s.ID, "zone": s.Zone, "region": s.Region} {
		if !validName.MatchString(value) {
			return &kernel.FieldError{Key: key, Value: value, Allowed: "1 to 64 letters, digits, dots and dashes"}
		}
	}
	if _, ok := levels[s.LogLevel]; !ok {
		return &kernel.FieldError{Key: "log_level", Value: s.LogLevel, Allowed: "debug, info, warn or error"}
	}
	return nil
}

var levels = map[string]log.Level{
	"debug": log.DebugLevel, "info": log.InfoLevel, "warn": log.WarnLevel, "error": log.ErrorLevel,
}

func init() {
	kernel.Register(kernel.Plugin{
		Name:     pluginName,
		Doc:      "Provides the name, availability zone and region of the node.",
		Settings: func() kernel.Validator { return &Settings{Region: "default", LogLevel: "info"} },
		Module: func(v kernel.Validator) fx.Option {
			s := v.(*Settings)
			return fx.Options(
				fx.Supply(mesh.Identity{Node: mesh.NodeID(s.ID), Zone: mesh.Zone(s.Zone), Region: mesh.Region(s.Region)}),
				fx.Decorate(func(base *log.Logger) *log.Logger { return withIdentity(base, s) }),
			)
		},
	})
}

func withIdentity(base *log.Logger, s *Settings) *log.Logger {
	logger := *base
	logger.Level = levels[s.LogLevel]
	logger.Context = log.NewContext(nil).Str("node", s.ID).Str("zone", s.Zone).Value()
	return &logger
}
