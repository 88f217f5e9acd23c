package port

import (
	"net/netip"

	"teaselring/decision/replica"
	"teaselring/kernel"
	"teaselring/mesh"
)

// ViewCell holds the members known. Its owner is the members duty.
type ViewCell = kernel.Cell[mesh.View]

// Local is the state of the upstream beside the node.
type Local struct {
	Endpoint mesh.Endpoint
	Address  netip.AddrPort // where it serves calls
}

// LocalCell holds the state of the upstream beside the node; nil before it
// announced itself. Its owner is the announce duty.
type LocalCell = kernel.Cell[Local]

// LocalRing leads from the announce duty to the members duty. A newer state
// replaces an older one.
type LocalRing = kernel.Ring[Local]

// ShowsAll reports whether a view shows the nodes' rows of a set. That of a node
// that has just started may lag behind them; an order must not begin with the
// version in use unknown, nor a node take itself for the first of its zone.
func ShowsAll(view *mesh.View, rows *replica.Set) bool {
	return view != nil && view.Revision >= rows.Seen()[NodeTable]
}

// Leaving asks the members duty to spread that the node is leaving and
// returns once every link has been told.
type Leaving struct{}

// LeavingRing leads from shutdown hooks to the members duty.
type LeavingRing = kernel.Ring[kernel.Ask[Leaving, struct{}]]

// Drain asks the announce duty to treat the local upstream as draining.
type Drain struct{ By string }

// DrainRing leads from the operators' edge to the announce duty.
type DrainRing = kernel.Ring[kernel.Ask[Drain, struct{}]]

// Seeds are peer addresses (IP:port) to dial when the view is empty or out of
// touch with a part of the mesh.
type Seeds struct {
	Addresses []string
	Final     bool // the platform has been read, or there is none
}

// SeedsCell holds the seeds of the settings and the platform. It is stored by
// the seeds duty and nil before its first look.
type SeedsCell = kernel.Cell[Seeds]

// AnnounceAddressCell holds the address at which the upstream beside the node
// announces itself. It is nil until the listener is open.
type AnnounceAddressCell = kernel.Cell[AnnounceAddress]

// AnnounceAddress is a loopback IP:port.
type AnnounceAddress struct{ netip.AddrPort }

// SelfRing leads from the announce duty to the members duty of a node that is
// known by its row. A newer state replaces an older one.
type SelfRing = kernel.Ring[mesh.Member]
