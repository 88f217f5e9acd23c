// Package wire defines the messages that nodes exchange over their links and
// their versioned CBOR encoding.
package wire

import "teaselring/mesh"

// Protocol is the version of the messages. Nodes with different versions don't
// connect to each other.
const Protocol = 1

// Message is one of the message types of this package.
type Message interface{ messageType() uint8 }

// Hello is the first message that each end of a link sends.
type Hello struct {
	Protocol    uint             `cbor:"1,keyasint"`
	Node        mesh.NodeID      `cbor:"2,keyasint"`
	Incarnation mesh.Incarnation `cbor:"3,keyasint"`
	Zone        mesh.Zone        `cbor:"4,keyasint"`
	Region      mesh.Region      `cbor:"5,keyasint"`
	PeerAddress string           `cbor:"6,keyasint"`
	InForce     mesh.Version     `cbor:"7,keyasint"`
	ViewDigest  uint64           `cbor:"8,keyasint"`
}

// Heartbeat shows that the sender is alive and which state it holds, so that the
// receiver can detect and fetch missed updates.
type Heartbeat struct {
	Sequence   uint64       `cbor:"1,keyasint"`
	InForce    mesh.Version `cbor:"2,keyasint"`
	ViewDigest uint64       `cbor:"3,keyasint"`
	// HeadAge is the time since the platform confirmed InForce as its head, in
	// milliseconds and at least 1; 0: unknown. It saves the receiver a read of the
	// head. It is an age because an absolute time would depend on both clocks.
	HeadAge uint32 `cbor:"4,keyasint,omitempty"`
}

// Members carries changed member entries or, when Full is set, the response to a
// MembersRequest.
type Members struct {
	Full    bool          `cbor:"1,keyasint"`
	Members []mesh.Member `cbor:"2,keyasint"`
}

// MembersRequest requests all members or, when Buckets is set, only those in the
// buckets whose digests differ from the sender's. Buckets holds the sender's
// membership.State.BucketDigests.
type MembersRequest struct {
	Buckets []uint64 `cbor:"1,keyasint,omitempty"`
}

// ConfigOffer announces the configuration version that the sender holds, 0 for none.
// Both ends of a new link send one.
type ConfigOffer struct {
	Version mesh.Version `cbor:"1,keyasint"`
	Digest  mesh.Digest  `cbor:"2,keyasint"`
	// Remembered is the highest version that the sender knows the receiver had in
	// force, in this or an earlier incarnation.
	Remembered mesh.Version `cbor:"3,keyasint,omitempty"`
}

// ConfigFetch requests the newest version, as a delta against BaseVersion if possible.
type ConfigFetch struct {
	BaseVersion mesh.Version `cbor:"1,keyasint"`
}

// ConfigData carries a complete version (Base 0) or a delta against Base. A large one
// is sent in parts, numbered from 0, in order on one link.
type ConfigData struct {
	Base    mesh.Version     `cbor:"1,keyasint"`
	Version mesh.Version     `cbor:"2,keyasint"`
	Digest  mesh.Digest      `cbor:"3,keyasint"`
	Records []mesh.Record    `cbor:"4,keyasint"`
	Removed []mesh.RecordKey `cbor:"5,keyasint"`
	Part    int              `cbor:"6,keyasint"`
	Parts   int              `cbor:"7,keyasint"`
}

// ConfigAck confirms that the sender holds the version.
type ConfigAck struct {
	Version mesh.Version `cbor:"1,keyasint"`
}

// Moves carries the newest known states of moves.
type Moves struct {
	Moves []mesh.Move `cbor:"1,keyasint"`
	// Request makes the receiver send all states that it knows.
	Request bool `cbor:"2,keyasint,omitempty"`
}

// EvidenceReport carries one node's evidence about a move.
type EvidenceReport struct {
	Evidence mesh.Evidence `cbor:"1,keyasint"`
}

// Quarantine reports a crash of an upstream process and the fingerprints of the
// requests that were in flight.
type Quarantine struct {
	Crash mesh.Crash `cbor:"1,keyasint"`
}

func (Hello) messageType() uint8          { return 1 }
func (Heartbeat) messageType() uint8      { return 2 }
func (Members) messageType() uint8        { return 3 }
func (MembersRequest) messageType() uint8 { return 4 }
func (ConfigOffer) messageType() uint8    { return 5 }
func (ConfigFetch) messageType() uint8    { return 6 }
func (ConfigData) messageType() uint8     { return 7 }
func (ConfigAck) messageType() uint8      { return 8 }
func (Moves) messageType() uint8          { return 9 }
func (EvidenceReport) messageType() uint8 { return 10 }
func (Quarantine) messageType() uint8     { return 11 }
