package port

import (
	"context"
	"fmt"

	"teaselring/mesh"
)

// ConfigStream is the audit stream of configuration versions. The sequence of
// an entry is the version, and its To is the key of the version's object.
const ConfigStream = "config"

// NodeStream names the audit stream of one incarnation of a node.
func NodeStream(node mesh.NodeID, incarnation mesh.Incarnation) string {
	return fmt.Sprintf("node/%s/%d", node, incarnation)
}

// AuditKey returns the key of an entry in AuditTable. Keys sort by sequence.
func AuditKey(stream string, sequence uint64) string {
	return fmt.Sprintf("%s/%020d", stream, sequence)
}

// AuditGap is a range of sequence numbers that are missing from a stream.
type AuditGap struct {
	From uint64 `json:"from"` // first missing
	To   uint64 `json:"to"`   // last missing
}

// AuditPage is a page of one audit stream, ordered by sequence.
type AuditPage struct {
	Entries []AuditEntry `json:"entries"`
	Gaps    []AuditGap   `json:"gaps,omitempty"`
	// Lost counts entries that were dropped before they were numbered.
	Lost uint64 `json:"lost,omitempty"`
	More bool   `json:"more"` // more entries follow
}

// AuditReader reads the audit trail from the platform.
type AuditReader interface {
	// Read returns at most limit entries of a stream with a sequence above
	// after. Streams begin at sequence 1.
	Read(ctx context.Context, stream string, after uint64, limit int) (AuditPage, error)
}
