// Package rolloutrows is the plug-in "rollout.rows": it moves services to the
// versions that the operator ordered. Rows in the store hold the state that all
// nodes share; one node per service evaluates the evidence of all nodes.
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
	orderRing    = "rollouts.orders"
	sampleRing   = "guard.samples"
	inboxRing    = "rollouts.inbox"
	reportRing   = "rollouts.reports"
	verdictRing  = "rollouts.verdicts"
	writeRing    = "rollouts.writes"
	evidencePath = "/evidence"

	// evaluationInterval is the interval at which a move in progress is evaluated.
	evaluationInterval = 200 * time.Millisecond
	// writeTurn is the delay between the turns of successive nodes to write a state. A
	// node writes only if those before it have not.
	writeTurn = 400 * time.Millisecond
	// reportTimeout is the timeout of one report to an evaluator.
	reportTimeout = 500 * time.Millisecond
	// writeRetryDelay is the time until a state that is not written yet is decided
	// again: twice the timeout of a call to the store.
	writeRetryDelay = time.Second
	// maxReportBytes is far above the size of a report of a few dozen routes.
	maxReportBytes = 256 << 10
)

// report holds the counts of a node since its last report.
type report struct {
	Service mesh.ServiceID        `cbor:"1,keyasint"`
	Order   uint64                `cbor:"2,keyasint"`
	Routes  []rollout.RouteCounts `cbor:"3,keyasint"`
}

// verdict is the response to a report.
type verdict struct {
	Service mesh.ServiceID `cbor:"1,keyasint"`
	Order   uint64         `cbor:"2,keyasint"`
	Bad     string         `cbor:"3,keyasint"` // reason; empty: no evidence
	// Progress is the sum of all reports.
	Progress rollout.Progress `cbor:"4,keyasint"`
}

// outgoingReport is a report with its possible evaluators, in order.
type outgoingReport struct {
	report     report
	evaluators []string // IP:port
}

// write is a state to write if its row still has the revision.
type write struct {
	rollout  mesh.Rollout
	revision uint64
}

type (
	wake struct {
		ring *kernel.Ring[port.RowsChanged]
	}
	inbox    = kernel.Ring[kernel.Request[report, verdict]]
	reports  = kernel.Ring[outgoingReport]
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
				kernel.ProvideRing[port.OrdersChanged](orderRing, 1, kernel.ReplaceOldest),
				kernel.ProvideRing[mesh.Outcome](sampleRing, 1024, kernel.ReplaceOldest),
				kernel.ProvideRing[kernel.Request[report, verdict]](inboxRing, 256, kernel.Refuse),
				kernel.ProvideRing[outgoingReport](reportRing, 16, kernel.ReplaceOldest),
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
