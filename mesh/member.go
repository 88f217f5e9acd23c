package mesh

import "sort"

// NodeState is the state of a node that the members agree on.
type NodeState uint8

// States of a node. A higher state overrides a lower one of the same
// incarnation and sequence.
const (
	NodeAlive NodeState = iota + 1
	NodeSuspect
	NodeDead
	NodeLeft
)

// EndpointState is the state that an upstream announces to its local node.
type EndpointState uint8

// States of an upstream.
const (
	EndpointNone     EndpointState = iota // nothing announced
	EndpointStarting                      // announced, accepts no work yet
	EndpointReady
	EndpointDraining // finishes its work, accepts no new work
	EndpointGone     // stopped announcing
)

// Endpoint describes an upstream as observed by its local node.
type Endpoint struct {
	Service ServiceID       `json:"service" cbor:"1,keyasint"`
	Version UpstreamVersion `json:"version" cbor:"2,keyasint"`
	Slots   int             `json:"slots" cbor:"3,keyasint"`
	State   EndpointState   `json:"state" cbor:"4,keyasint"`
	Process string          `json:"process" cbor:"5,keyasint"` // differs for each start of the upstream
	// Instance is the instance id of the upstream; empty: none.
	Instance string `json:"instance,omitempty" cbor:"6,keyasint,omitempty"`
	// StartedAt is the Unix time in ms of the upstream's start, as it reports it; 0: unknown.
	StartedAt int64 `json:"started_at,omitempty" cbor:"7,keyasint,omitempty"`
}

// Member describes one node and its local upstream, as membership disseminates it.
type Member struct {
	Node        NodeID      `json:"node" cbor:"1,keyasint"`
	Incarnation Incarnation `json:"incarnation" cbor:"2,keyasint"` // constant until the process restarts
	// Sequence increases with each change that the node makes itself, such as a
	// refutation.
	Sequence    uint64    `json:"sequence" cbor:"3,keyasint"`
	Zone        Zone      `json:"zone" cbor:"4,keyasint"`
	Region      Region    `json:"region" cbor:"5,keyasint"`
	PeerAddress string    `json:"peer_address" cbor:"6,keyasint"` // IP:port
	State       NodeState `json:"state" cbor:"7,keyasint"`
	Endpoint    Endpoint  `json:"endpoint" cbor:"8,keyasint"`
	// InForce is the configuration version that the node reported last.
	InForce Version `json:"in_force" cbor:"9,keyasint"`
	// SuspectedBy lists the nodes that suspect this incarnation and sequence,
	// sorted. It is kept in state dead, to show which nodes reported the silence.
	SuspectedBy []NodeID `json:"suspected_by,omitempty" cbor:"10,keyasint,omitempty"`
}

// Ready reports whether new work may be sent to the member's upstream.
func (m *Member) Ready() bool {
	return m.State == NodeAlive && m.Endpoint.State == EndpointReady
}

// View is an immutable list of all known members.
type View struct {
	Self    NodeID
	Members []Member // sorted by node id
	// Digest is equal on nodes that have the same entries of live members.
	Digest uint64
	// Revision of the nodes' rows that the view was built from; 0: no rows.
	Revision uint64
}

// Member returns the entry of a node, or nil when it is not known.
func (v *View) Member(node NodeID) *Member {
	i := sort.Search(len(v.Members), func(i int) bool { return v.Members[i].Node >= node })
	if i == len(v.Members) || v.Members[i].Node != node {
		return nil
	}
	return &v.Members[i]
}
