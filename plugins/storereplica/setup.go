// Package storereplica is the plug-in "store.replica": this node's copy of the
// rows of the operator and of all nodes. It follows the platform's store, and
// asks other nodes for what they know and it does not.
package storereplica

import (
	"math/rand/v2"
	"time"

	"github.com/phuslu/log"
	"go.uber.org/fx"

	"teaselring/decision/replica"
	"teaselring/kernel"
	"teaselring/port"
)

const (
	rowsRing = "replica.rows"
	hintRing = "replica.hints"

	// followWait is the longest poll of a table. A poll on a silent connection
	// ends a second later; the platform's bound for a new configuration leaves
	// 5 s from the moment at which the connection went silent.
	followWait = 3 * time.Second
	// listTimeout bounds all pages of a listing.
	listTimeout = 3 * time.Second
	// retryLeast and retryMost bound the wait after a failed call to the store.
	retryLeast = 100 * time.Millisecond
	retryMost  = time.Second
)

// batch is what one watch learned. Listed batches hold the whole table.
type batch struct {
	table   string
	changes port.Changes
	listed  bool
	source  string   // store or the address of a node
	tables  []string // that the source had listed, for batches of other nodes
	local   time.Time
}

type batchRing = kernel.Ring[batch]

func init() {
	kernel.Register(kernel.Plugin{
		Name: "store.replica",
		Doc:  "Keeps a copy of the operator's and the nodes' rows.",
		Module: func(kernel.Validator) fx.Option {
			return fx.Options(
				kernel.ProvideRing[batch](rowsRing, 64, kernel.WaitUntilDeadline),
				kernel.ProvideRing[port.RowsHint](hintRing, 8, kernel.ReplaceOldest),
				fx.Provide(
					func() *port.RowsCell { c := new(port.RowsCell); c.Store(replica.New()); return c },
					func() *port.ClockCell { return new(port.ClockCell) },
				),
				port.ProvideInboundRoute(newInboundRoute),
				kernel.ProvideDuty(newReplica),
				kernel.ProvideDuty(func(feed port.Feed, out *batchRing, table port.OperatorTable, logger *log.Logger) kernel.Duty {
					return newWatch("operator-watch", string(table), 0, feed, out, logger)
				}),
				kernel.ProvideDuty(func(feed port.Feed, out *batchRing, logger *log.Logger) kernel.Duty {
					return newWatch("node-watch", port.NodeTable, nodeBatch, feed, out, logger)
				}),
				kernel.ProvideDuty(newSync),
				port.ProvideReadyCheck(func(rows *port.RowsCell, operator port.OperatorTable) port.ReadyCheck {
					return port.ReadyCheck{Name: "rows", Check: func() error { return checkListed(rows, operator) }}
				}),
			)
		},
	})
}

// backoff returns the wait after n failures in a row, with full jitter above
// half, so that nodes that failed together do not return together.
func backoff(n int) time.Duration {
	span := min(retryLeast<<min(n, 8), retryMost)
	return span/2 + rand.N(span/2)
}
