package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"teaselring/decision/moves"
	"teaselring/mesh"
)

// declaredAt is the wall-clock time of the declaration.
var declaredAt = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// guarded runs the code under test: a guard on every node, and a holder for each
// move on the first node.
type guarded struct {
	rng      *rand.Rand
	guards   []*moves.Guard
	shares   [][]float64 // by node and service
	settings moves.Settings
	holders  map[mesh.ServiceID]*heldMove
	services []mesh.ServiceID
	// inboxes holds the rows and reports that arrive at each node in each of the
	// next ticks.
	inboxes        [][linkDelay + 1]delivery
	trace          io.Writer // nil: none
	ticksPerReport int       // ticks of the guard between reports of a node
	throttles      []*moves.ReportThrottle
	ticks          int
}

// delivery holds the rows and reports that arrive at a node in one tick.
type delivery struct {
	rows    []mesh.Move
	reports []mesh.Evidence
}

// heldMove is the state of one move at its holder.
type heldMove struct {
	holder     *moves.Holder
	row        mesh.Move // as on the platform
	doneAt     time.Duration
	revertedAt time.Duration // the move was taken back
	shownAt    time.Duration
}

func newGuarded(s moves.Settings, sc *scenario, seed uint64) *guarded {
	c := &guarded{
		settings: s, ticksPerReport: sc.ReportEvery,
		rng:     rand.New(rand.NewPCG(seed, 0x6c696e6b73)),
		holders: map[mesh.ServiceID]*heldMove{}, shares: make([][]float64, sc.Nodes),
		inboxes: make([][linkDelay + 1]delivery, sc.Nodes),
	}
	for i := range sc.Nodes {
		c.guards = append(c.guards, moves.NewGuard(s, nodeName(i), 1))
		c.throttles = append(c.throttles, moves.NewReportThrottle())
		c.shares[i] = make([]float64, len(sc.Service))
	}
	for i := range sc.Service {
		id := serviceID(i)
		c.services = append(c.services, id)
		row := moves.Declare(&mesh.Move{
			ID: mesh.MoveID("move-" + string(id)), Service: id, Old: oldVersion, New: newVersion,
			Target: declaredAt.Add(sc.Duration.Duration), By: "measure",
		}, declaredAt)
		row, _ = moves.AcquireLease(&row, nodeName(0), declaredAt)
		c.holders[id] = &heldMove{holder: moves.NewHolder(s), row: row}
		for n := range c.guards {
			c.guards[n].ApplyRows([]mesh.Move{row}, declaredAt)
		}
	}
	return c
}

func (c *guarded) share(node, svc int, _ time.Duration) float64 { return c.shares[node][svc] }

func (c *guarded) usesLatency() bool { return true }

func (c *guarded) observe(node int, o *mesh.Outcome, t time.Duration) {
	c.guards[node].Observe(o, declaredAt.Add(t))
}

func (c *guarded) members(view *mesh.View, t time.Duration) {
	for _, g := range c.guards {
		g.Members(view, declaredAt.Add(t))
	}
}

func (c *guarded) tick(t time.Duration, platformUp bool) {
	c.ticks++
	now := declaredAt.Add(t)
	slot := c.ticks % (linkDelay + 1)
	for n, g := range c.guards {
		inbox := &c.inboxes[n][slot]
		changed := g.ApplyRows(inbox.rows, now)
		for i := range inbox.reports {
			g.Receive(&inbox.reports[i])
		}
		inbox.rows, inbox.reports = inbox.rows[:0], inbox.reports[:0]
		if c.ticks%10 == n%10 {
			c.sendReports(n, g.Tick(now), t)
			changed = true
		}
		if changed {
			splits := g.Splits(now).ByService
			for i, id := range c.services {
				c.shares[n][i] = splits[id].Share
			}
		}
	}
	if c.ticks%10 == 5 && platformUp {
		c.runHolder(now, t)
	}
}

func (c *guarded) sendReports(from int, reports []mesh.Evidence, t time.Duration) {
	for _, v := range c.guards[from].Verdicts() {
		for _, h := range c.holders {
			if v.Bad && h.row.ID == v.Move && h.shownAt == 0 {
				h.shownAt = t
			}
		}
	}
	for i := range reports {
		if !c.throttles[from].ShouldSend(&reports[i], c.ticksPerReport) {
			continue
		}
		for n := range c.guards {
			if n != from {
				inbox := c.randomDelivery(n)
				inbox.reports = append(inbox.reports, reports[i])
			}
		}
	}
}

// randomDelivery returns the delivery to a node in one of the next linkDelay ticks.
func (c *guarded) randomDelivery(node int) *delivery {
	return &c.inboxes[node][(c.ticks+1+c.rng.IntN(linkDelay))%(linkDelay+1)]
}

// runHolder runs the holder's duty on the first node. It is not called during a
// platform outage, when the holder can't write.
func (c *guarded) runHolder(now time.Time, t time.Duration) {
	for _, id := range c.services {
		h := c.holders[id]
		if h.row.Phase.Ended() {
			continue
		}
		if !moves.HoldsLease(&h.row, nodeName(0), h.row.Epoch, now) {
			h.row, _ = moves.AcquireLease(&h.row, nodeName(0), now)
			c.sendRow(h.row)
			continue
		}
		next, changed := h.holder.Next(h.row, c.verdictOf(h.row.ID), now)
		if !changed {
			continue
		}
		if err := moves.CheckStep(&h.row, &next); err != nil {
			panic(err)
		}
		if c.trace != nil && next.Reason != h.row.Reason {
			fmt.Fprintf(c.trace, "%v %s %s share %.2f late %t: %s\n", t, id, next.Phase, next.Share, next.Late, next.Reason)
		}
		h.row = next
		c.recordEnd(h, t)
		c.sendRow(next)
	}
}

// verdictOf returns the verdict on the evidence that the first node has received.
func (c *guarded) verdictOf(id mesh.MoveID) *mesh.Verdict {
	for _, v := range c.guards[0].Verdicts() {
		if v.Move == id {
			return &v
		}
	}
	return &mesh.Verdict{Move: id}
}

func (c *guarded) sendRow(row mesh.Move) {
	for n := range c.guards {
		inbox := c.randomDelivery(n)
		inbox.rows = append(inbox.rows, row)
	}
}

func (c *guarded) recordEnd(h *heldMove, t time.Duration) {
	switch h.row.Phase {
	case mesh.MoveDone:
		h.doneAt = t
	case mesh.MoveTakingBack:
		if h.shownAt == 0 {
			h.shownAt = t
		}
	case mesh.MoveTakenBack:
		h.revertedAt = t
	}
}

func (c *guarded) doneAt(svc mesh.ServiceID) time.Duration      { return c.holders[svc].doneAt }
func (c *guarded) takenBackAt(svc mesh.ServiceID) time.Duration { return c.holders[svc].revertedAt }
func (c *guarded) shownAt(svc mesh.ServiceID) time.Duration     { return c.holders[svc].shownAt }
func (c *guarded) reason(svc mesh.ServiceID) string             { return c.holders[svc].row.Reason }
