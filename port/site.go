package port

import (
	"net/http"
	"net/netip"
	"time"

	"teaselring/kernel"
	"teaselring/mesh"
)

// Site is what the platform's settings say about the node's place.
type Site struct {
	Outbound netip.AddrPort // for the clients and the server of the machine
	Inbound  netip.AddrPort // for other nodes
	Ready    netip.AddrPort // for the platform's question whether the node is ready
	Control  netip.AddrPort // for what the server of the machine says of itself
	Upstream netip.AddrPort // the server of the machine
	Platform netip.AddrPort // the platform's store
	Service  mesh.ServiceID // of the server of the machine

	// FirstStart is set while the whole system starts for the first time.
	FirstStart bool
	Heartbeat  time.Duration // between two heartbeats of a server

	// RetryRatio is the share of repeats that the platform allows over all nodes in
	// any RetryWindow, for each service.
	RetryRatio  float64
	RetryWindow time.Duration

	Drain time.Duration // after the acknowledgement of its leaving a server gets no work
	Grace time.Duration // between the signal to stop and the kill
}

// CallHeaders are the names of the headers that callers and servers use.
type CallHeaders struct {
	RequestID  string // of the caller's attempt; a server echoes it
	DeadlineMS string // time left, in whole milliseconds
	Signature  string // a server's proof of an answer
	Expect     string // id of the only server that may run the request
	Instance   string // id of the server that answered
	NotRun     string // a server's statement that it did not run the request
	Caller     string // service of the machine where the request began
	// ReadLoad returns the load that a server reports with an answer, nil for none.
	ReadLoad func(http.Header) *mesh.Load
}

// InboundRoute is a handler for other nodes. One without a path takes the calls.
type InboundRoute struct {
	Path    string
	Handler http.Handler
}

// Announcement is what a server says of itself.
type Announcement struct {
	Instance string // id; the same after a restart, sometimes
	Born     int64  // Unix time of the server's start in ms; 0: not stated
	Sequence int64  // grows with each announcement of one start
	Service  mesh.ServiceID
	Version  mesh.UpstreamVersion
	Zone     mesh.Zone
	Slots    int
	Draining bool
	Left     bool // the server is leaving and says nothing further
}

// AnnounceRing leads from the control edge to the announce duty. An answer means
// that the announcement is in force at this node.
type AnnounceRing = kernel.Ring[kernel.Ask[Announcement, struct{}]]

// Orders are the operator's orders to move services to new versions.
type Orders struct{ ByService map[mesh.ServiceID]mesh.Order }

// OrdersCell is owned by the config duty.
type OrdersCell = kernel.Cell[Orders]

// OperatorRows decodes the operator's rows and encodes what it reads back.
type OperatorRows interface {
	// Snapshot decodes a configuration; ok is false for a row that holds none.
	Snapshot(key string, value []byte) (s *mesh.Snapshot, ok bool, err error)
	// Order decodes an order; ok is false for a row that holds none.
	Order(key string, value []byte) (o mesh.Order, ok bool, err error)
	// Status encodes the state of an order for the operator.
	Status(service mesh.ServiceID, target mesh.UpstreamVersion, phase mesh.MovePhase) Put
}
