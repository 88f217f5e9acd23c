// Package upstreambeats is the plug-in "upstream.beats": it tracks the server
// beside the node through its announcements and writes the node's row.
package upstreambeats

import (
	"time"

	"go.uber.org/fx"

	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
)

const (
	announceRing   = "announce.requests"
	rowChangesRing = "announce.rows"
	rowRing        = "announce.row"
	writtenRowRing = "announce.written"
	healthRing     = "announce.health"
	selfRing       = "members.self"

	// healthCheckInterval is the time between two health checks of a server that has
	// not announced itself, and maxHealthChecks bounds their number. After that, the
	// node waits for a heartbeat.
	healthCheckInterval = 250 * time.Millisecond
	maxHealthChecks     = 4
	// healthCheckTimeout is several times the response time of an idle server.
	healthCheckTimeout = 200 * time.Millisecond

	// coldChecks is the number of health checks in a heartbeat interval that ask a server how
	// long it stays cold: a server may turn cold between two heartbeats.
	coldChecks = 3
	// minColdCheckInterval bounds the checks where heartbeats are frequent.
	minColdCheckInterval = 100 * time.Millisecond

	// maxUnacknowledged bounds the announcements that wait for the node's row; a server
	// repeats one a second.
	maxUnacknowledged = 16
	// minWriteBackoff and maxWriteBackoff bound the wait before a retry. The platform
	// requires the row to be back within 2 s of the store's recovery.
	minWriteBackoff = 100 * time.Millisecond
	maxWriteBackoff = time.Second
)

// rowChanges holds the ring that notifies the announce duty of changed rows.
type rowChanges struct {
	ring *kernel.Ring[port.RowsChanged]
}

// rowUpdate is the desired content of the node's row. Remove deletes the row; Rewrite is
// set if the store has lost it, which it does for many nodes at once.
type rowUpdate struct {
	Member          mesh.Member
	Remove, Rewrite bool
}

type rowUpdateRing = kernel.Ring[rowUpdate]

// writtenRing reports the server in the row that was written last.
type writtenRing = kernel.Ring[mesh.Endpoint]

func init() {
	kernel.Register(kernel.Plugin{
		Name: "upstream.beats",
		Doc:  "Tracks the server beside the node through its heartbeats and writes the node's row.",
		Module: func(kernel.Validator) fx.Option {
			return fx.Options(
				fx.Provide(
					func() *port.LocalCell { return new(port.LocalCell) },
				),
				kernel.ProvideRing[kernel.Request[port.Announcement, struct{}]](announceRing, 64, kernel.Refuse),
				kernel.ProvideRing[rowUpdate](rowRing, 1, kernel.ReplaceOldest),
				kernel.ProvideRing[mesh.Endpoint](writtenRowRing, 1, kernel.ReplaceOldest),
				kernel.ProvideRing[healthReport](healthRing, 1, kernel.ReplaceOldest),
				port.ProvideRowsSubscriber(rowChangesRing, func(r *kernel.Ring[port.RowsChanged]) rowChanges { return rowChanges{r} }),
				kernel.ProvideDuty(newTracker),
				kernel.ProvideDuty(newWriter),
				kernel.ProvideDuty(newColdWatch),
			)
		},
	})
}
