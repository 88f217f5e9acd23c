package moves

import (
	"slices"

	"teaselring/mesh"
)

// Cadence decides which of a node's reports are sent, so that the reports of
// all nodes stay within the control plane's budget. A report that tells of a
// cut or a recheck is sent at once; one that tells of no
// further call is sent only to keep receivers from taking a new baseline.
type Cadence struct {
	sent map[mesh.MoveID]mesh.Evidence
}

// NewCadence returns a cadence that has sent nothing.
func NewCadence() *Cadence { return &Cadence{sent: map[mesh.MoveID]mesh.Evidence{}} }

// Send reports whether e should be sent when a report is due at every n-th
// tick. More than maxReportGap ticks between two reports would make receivers
// take the second one as a new baseline, so n is bounded by that.
func (c *Cadence) Send(e *mesh.Evidence, n int) bool {
	last, known := c.sent[e.Move]
	gap := e.Sequence - last.Sequence
	due := gap >= maxReportGap || gap >= uint64(n) && !slices.Equal(e.Routes, last.Routes)
	if known && !due && e.Cut == last.Cut && e.Recheck == last.Recheck {
		return false
	}
	c.sent[e.Move] = mesh.Evidence{
		Sequence: e.Sequence, Cut: e.Cut, Recheck: e.Recheck, Routes: slices.Clone(e.Routes),
	}
	return true
}

// Sizes of an encoded report in bytes, measured with 1, 6 and 10 routes.
const (
	reportBytes = 60
	routeBytes  = 105
	// copies is how many messages a node sends and receives for one report: 10
	// to 14 were measured with 12 to 150 nodes (docs/CAPACITY.md). Each node
	// has about 8 links and forwards what is new to it.
	copies = 12
)

// Ticks returns how many ticks apart reports should be for a move with so many
// reporting nodes and routes, within a budget in bytes per tick. Above about
// 10 × budget / (copies × report size) nodes the bound of Send exceeds it.
func Ticks(nodes, routes, budget int) int {
	size := reportBytes + routes*routeBytes
	return max(1, (nodes*size*copies+budget-1)/max(budget, 1))
}
