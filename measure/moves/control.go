package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"teaselring/decision/moves"
	"teaselring/mesh"
)

// epoch is the wall clock at the declaration.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// decided runs the code under test: a guard on every node and one holder for
// each move, on the first node.
type decided struct {
	rng      *rand.Rand
	guards   []*moves.Guard
	shares   [][]float64 // of each node and service
	settings moves.Settings
	holders  map[mesh.ServiceID]*held
	order    []mesh.ServiceID
	// mail holds what arrives at each node in each of the next ticks.
	mail     [][linkDelay + 1]parcel
	trace    io.Writer // nil: none
	every    int       // ticks between reports
	cadences []*moves.ReportThrottle
	ticks    int
}

type parcel struct {
	rows    []mesh.Move
	reports []mesh.Evidence
}

type held struct {
	holder *moves.Holder
	row    mesh.Move // as on the platform
	done   time.Duration
	back   time.Duration
	shown  time.Duration
}

func newDecided(s moves.Settings, sc *scenario, seed uint64) *decided {
	d := &decided{
		settings: s, every: sc.ReportEvery,
		rng:     rand.New(rand.NewPCG(seed, 0x6c696e6b73)),
		holders: map[mesh.ServiceID]*held{}, shares: make([][]float64, sc.Nodes),
		mail: make([][linkDelay + 1]parcel, sc.Nodes),
	}
	for i := range sc.Nodes {
		d.guards = append(d.guards, moves.NewGuard(s, nodeName(i), 1))
		d.cadences = append(d.cadences, moves.NewReportThrottle())
		d.shares[i] = make([]float64, len(sc.Service))
	}
	for i := range sc.Service {
		id := newFleetID(i)
		d.order = append(d.order, id)
		row := moves.Declare(&mesh.Move{
			ID: mesh.MoveID("move-" + string(id)), Service: id, Old: oldVersion, New: newVersion,
			Target: epoch.Add(sc.Duration.Duration), By: "measure",
		}, epoch)
		row, _ = moves.AcquireLease(&row, nodeName(0), epoch)
		d.holders[id] = &held{holder: moves.NewHolder(s), row: row}
		for n := range d.guards {
			d.guards[n].ApplyRows([]mesh.Move{row}, epoch)
		}
	}
	return d
}

func (d *decided) share(node, svc int, _ time.Duration) float64 { return d.shares[node][svc] }

func (d *decided) usesLatency() bool { return true }

func (d *decided) observe(node int, o *mesh.Outcome, t time.Duration) {
	d.guards[node].Observe(o, epoch.Add(t))
}

func (d *decided) members(view *mesh.View, t time.Duration) {
	for _, g := range d.guards {
		g.Members(view, epoch.Add(t))
	}
}

func (d *decided) tick(t time.Duration, platformUp bool) {
	d.ticks++
	now := epoch.Add(t)
	slot := d.ticks % (linkDelay + 1)
	for n, g := range d.guards {
		p := &d.mail[n][slot]
		changed := g.ApplyRows(p.rows, now)
		for i := range p.reports {
			g.Receive(&p.reports[i])
		}
		p.rows, p.reports = p.rows[:0], p.reports[:0]
		if d.ticks%10 == n%10 {
			d.report(n, g.Tick(now), t)
			changed = true
		}
		if changed {
			splits := g.Splits(now).ByService
			for i, id := range d.order {
				d.shares[n][i] = splits[id].Share
			}
		}
	}
	if d.ticks%10 == 5 && platformUp {
		d.hold(now, t)
	}
}

func (d *decided) report(from int, reports []mesh.Evidence, t time.Duration) {
	for _, v := range d.guards[from].Verdicts() {
		for _, h := range d.holders {
			if v.Bad && h.row.ID == v.Move && h.shown == 0 {
				h.shown = t
			}
		}
	}
	for i := range reports {
		if !d.cadences[from].ShouldSend(&reports[i], d.every) {
			continue
		}
		for n := range d.guards {
			if n != from {
				p := d.later(n)
				p.reports = append(p.reports, reports[i])
			}
		}
	}
}

func (d *decided) later(node int) *parcel {
	return &d.mail[node][(d.ticks+1+d.rng.IntN(linkDelay))%(linkDelay+1)]
}

// hold is the holder's duty on the first node. It writes nothing while the
// platform is down.
func (d *decided) hold(now time.Time, t time.Duration) {
	for _, id := range d.order {
		h := d.holders[id]
		if h.row.Phase.Ended() {
			continue
		}
		if !moves.HoldsLease(&h.row, nodeName(0), h.row.Epoch, now) {
			h.row, _ = moves.AcquireLease(&h.row, nodeName(0), now)
			d.sendRow(h.row)
			continue
		}
		next, changed := h.holder.Next(h.row, d.verdictOf(h.row.ID), now)
		if !changed {
			continue
		}
		if err := moves.CheckStep(&h.row, &next); err != nil {
			panic(err)
		}
		if d.trace != nil && next.Reason != h.row.Reason {
			fmt.Fprintf(d.trace, "%v %s %s share %.2f late %t: %s\n", t, id, next.Phase, next.Share, next.Late, next.Reason)
		}
		h.row = next
		d.noteEnd(h, t)
		d.sendRow(next)
	}
}

// verdictOf returns the verdict on the evidence that the first node has received.
func (d *decided) verdictOf(id mesh.MoveID) *mesh.Verdict {
	for _, v := range d.guards[0].Verdicts() {
		if v.Move == id {
			return &v
		}
	}
	return &mesh.Verdict{Move: id}
}

func (d *decided) sendRow(row mesh.Move) {
	for n := range d.guards {
		p := d.later(n)
		p.rows = append(p.rows, row)
	}
}

func (d *decided) noteEnd(h *held, t time.Duration) {
	switch h.row.Phase {
	case mesh.MoveDone:
		h.done = t
	case mesh.MoveTakingBack:
		if h.shown == 0 {
			h.shown = t
		}
	case mesh.MoveTakenBack:
		h.back = t
	}
}

func (d *decided) done(svc mesh.ServiceID) time.Duration      { return d.holders[svc].done }
func (d *decided) takenBack(svc mesh.ServiceID) time.Duration { return d.holders[svc].back }
func (d *decided) shown(svc mesh.ServiceID) time.Duration     { return d.holders[svc].shown }
func (d *decided) reason(svc mesh.ServiceID) string           { return d.holders[svc].row.Reason }
