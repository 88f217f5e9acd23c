package replica

import "time"

const (
	// minBatchWindow and maxBatchWindow bound the pause of a reader of the nodes' table
	// after a change. The platform's shortest bound on such changes is 2 s.
	minBatchWindow = 400 * time.Millisecond
	maxBatchWindow = time.Second
	// batchWindowPerRow lets the pause grow with the mesh, since rows then change more
	// often.
	batchWindowPerRow = 2 * time.Millisecond
)

// BatchWindow returns the pause of a reader of the nodes' table after a change, so that
// rows that change soon after each other are read together.
//
// Load pattern: many nodes are restarted or replaced one after the other. At 12 nodes a
// reader makes at most 2.5 calls a second, at 66 nodes 1.9, from 300 nodes on 1.
func BatchWindow(rows int) time.Duration {
	return min(minBatchWindow+time.Duration(rows)*batchWindowPerRow, maxBatchWindow)
}
