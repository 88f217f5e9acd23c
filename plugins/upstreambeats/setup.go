// Package upstreambeats is the plug-in "upstream.beats": it knows the server
// beside the node by what the server says of itself, and writes the node's row.
package upstreambeats

import (
	"time"

	"go.uber.org/fx"

	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
)

const (
	announceRing = "announce.requests"
	wakeRing     = "announce.rows"
	rowRing      = "announce.row"
	selfRing     = "members.self"

	// checkEvery is the time between two health checks of a server that is not
	// known yet, and checkMost their number: a server that has said nothing by
	// then is known by its next heartbeat.
	checkEvery = 250 * time.Millisecond
	checkMost  = 4
	// checkTimeout is a few times what an idle server needs.
	checkTimeout = 200 * time.Millisecond

	// writeLeast and writeMost bound the wait before the row is written again.
	// The platform wants entries back within two seconds of the store's return.
	writeLeast = 100 * time.Millisecond
	writeMost  = time.Second
)

// wake is the ring that tells the announce duty of changed rows.
type wake struct {
	ring *kernel.Ring[port.RowsChanged]
}

// rowOrder is what the node's row should say; Gone removes it.
type rowOrder struct {
	Member mesh.Member
	Gone   bool
}

type orderRing = kernel.Ring[rowOrder]

func init() {
	kernel.Register(kernel.Plugin{
		Name: "upstream.beats",
		Doc:  "Knows the server beside the node by its heartbeats and writes the node's row.",
		Module: func(kernel.Validator) fx.Option {
			return fx.Options(
				fx.Provide(
					func() *port.LocalCell { return new(port.LocalCell) },
				),
				kernel.ProvideRing[kernel.Request[port.Announcement, struct{}]](announceRing, 64, kernel.Refuse),
				kernel.ProvideRing[rowOrder](rowRing, 1, kernel.ReplaceOldest),
				port.ProvideRowsSubscriber(wakeRing, func(r *kernel.Ring[port.RowsChanged]) wake { return wake{r} }),
				kernel.ProvideDuty(newAnnounce),
				kernel.ProvideDuty(newWriter),
			)
		},
	})
}
