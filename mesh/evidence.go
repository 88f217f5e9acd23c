package mesh

import "time"

// LatencyBuckets is the number of latency buckets of a Tally. Bucket 0 counts
// responses below 250 µs, bucket i those from 250 µs × 2^(i-1) to below 250 µs × 2^i,
// and the last one all slower ones too.
const LatencyBuckets = 20

// Tally counts the outcomes of calls to one version on one route.
type Tally struct {
	Calls    uint32                 `cbor:"1,keyasint"`
	Failures uint32                 `cbor:"2,keyasint"`
	Shed     uint32                 `cbor:"3,keyasint"`
	Crashes  uint32                 `cbor:"4,keyasint"`
	Latency  [LatencyBuckets]uint32 `cbor:"5,keyasint"`
}

// Comparison holds the outcomes of the old and the new version on one route in one
// window.
type Comparison struct {
	Route RouteID `cbor:"1,keyasint"`
	Old   Tally   `cbor:"2,keyasint"`
	New   Tally   `cbor:"3,keyasint"`
}

// Evidence holds one node's observations of a move since the node first received
// the move's row. A later report of the same incarnation replaces an earlier one.
type Evidence struct {
	Move        MoveID       `cbor:"1,keyasint"`
	Node        NodeID       `cbor:"2,keyasint"`
	Incarnation Incarnation  `cbor:"3,keyasint"`
	Sequence    uint64       `cbor:"4,keyasint"`
	Routes      []Comparison `cbor:"5,keyasint"`
	// Cut is set when the node has cut the new version's share to zero.
	Cut    bool   `cbor:"6,keyasint"`
	Reason string `cbor:"7,keyasint"` // of the cut
	// Recheck is set while the node holds the share at one half because responses
	// got worse at full share.
	Recheck bool `cbor:"8,keyasint"`
}

// Crash reports that an upstream process exited with calls in flight.
type Crash struct {
	Service      ServiceID `cbor:"1,keyasint"`
	Node         NodeID    `cbor:"2,keyasint"`
	Process      string    `cbor:"3,keyasint"`
	Fingerprints []uint64  `cbor:"4,keyasint"` // of the calls in flight
	At           time.Time `cbor:"5,keyasint"`
	// Age is the time since the first report, when a node passes on a report that it has
	// kept. A duration holds whatever the clocks of the two nodes show.
	Age time.Duration `cbor:"6,keyasint,omitempty"`
}

// Split is the traffic split of a service on one node during a move.
type Split struct {
	Move     MoveID
	Old, New UpstreamVersion
	Routes   []RouteID // empty: all of the service
	Share    float64   // of calls to the new version, 0 to 1
}

// Splits holds the current split of each service that has a move. It keeps a service
// whose last move has ended, with all calls on one version.
type Splits struct {
	ByService map[ServiceID]Split
}
