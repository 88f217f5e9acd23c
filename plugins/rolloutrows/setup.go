// Package rolloutrows is the plug-in "rollout.rows": it moves services to the
// versions that the operator ordered. Rows in the store hold the state that all
// nodes share; the evidence of all nodes is gathered at one node a service.
package rolloutrows

import (
	"time"

	"go.uber.org/fx"

	"teaselring/decision/rollout"
	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
)

const (
	wakeRing     = "rollouts.rows"
	sampleRing   = "guard.samples"
	inboxRing    = "rollouts.inbox"
	reportRing   = "rollouts.reports"
	verdictRing  = "rollouts.verdicts"
	writeRing    = "rollouts.writes"
	evidencePath = "/evidence"

	// tick is the time between two looks at a move in progress.
	tick = 200 * time.Millisecond
	// turn is the time after which the next node in order takes over a write that
	// the one before it has not made.
	turn = 400 * time.Millisecond
	// reportTimeout bounds one report to a judging node.
	reportTimeout = 500 * time.Millisecond
	// writeAgain is the time until a state that is not written yet is decided anew:
	// twice what a call to the store may take.
	writeAgain = time.Second
	// maxReport is in bytes, far above a report of a few dozen routes.
	maxReport = 256 << 10
)

// report is what a node observed since its last report.
type report struct {
	Service mesh.ServiceID        `cbor:"1,keyasint"`
	Order   uint64                `cbor:"2,keyasint"`
	Routes  []rollout.RouteCounts `cbor:"3,keyasint"`
}

// verdict is the answer to a report.
type verdict struct {
	Service mesh.ServiceID `cbor:"1,keyasint"`
	Order   uint64         `cbor:"2,keyasint"`
	Bad     string         `cbor:"3,keyasint"` // why; empty: nothing shown
}

// sending is a report with the nodes that may judge it, in order.
type sending struct {
	report report
	judges []string // IP:port
}

// write is a state to be written on condition of a row's revision.
type write struct {
	rollout  mesh.Rollout
	revision uint64
}

type (
	wake struct {
		ring *kernel.Ring[port.RowsChanged]
	}
	inbox    = kernel.Ring[kernel.Request[report, verdict]]
	reports  = kernel.Ring[sending]
	verdicts = kernel.Ring[verdict]
	writes   = kernel.Ring[write]
)

func init() {
	kernel.Register(kernel.Plugin{
		Name: "rollout.rows",
		Doc:  "Moves services to the versions that the operator ordered, or back.",
		Module: func(kernel.Validator) fx.Option {
			return fx.Options(
				port.ProvideRowsSubscriber(wakeRing, func(r *kernel.Ring[port.RowsChanged]) wake { return wake{r} }),
				kernel.ProvideRing[mesh.Outcome](sampleRing, 1024, kernel.ReplaceOldest),
				kernel.ProvideRing[kernel.Request[report, verdict]](inboxRing, 256, kernel.Refuse),
				kernel.ProvideRing[sending](reportRing, 16, kernel.ReplaceOldest),
				kernel.ProvideRing[verdict](verdictRing, 64, kernel.WaitUntilDeadline),
				kernel.ProvideRing[write](writeRing, 16, kernel.ReplaceOldest),
				fx.Provide(func() *port.SplitsCell { return new(port.SplitsCell) }),
				kernel.ProvideDuty(newDuty),
				kernel.ProvideDuty(newSender),
				kernel.ProvideDuty(newWriter),
				port.ProvideInboundRoute(newInbound),
			)
		},
	})
}
