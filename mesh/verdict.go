package mesh

import "time"

// Verdict is the assessment of a move's new version from the pooled evidence of all
// nodes.
type Verdict struct {
	Move   MoveID
	Bad    bool
	Reason string // set when Bad
	// GoodEvidence[i] is the evidence, in nats, that the failure rate of the new
	// version exceeds that of the old one by less than moves.Excesses[i].
	GoodEvidence [5]float64
	Recheck      bool // responses got worse at full share; half share shows which version causes it
	// Rechecked is when a recheck was last active; zero: never.
	Rechecked time.Time
	Calls     uint32 // of the new version
	Nodes     int    // that have sent evidence
	Cuts      int    // nodes that have cut the new version's share to zero
}
