package port

import (
	"net/http"
	"net/netip"
	"slices"
	"time"

	"teaselring/kernel"
	"teaselring/mesh"
)

// PlatformSettings are the platform's settings for the node.
type PlatformSettings struct {
	Outbound netip.AddrPort // for the clients and the upstream of this instance
	Inbound  netip.AddrPort // for other nodes
	Ready    netip.AddrPort // for the platform's readiness checks
	Control  netip.AddrPort // for announcements of the upstream
	Upstream netip.AddrPort // the upstream of this instance
	Platform netip.AddrPort // the platform's store
	Service  mesh.ServiceID // of the upstream

	// FirstStart is set during the first start of the whole system.
	FirstStart bool
	Heartbeat  time.Duration // interval of an upstream's heartbeats

	// RetryRatio is the share of retries that the platform allows for each service,
	// over all nodes in any RetryWindow.
	RetryRatio  float64
	RetryWindow time.Duration

	// ExposureShare is the share of the calls of a service that a bad version may get
	// during its move, ExposureSlack the number of calls beyond that.
	ExposureShare float64
	ExposureSlack float64

	// In any AccountWindow an account may exceed its limit, over all nodes together, by
	// the share AccountOverage and AccountSlack requests.
	AccountWindow  time.Duration
	AccountOverage float64
	AccountSlack   float64
	// AccountHeadersReserved is set where the platform has client accounts. Upstreams then
	// get no header of a client's key or account, whatever the configuration in force says.
	AccountHeadersReserved bool

	// A cold upstream may get ColdOverage times its cold rate and ColdSlack requests in
	// any second, from all nodes together.
	ColdOverage float64
	ColdSlack   float64

	// EvacuationBound is the time after which no request may reach the upstreams of a
	// zone that is being evacuated.
	EvacuationBound time.Duration

	// MemoryBytes and FileDescriptors are the limits of the process; 0: unknown.
	MemoryBytes     int64
	FileDescriptors int

	WriteRate float64 // transactions per second of all nodes in one part of the store

	DrainTime time.Duration // from the acknowledged leave of an upstream until it must get no more work
	Grace     time.Duration // between the stop signal and the kill
}

// CallHeaders are the names of the headers that callers and upstreams use.
type CallHeaders struct {
	RequestID  string // of the caller's attempt; the upstream echoes it
	DeadlineMS string // time left, in whole milliseconds
	Signature  string // an upstream's signature of a response
	Expect     string // id of the only upstream that may run the request
	Instance   string // id of the upstream that responded
	NotRun     string // an upstream's statement that it did not run the request
	Caller     string // service of the instance where the request originated
	AccountKey string // a client's secret key, which identifies its account
	Account    string // name of the account, for the upstream
	ColdMS     string // how long an upstream stays cold, in a health response, in ms
	// ReadLoad returns the load that an upstream reports with a response, nil for none.
	ReadLoad func(http.Header) *mesh.Load
}

// InboundRoute is a handler for requests of other nodes. The one without a path
// handles calls.
type InboundRoute struct {
	Path    string
	Handler http.Handler
}

// Announcement is the state that an upstream reports about itself.
type Announcement struct {
	Instance  string // id; may be the same after a restart
	StartedAt int64  // Unix time of the upstream's start in ms; 0: unknown
	Sequence  int64  // increases with each announcement after a start
	Service   mesh.ServiceID
	Version   mesh.UpstreamVersion
	Zone      mesh.Zone
	Slots     int
	Draining  bool
	// ColdRemaining is how much longer the upstream is cold.
	ColdRemaining time.Duration
	Final         bool // the last announcement before the upstream leaves
}

// AnnounceRing leads from the control edge to the announce duty. A response means
// that the announcement is in effect on this node.
type AnnounceRing = kernel.Ring[kernel.Request[Announcement, struct{}]]

// Orders are the operator's orders to move services to new versions.
type Orders struct{ ByService map[mesh.ServiceID]mesh.Order }

// OrdersCell is owned by the config duty.
type OrdersCell = kernel.Cell[Orders]

// OrdersChanged reports that the operator's orders have changed.
type OrdersChanged struct{}

// OrdersChangedRing wakes the duty that carries out the orders. The change of the rows
// wakes it too, but perhaps before the orders are decoded.
type OrdersChangedRing = kernel.Ring[OrdersChanged]

// Evacuations are the availability zones whose upstreams must get no requests.
type Evacuations struct{ Zones []mesh.Zone } // sorted

// Has reports whether a zone is being evacuated.
func (e *Evacuations) Has(z mesh.Zone) bool { return e != nil && slices.Contains(e.Zones, z) }

// EvacuationsCell is owned by the config duty; nil before the operator's rows are known.
type EvacuationsCell = kernel.Cell[Evacuations]

// OperatorRows decodes the rows that the operator writes and encodes those that it
// reads.
type OperatorRows interface {
	// Snapshot decodes a configuration; ok is false for a row that holds none.
	Snapshot(key string, value []byte) (s *mesh.Snapshot, ok bool, err error)
	// Order decodes an order; ok is false for a row that holds none.
	Order(key string, value []byte) (o mesh.Order, ok bool, err error)
	// Evacuation decodes the order to evacuate an availability zone; ok is false for a
	// row that holds none.
	Evacuation(key string) (zone mesh.Zone, ok bool)
	// Status encodes the state of an order for the operator.
	Status(service mesh.ServiceID, target mesh.UpstreamVersion, phase mesh.MovePhase) Put
}
