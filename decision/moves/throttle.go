package moves

import (
	"slices"

	"teaselring/mesh"
)

// ReportThrottle decides which of a node's reports are sent, so that the
// reports of all nodes stay within the control plane's budget. A report that
// announces a cut or a recheck is sent at once. A report without new calls is
// sent only to keep receivers from taking a new baseline.
type ReportThrottle struct {
	lastSent map[mesh.MoveID]mesh.Evidence
}

// NewReportThrottle returns a throttle that has sent nothing.
func NewReportThrottle() *ReportThrottle {
	return &ReportThrottle{lastSent: map[mesh.MoveID]mesh.Evidence{}}
}

// ShouldSend reports whether e should be sent when a report is due every n
// ticks, and if so records it as sent. n is capped at maxReportGap: receivers
// take a report after a longer gap as a new baseline.
func (c *ReportThrottle) ShouldSend(e *mesh.Evidence, n int) bool {
	last, ok := c.lastSent[e.Move]
	gap := e.Sequence - last.Sequence
	due := gap >= maxReportGap || gap >= uint64(n) && !slices.Equal(e.Routes, last.Routes)
	if ok && !due && e.Cut == last.Cut && e.Recheck == last.Recheck {
		return false
	}
	c.lastSent[e.Move] = mesh.Evidence{
		Sequence: e.Sequence, Cut: e.Cut, Recheck: e.Recheck, Routes: slices.Clone(e.Routes),
	}
	return true
}

// Sizes of an encoded report in bytes.
const (
	reportBytes = 60
	routeBytes  = 105
	// messagesPerReport is how many messages a node sends and receives for one
	// report: 10 to 14 with 12 to 150 nodes (docs/CAPACITY.md).
	// Each node has about 8 links and forwards reports that are new to it.
	messagesPerReport = 12
)

// TicksPerReport returns the interval in ticks between a node's reports on a
// move with the given numbers of reporting nodes and routes, for a budget in
// bytes per tick. Above about 10 × budget / (messagesPerReport × report size)
// nodes, the cap of ShouldSend exceeds the budget.
func TicksPerReport(nodes, routes, budget int) int {
	size := reportBytes + routes*routeBytes
	return max(1, (nodes*size*messagesPerReport+budget-1)/max(budget, 1))
}
