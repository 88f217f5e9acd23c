package port

import (
	"time"

	"teaselring/kernel"
	"teaselring/mesh"
)

// AuditEntry is one line of the audit trail.
type AuditEntry struct {
	Stream   string       `json:"stream" cbor:"1,keyasint"` // config, move/<id> or node/<id>/<incarnation>
	Sequence uint64       `json:"sequence" cbor:"2,keyasint"`
	Time     time.Time    `json:"time" cbor:"3,keyasint"`
	Who      string       `json:"who" cbor:"4,keyasint"`
	Action   string       `json:"action" cbor:"5,keyasint"`
	Subject  string       `json:"subject" cbor:"6,keyasint"`
	From     string       `json:"from,omitempty" cbor:"7,keyasint,omitempty"`
	To       string       `json:"to,omitempty" cbor:"8,keyasint,omitempty"`
	Why      string       `json:"why,omitempty" cbor:"9,keyasint,omitempty"`
	Code     int          `json:"code,omitempty" cbor:"10,keyasint,omitempty"`
	Version  mesh.Version `json:"version,omitempty" cbor:"11,keyasint,omitempty"`
	Lost     uint64       `json:"lost,omitempty" cbor:"12,keyasint,omitempty"` // entries dropped before this one
}

// AuditTable is the platform table of the audit trail. Keys are
// <stream>/<sequence as 20 digits>.
const AuditTable = "audit"

// AuditRing carries entries to the audit duty.
type AuditRing = kernel.Ring[AuditEntry]
