package port

import (
	"net/netip"
	"time"

	"teaselring/decision/replica"
	"teaselring/kernel"
	"teaselring/mesh"
)

// ViewCell holds the known members. It is owned by the members duty.
type ViewCell = kernel.Cell[mesh.View]

// Local is the state of the local upstream.
type Local struct {
	Endpoint mesh.Endpoint
	Address  netip.AddrPort // on which it serves calls
	// HeardAt is when the upstream last answered or announced itself; zero: never, or it
	// could not be reached since.
	HeardAt time.Time
	// ColdUntil is the time until which the upstream said that it is cold.
	ColdUntil time.Time
}

// LocalCell holds the state of the local upstream; nil before its first
// announcement. It is owned by the announce duty.
type LocalCell = kernel.Cell[Local]

// LocalRing leads from the announce duty to the members duty. A newer state
// replaces an older one.
type LocalRing = kernel.Ring[Local]

// ViewCoversRows reports whether the nodes' table of a set was listed and a view includes
// all its rows. The view of a node that has just started may lag behind the rows. Without
// this check an order could begin while the version in use is unknown, or a node could
// take itself for the first of its zone.
func ViewCoversRows(view *mesh.View, rows *replica.Set) bool {
	return rows.Listed(NodeTable) && view != nil && view.Revision >= rows.Seen()[NodeTable]
}

// Leaving requests the members duty to announce that the node is leaving. The response
// comes once the announcement was sent on every link.
type Leaving struct{}

// LeavingRing leads from shutdown hooks to the members duty.
type LeavingRing = kernel.Ring[kernel.Request[Leaving, struct{}]]

// Drain requests the announce duty to treat the local upstream as draining.
type Drain struct{ By string }

// DrainRing leads from the operators' edge to the announce duty.
type DrainRing = kernel.Ring[kernel.Request[Drain, struct{}]]

// Seeds are peer addresses (IP:port) to dial when the view is empty or partitioned
// from a part of the mesh.
type Seeds struct {
	Addresses []string
	Complete  bool // the platform has been read, or none is configured
}

// SeedsCell holds the seeds from the settings and the platform. It is owned by the
// seeds duty and nil until that duty has started.
type SeedsCell = kernel.Cell[Seeds]

// AnnounceAddressCell holds the address to which the local upstream sends its
// announcements. It is nil until the listener is open.
type AnnounceAddressCell = kernel.Cell[AnnounceAddress]

// AnnounceAddress is a loopback IP:port.
type AnnounceAddress struct{ netip.AddrPort }

// SelfRing leads from the announce duty to the members duty on nodes whose
// membership is kept in rows. A newer state replaces an older one.
type SelfRing = kernel.Ring[mesh.Member]
