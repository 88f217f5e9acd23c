// Package storereplica is the plug-in "store.replica": this node's copy of the
// rows of the operator and of all nodes. It follows the platform's store or
// another node, and fetches newer rows from nodes that have them.
package storereplica

import (
	"math/rand/v2"
	"time"

	"github.com/phuslu/log"
	"go.uber.org/fx"

	"teaselring/decision/replica"
	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
)

const (
	rowsRing = "replica.rows"
	hintRing = "replica.hints"

	probeRingName  = "replica.probes"
	probedRingName = "replica.probed"

	// maxPoll is the longest long poll of the operator's table and of another node.
	// A node detects within this time, plus the timeout of the response, that the
	// node which it follows is frozen or has silently lost the store; the platform
	// requires a new configuration to be in force within 2 s.
	maxPoll = time.Second
	// maxNodePoll is the longest long poll of the nodes' table. Until it
	// delivers a change, the responses of the changed nodes themselves show it.
	maxNodePoll = 10 * time.Second
	// contactTTL is how long a node counts as connected to the store after a
	// response: a long poll, its extra timeout and the start of the next.
	contactTTL = maxPoll + 700*time.Millisecond
	// operatorBatchWindow is the pause after a change of the operator's table, so that
	// configurations in quick succession are read together.
	operatorBatchWindow = 150 * time.Millisecond
	// listTimeout bounds all pages of a listing.
	listTimeout = 3 * time.Second
	// minRetryDelay and maxRetryDelay bound the backoff after a failed call to the store.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = time.Second
)

// batch holds rows read from the store or another node. A listed batch holds the
// whole table.
type batch struct {
	table        string
	changes      port.Changes
	listed       bool
	source       string        // "store" or the address of a node
	listedTables []string      // tables that the source node has listed; nil for the store
	receivedAt   time.Time     // local time of the response
	applied      chan struct{} // closed when the batch is applied; nil: nobody waits
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
				kernel.ProvideRing[*mesh.Member](probeRingName, 1, kernel.Refuse),
				kernel.ProvideRing[probed](probedRingName, 1, kernel.WaitUntilDeadline),
				fx.Provide(
					func() *port.RowsCell { c := new(port.RowsCell); c.Store(replica.New()); return c },
					func() *port.ClockCell { return new(port.ClockCell) },
					func() *port.SeenCache { return new(port.SeenCache) },
					func(table port.OperatorTable) *source { return newSource(string(table)) },
				),
				port.ProvideInboundRoute(newInboundRoute),
				kernel.ProvideDuty(newReplica),
				kernel.ProvideDuty(func(in watchIn) kernel.Duty {
					w := in.watch(string(in.Table), maxPoll, func(*replica.Set) time.Duration { return operatorBatchWindow })
					w.listEarly = !in.PlatformSettings.FirstStart
					return w.duty("operator-watch")
				}),
				kernel.ProvideDuty(func(in watchIn) kernel.Duty {
					w := in.watch(port.NodeTable, maxNodePoll, func(rows *replica.Set) time.Duration { return replica.BatchWindow(rows.Count(port.NodeTable)) })
					w.listEarly, w.first = true, firstListingDelay(in.PlatformSettings)
					return w.duty("node-watch")
				}),
				fx.Provide(newRowsClient),
				kernel.ProvideDuty(newSync),
				kernel.ProvideDuty(newProbe),
				port.ProvideReadyCheck(func(rows *port.RowsCell, operator port.OperatorTable) port.ReadyCheck {
					return port.ReadyCheck{Name: "rows", Check: func() error { return checkListed(rows, operator) }}
				}),
			)
		},
	})
}

type watchIn struct {
	fx.In
	Table            port.OperatorTable
	Feed             port.Feed
	Out              *batchRing
	Rows             *port.RowsCell
	Source           *source
	PlatformSettings *port.PlatformSettings
	Logger           *log.Logger
}

// firstListingDelay is the time until the first listing of the nodes' table. When
// the whole system starts for the first time, the rows of all nodes are written
// within two heartbeats of their servers. A node that lists earlier sees few others
// and follows the store; with 87 nodes that took 600 of a calm day's 1,500 calls.
func firstListingDelay(settings *port.PlatformSettings) time.Duration {
	if !settings.FirstStart {
		return 0
	}
	return firstListingHeartbeats*settings.Heartbeat + time.Duration(rand.Int64N(int64(settings.Heartbeat)/2+1))
}

// firstListingHeartbeats is a number of heartbeats: one until the first is sent, one
// for the first that is not acknowledged.
const firstListingHeartbeats = 2

func (in *watchIn) watch(table string, maxPollWait time.Duration, pause func(*replica.Set) time.Duration) *watch {
	return &watch{
		table: table, maxPollWait: maxPollWait, pause: pause, feed: in.Feed, out: in.Out, rows: in.Rows, source: in.Source, logger: in.Logger,
	}
}
