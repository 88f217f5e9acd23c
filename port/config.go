package port

import (
	"time"

	"teaselring/kernel"
	"teaselring/mesh"
)

// SnapshotCell holds the configuration in force; nil before the first one. It is
// owned by the config duty.
type SnapshotCell = kernel.Cell[mesh.Snapshot]

// ConfigStatus is what a node reports about its configuration.
type ConfigStatus struct {
	InForce       mesh.Version `json:"in_force"`
	Refused       mesh.Version `json:"refused,omitempty"` // newest version that the node refused
	Code          int          `json:"code,omitempty"`    // of the refusal
	Reason        string       `json:"reason,omitempty"`
	HeadConfirmed time.Time    `json:"head_confirmed"` // when the platform last confirmed InForce as its head
	Source        string       `json:"source"`         // platform or peer
}

// ConfigStatusCell is owned by the config duty.
type ConfigStatusCell = kernel.Cell[ConfigStatus]

// Publish requests the publisher to apply records.
type Publish struct {
	Publication string       // id chosen by the operator's program; the same when retried after a lost response
	Base        mesh.Version // version that the operator's change is based on; 0: the newest
	Records     []mesh.Record
	Remove      []mesh.RecordKey
	By          string
	Why         string
	DryRun      bool // validate only
}

// Published is the response to Publish.
type Published struct {
	Version mesh.Version
	Merged  bool // other changes since Base were merged
}

// PublishRing leads from the operators' edge to the publisher.
type PublishRing = kernel.Ring[kernel.Request[Publish, Published]]

// History requests an older version from the publisher, as the platform stores it.
type History struct{ Version mesh.Version }

// HistoryRing leads from the operators' edge to the publisher.
type HistoryRing = kernel.Ring[kernel.Request[History, mesh.Snapshot]]

// ConfigHead is the content of the platform's row config/head: the newest version
// and the digest of the object that holds it.
type ConfigHead struct {
	Version mesh.Version // 0: nothing has been published
	Digest  mesh.Digest
}

// HeadReport is the outcome of one read of the head from the platform.
type HeadReport struct {
	ReadAt time.Time // when the read started
	Head   ConfigHead
	// Content is the canonical content of the head's object. It is nil on an error or
	// when the reader knows that the config duty already holds the version.
	Content []byte
	// Err is the error of reading the head or, when Head.Version is set, of reading
	// its object.
	Err error
}

// HeadRing leads from the head reader and the publisher to the config duty.
type HeadRing = kernel.Ring[HeadReport]
