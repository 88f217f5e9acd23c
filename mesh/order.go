package mesh

import "time"

// Order is an operator's order to move a service's traffic to another upstream
// version within Duration.
type Order struct {
	Service  ServiceID
	Target   UpstreamVersion
	Duration time.Duration
	Revision uint64 // of the row that holds the order
	// FirstSeen is when the node first received the order, by the platform's clock.
	FirstSeen time.Duration
}

// Rollout is the state of an order, shared by all nodes.
type Rollout struct {
	Service  ServiceID       `cbor:"1,keyasint"`
	Order    uint64          `cbor:"2,keyasint"` // revision of the order
	Old      UpstreamVersion `cbor:"3,keyasint"`
	New      UpstreamVersion `cbor:"4,keyasint"`
	Started  time.Duration   `cbor:"5,keyasint"` // by the platform's clock
	Duration time.Duration   `cbor:"6,keyasint"`
	Phase    MovePhase       `cbor:"7,keyasint"` // shifting, done or taken back
	Reason   string          `cbor:"8,keyasint"`
}
