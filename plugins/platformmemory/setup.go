// Package platformmemory is the plug-in platform.memory: the platform's table
// service and object store in the memory of the process, for demonstrations and
// tests. The content is lost when the process ends.
package platformmemory

import (
	"go.uber.org/fx"

	"teaselring/kernel"
	"teaselring/port"
)

func init() {
	kernel.Register(kernel.Plugin{
		Name: "platform.memory",
		Doc:  "Keeps the platform's tables and objects in the memory of this process.",
		Module: func(kernel.Validator) fx.Option {
			return fx.Options(
				kernel.ProvideRing[kernel.Request[request, response]](ringName, ringCapacity, kernel.WaitUntilDeadline),
				fx.Provide(
					newStore,
					func(s *Store) port.Table { return s },
					func(s *Store) port.Objects { return s },
				),
				kernel.ProvideDuty(newDuty),
			)
		},
	})
}

func newDuty(s *Store) kernel.Duty {
	return kernel.Duty{Name: "tables", Owns: "the tables and objects in memory", In: []string{ringName}, Run: s.Run}
}
