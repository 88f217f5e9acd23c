package mesh

import "time"

// Order is an operator's order to move a service's traffic to another upstream
// version within Duration.
type Order struct {
	Service  ServiceID
	Target   UpstreamVersion
	Duration time.Duration
	Revision uint64 // of the row that held the order first; identifies it
	Row      uint64 // revision of the row that holds the order now
	// Found is set for an order that the node found when it first read the rows.
	Found bool
	// FirstSeen is when the node first received the order, by the platform's clock.
	FirstSeen time.Duration
}

// ContinuedBy reports whether a row of the operator holds an order that is known already:
// the store has come back from a copy since the order was read, and the copy has it too, or
// the operator has written it again.
func (o *Order) ContinuedBy(next *Order) bool {
	return EraOf(next.Row) > EraOf(o.Row) && next.Service == o.Service && next.Target == o.Target && next.Duration == o.Duration
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
	// OrderRow is the revision of the row that holds the order, if the operator has written
	// it again after the store lost it.
	OrderRow uint64 `cbor:"9,keyasint,omitempty"`
}
