// Package callslots is the plug-in "call.slots": the duty that admits attempts
// to the upstream beside the node.
package callslots

import (
	"go.uber.org/fx"

	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
)

func init() {
	kernel.Register(kernel.Plugin{
		Name: "call.slots",
		Doc:  "Admits attempts to the upstream beside the node, within its slots and queue.",
		Module: func(kernel.Validator) fx.Option {
			return fx.Options(
				kernel.ProvideRing[kernel.Ask[port.Admit, port.Admitted]]("slots.admit", 1024, kernel.Refuse),
				kernel.ProvideRing[port.Released]("slots.release", 1024, kernel.WaitUntilDeadline),
				kernel.ProvideRing[kernel.Ask[port.Settle, port.Settled]]("slots.settle", 256, kernel.Refuse),
				kernel.ProvideDuty(newDuty),
			)
		},
	})
}

type dutyIn struct {
	fx.In
	Identity mesh.Identity
	Admits   *port.AdmitRing
	Releases *port.ReleaseRing
	Settles  *port.SettleRing
	Local    *port.LocalCell
	Snapshot *port.SnapshotCell
	View     *port.ViewCell
}
