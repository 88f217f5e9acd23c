package mesh

import "time"

// Verdict is what the pooled evidence of all nodes says about the new version
// of a move.
type Verdict struct {
	Move   MoveID
	Bad    bool
	Reason string // set when Bad
	// Good is the evidence, in nats, that the new version does not fail more
	// often than the old one by the excess of the same index in
	// moves.Excesses.
	Good    [5]float64
	Recheck bool // answers got worse at full share; half share shows by which version
	// Rechecked is when a recheck was last in force; zero: never.
	Rechecked time.Time
	Calls     uint32 // of the new version
	Nodes     int    // that have reported
	Cuts      int    // of them that have cut the new version
}
