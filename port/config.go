package port

import (
	"time"

	"teaselring/kernel"
	"teaselring/mesh"
)

// SnapshotCell holds the configuration in force; nil before the first one.
// Its owner is the config duty.
type SnapshotCell = kernel.Cell[mesh.Snapshot]

// ConfigStatus is what a node reports about its configuration.
type ConfigStatus struct {
	InForce       mesh.Version `json:"in_force"`
	Refused       mesh.Version `json:"refused,omitempty"` // newest version that the node could not take
	Code          int          `json:"code,omitempty"`    // why
	Reason        string       `json:"reason,omitempty"`
	HeadConfirmed time.Time    `json:"head_confirmed"` // when the platform last confirmed InForce as its head
	Source        string       `json:"source"`         // platform or peer
}

// ConfigStatusCell is owned by the config duty.
type ConfigStatusCell = kernel.Cell[ConfigStatus]

// Publish asks the publisher to apply records.
type Publish struct {
	Publication string       // id chosen by the operator's program; repeated when an answer was lost
	Base        mesh.Version // version that the operator's change was made against; 0: the newest
	Records     []mesh.Record
	Remove      []mesh.RecordKey
	By          string
	Why         string
	DryRun      bool // check only
}

// Published is the answer to Publish.
type Published struct {
	Version mesh.Version
	Merged  bool // other changes since Base were kept
}

// PublishRing leads from the operators' edge to the publisher.
type PublishRing = kernel.Ring[kernel.Ask[Publish, Published]]

// History asks the publisher for an older version, as the platform keeps it.
type History struct{ Version mesh.Version }

// HistoryRing leads from the operators' edge to the publisher.
type HistoryRing = kernel.Ring[kernel.Ask[History, mesh.Snapshot]]

// ConfigHead is what the platform's row config/head says: which version is the
// newest and which object holds it.
type ConfigHead struct {
	Version mesh.Version // 0: nothing has been published
	Digest  mesh.Digest
}

// HeadReport is the outcome of one read of the head from the platform.
type HeadReport struct {
	Read time.Time // when the read began
	Head ConfigHead
	// Content is the canonical content of the head's object. It is nil when the
	// reader knows that the version is held already, or on an error.
	Content []byte
	// Err says why the head could not be read or, when Head.Version is set, why
	// its object could not.
	Err error
}

// HeadRing leads from the head reader and the publisher to the config duty.
type HeadRing = kernel.Ring[HeadReport]
