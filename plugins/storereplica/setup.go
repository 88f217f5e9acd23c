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

	// followWait is the longest poll of the operator's table and of another node.
	// A node that follows one that freezes, or that loses the store without a
	// sign, finds out within this time and the slack of the call; the platform
	// wants a new configuration in force within 2 s.
	followWait = time.Second
	// nodeWait is the longest poll of the nodes' table. What it brings late is
	// told by the nodes' own answers.
	nodeWait = 10 * time.Second
	// currentFor is how long a node counts as in touch with the store after an
	// answer: a poll, its slack and the start of the next.
	currentFor = followWait + 700*time.Millisecond
	// nodeBatch gathers the rows of nodes that start together.
	nodeBatch = 400 * time.Millisecond
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
	taken   chan struct{} // closed when the batch is taken over; nil: nobody waits
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
					func() *port.SeenCache { return new(port.SeenCache) },
					func(table port.OperatorTable) *source { return newSource(string(table)) },
				),
				port.ProvideInboundRoute(newInboundRoute),
				kernel.ProvideDuty(newReplica),
				kernel.ProvideDuty(func(in watchIn) kernel.Duty {
					w := in.watch(string(in.Table), followWait, 0)
					w.leads = !in.Site.FirstStart
					return w.duty("operator-watch")
				}),
				kernel.ProvideDuty(func(in watchIn) kernel.Duty {
					w := in.watch(port.NodeTable, nodeWait, nodeBatch)
					w.leads, w.first = true, firstLook(in.Site)
					return w.duty("node-watch")
				}),
				kernel.ProvideDuty(newSync),
				port.ProvideReadyCheck(func(rows *port.RowsCell, operator port.OperatorTable) port.ReadyCheck {
					return port.ReadyCheck{Name: "rows", Check: func() error { return checkListed(rows, operator) }}
				}),
			)
		},
	})
}

type watchIn struct {
	fx.In
	Table  port.OperatorTable
	Feed   port.Feed
	Out    *batchRing
	Rows   *port.RowsCell
	Source *source
	Site   *port.Site
	Logger *log.Logger
}

// firstLook is the time until the first look at the nodes' table. When the whole
// system starts for the first time, the rows of all nodes are written within two
// heartbeats of their servers. A node that looks before sees few others and
// follows the store; with 87 nodes that took 600 of a calm day's 1,500 calls.
func firstLook(site *port.Site) time.Duration {
	if !site.FirstStart {
		return 0
	}
	return firstBeats*site.Heartbeat + time.Duration(rand.Int64N(int64(site.Heartbeat)/2+1))
}

// firstBeats is in heartbeats: one until the first is sent, one for the first
// that is not acknowledged.
const firstBeats = 2

func (in *watchIn) watch(table string, wait, pause time.Duration) *watch {
	return &watch{
		table: table, wait: wait, pause: pause, feed: in.Feed, out: in.Out, rows: in.Rows, source: in.Source, logger: in.Logger,
	}
}
