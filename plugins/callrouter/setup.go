// Package callrouter is the plug-in "call.router": the duty that chooses an
// endpoint for each attempt and decides about retries.
package callrouter

import (
	"go.uber.org/fx"

	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
)

func init() {
	kernel.Register(kernel.Plugin{
		Name: "call.router",
		Doc:  "Chooses an endpoint for each attempt and decides about retries.",
		Module: func(kernel.Validator) fx.Option {
			return fx.Options(
				kernel.ProvideRing[kernel.Ask[port.Pick, mesh.Target]]("router.picks", 1024, kernel.WaitUntilDeadline),
				kernel.ProvideRing[port.Finished]("router.outcomes", 1024, kernel.WaitUntilDeadline),
				kernel.ProvideRing[kernel.Ask[port.MayRetry, port.RetryVerdict]]("router.retries", 256, kernel.Refuse),
				kernel.ProvideDuty(newDuty),
			)
		},
	})
}

type dutyIn struct {
	fx.In
	Picks    *port.PickRing
	Outcomes *port.OutcomeRing
	Retries  *port.RetryRing
	Snapshot *port.SnapshotCell
	View     *port.ViewCell
	Splits   *port.SplitsCell `optional:"true"`
	Samples  *port.SampleRing `optional:"true"`
}
