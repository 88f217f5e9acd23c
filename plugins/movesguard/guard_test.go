package movesguard

import (
	"context"
	"io"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/decision/moves"
	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/wire"
)

func newTestGuard(node mesh.NodeID) *duty {
	d := deps{
		Settings: &Settings{Weight: 1, Interval: kernel.Span(time.Second), ReportBudget: 8000},
		Logger:   kernel.NewLogger(io.Discard),
		View:     &port.ViewCell{},
		Samples:  kernel.NewRing[mesh.Outcome]("guard.samples", 16, kernel.ReplaceOldest),
		Inbox:    kernel.NewRing[port.MovesMessage]("guard.inbox", 16, kernel.Refuse),
		Held:     kernel.NewRing[port.HeldMoves]("guard.held", 16, kernel.ReplaceOldest),
		Push:     kernel.NewRing[port.Push]("links.push", 2, kernel.ReplaceOldest),
		Splits:   &port.SplitsCell{}, Moves: &port.MovesCell{},
		Evidence: &port.EvidenceCell{}, Verdicts: &port.VerdictsCell{},
	}
	d.View.Store(&mesh.View{Self: node, Members: []mesh.Member{{Node: node, Incarnation: 7}}})
	return newGuard(d)
}

func row(share float64, step uint64, now time.Time) mesh.Move {
	return mesh.Move{
		ID: "m", Service: "svc", Old: "1", New: "2", Declared: now, Target: now.Add(time.Hour),
		Phase: mesh.MoveShifting, Share: share, Step: step, Epoch: 1, LeaseUntil: now.Add(moves.LeaseDuration),
	}
}

var _ = Describe("the guard duty", func() {
	now := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	ctx := context.Background()
	var g *duty
	BeforeEach(func() { g = newTestGuard("a") })

	It("publishes the split of a row and forwards the row once", func() {
		in := port.MovesMessage{From: "b", Message: wire.Moves{Moves: []mesh.Move{row(0.2, 2, now)}}}
		g.handleMessage(ctx, in, now)
		g.handleMessage(ctx, in, now)
		Expect(g.Splits.Load().ByService["svc"].Share).To(Equal(0.2))
		Expect(g.Push.Len()).To(Equal(1))
		Expect((<-g.Push.C()).Except).To(Equal(mesh.NodeID("b")))
	})

	// Copies of a report arrive over several links; forwarding each would flood
	// them.
	It("forwards a report only when it is new", func() {
		g.update(ctx, []mesh.Move{row(0.2, 2, now)}, "", now)
		<-g.Push.C()
		in := port.MovesMessage{From: "b", Message: wire.EvidenceReport{
			Evidence: mesh.Evidence{Move: "m", Node: "c", Incarnation: 1, Sequence: 4},
		}}
		g.handleMessage(ctx, in, now)
		g.handleMessage(ctx, in, now)
		Expect(g.Push.Len()).To(Equal(1))
	})

	// A cut must not wait for a link, nor a decrease of the share for the next row.
	It("reduces the share without a lease while the links are blocked", func() {
		g.update(ctx, []mesh.Move{row(0.2, 2, now)}, "", now)
		for i := range 20 {
			g.tick(ctx, now.Add(time.Duration(i)*time.Second))
		}
		stale := row(0.7, 3, now)
		g.update(ctx, []mesh.Move{stale}, "b", now.Add(21*time.Second))
		Expect(g.Splits.Load().ByService["svc"].Share).To(Equal(0.2))
		g.tick(ctx, now.Add(time.Hour))
		Expect(g.Splits.Load().ByService["svc"].Share).To(BeZero())
	})

	It("sends the node's incarnation in its reports", func() {
		g.update(ctx, []mesh.Move{row(0.2, 2, now)}, "", now)
		g.tick(ctx, now.Add(time.Second))
		Expect(g.Evidence.Load().Reports[0].Incarnation).To(Equal(mesh.Incarnation(7)))
		Expect(g.Verdicts.Load().Verdicts[0].Move).To(Equal(mesh.MoveID("m")))
	})
})
