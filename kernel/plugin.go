// Package kernel holds what every program of teaselring is built from: the
// registry of plug-ins, their settings, the duties and the rings between them.
// It is independent of configuration distribution and calls.
package kernel

import (
	"fmt"
	"sort"

	"go.uber.org/fx"
)

// Validator is a settings struct that validates its own values.
type Validator interface{ Validate() error }

// Plugin is one registered unit of a program.
type Plugin struct {
	// Name is dotted, such as "call.router". It is also the path of the
	// plug-in's table in a settings file.
	Name string
	Doc  string // one sentence
	// Settings returns a pointer to a struct that holds the defaults.
	// It is nil for a plug-in without settings.
	Settings func() Validator
	// Module returns what the plug-in contributes to the application. The
	// argument is the value that Settings returned, with the file applied.
	Module func(settings Validator) fx.Option
}

var registry = map[string]Plugin{}

// Register adds a plug-in. It is called from init and panics on a second
// plug-in of the same name.
func Register(p Plugin) {
	if _, taken := registry[p.Name]; taken {
		panic(fmt.Sprintf("plug-in %q is registered twice", p.Name))
	}
	registry[p.Name] = p
}

// Plugins returns the registered plug-ins sorted by name.
func Plugins() []Plugin {
	list := make([]Plugin, 0, len(registry))
	for _, p := range registry {
		list = append(list, p)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}
