package movesguard

import (
	"context"
	"time"

	"teaselring/decision/moves"
	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/wire"
)

// guard owns the local evidence and the division of calls.
type guard struct {
	in     dutyIn
	window time.Duration
	guard  *moves.Guard // nil until the view shows this life of the node
	heard  map[reporter]uint64
	ticks  int
	// synced is set once the moves of the mesh are known. Splits are published
	// only then: a node that has just started must not send calls to a version
	// that was taken back.
	synced bool
	alone  int // ticks without any other live member
}

// reporter identifies the series of reports of one life of a node on a move.
type reporter struct {
	move        mesh.MoveID
	node        mesh.NodeID
	incarnation mesh.Incarnation
}

func newDuty(s *Settings, in dutyIn) kernel.Duty {
	g := &guard{in: in, window: s.Window.Duration, heard: map[reporter]uint64{}}
	return kernel.Duty{
		Name: "guard", Owns: "local evidence, local share, newest known moves",
		In:  []string{"guard.samples", "guard.messages", "guard.held"},
		Out: []string{"links.push"}, Run: g.run,
	}
}

func (g *guard) run(ctx context.Context) error {
	ticker := time.NewTicker(g.window)
	defer ticker.Stop()
	for {
		select {
		case o := <-g.in.Samples.C():
			if g.guard != nil {
				g.guard.Observe(&o, time.Now())
			}
		case m := <-g.in.Messages.C():
			g.receive(ctx, m)
		case held := <-g.in.Held.C():
			g.synced = true
			g.rows(ctx, held.Moves, "")
		case now := <-ticker.C:
			g.tick(ctx, now)
		case <-ctx.Done():
			return nil
		}
	}
}

// ready creates the decision state once the incarnation is known: reports of
// two lives must not be mixed.
func (g *guard) ready() bool {
	if g.guard != nil {
		return true
	}
	view := g.in.View.Load()
	if view == nil {
		return false
	}
	self := view.Member(g.in.Identity.Node)
	if self == nil {
		return false
	}
	g.guard = moves.NewGuard(g.in.Settings, g.in.Identity.Node, self.Incarnation)
	return true
}

func (g *guard) receive(ctx context.Context, m port.MovesIn) {
	if !g.ready() {
		return
	}
	switch message := m.Message.(type) {
	case wire.Moves:
		if message.Request {
			g.push(ctx, port.Push{To: m.From, Message: wire.Moves{Moves: g.guard.Table()}})
			return
		}
		g.synced = true
		g.rows(ctx, message.Moves, m.From)
	case wire.EvidenceReport:
		g.hear(ctx, message, m.From)
	}
}

// hear takes a report and passes it on. A report that is not newer than one of
// the same life is dropped, which ends the flood.
func (g *guard) hear(ctx context.Context, m wire.EvidenceReport, from mesh.NodeID) {
	e := m.Evidence
	key := reporter{e.Move, e.Node, e.Incarnation}
	if e.Node == g.in.Identity.Node || e.Sequence <= g.heard[key] {
		return
	}
	g.heard[key] = e.Sequence
	g.guard.Hear(&e)
	g.push(ctx, port.Push{Except: from, Message: m})
}

// rows takes over newer rows, publishes them and passes them on.
func (g *guard) rows(ctx context.Context, rows []mesh.Move, from mesh.NodeID) {
	if !g.ready() || !g.guard.Rows(rows, time.Now()) {
		return
	}
	for _, m := range rows {
		g.in.Logger.Info().Str("move", string(m.ID)).Str("phase", string(m.Phase)).
			Float64("share", m.Share).Uint64("step", m.Step).Str("reason", m.Reason).Msg("move changed")
	}
	g.publish(time.Now())
	g.push(ctx, port.Push{Except: from, Message: wire.Moves{Moves: rows}})
}

func (g *guard) tick(ctx context.Context, now time.Time) {
	if !g.ready() {
		return
	}
	if view := g.in.View.Load(); view != nil {
		g.guard.Members(view, now)
	}
	if !g.synced {
		g.sync(ctx)
	}
	reports := g.guard.Tick(now)
	g.publish(now)
	g.forgetEnded()
	g.ticks++
	if g.ticks%g.reportEvery() != 0 {
		return
	}
	for _, e := range reports {
		g.push(ctx, port.Push{Message: wire.EvidenceReport{Evidence: e}})
	}
	// Rows are repeated so that a node that missed one, such as one that has
	// just linked, learns it within a report interval.
	if table := g.current(); len(table) > 0 {
		g.push(ctx, port.Push{Message: wire.Moves{Moves: table}})
	}
}

// aloneTicks is the number of windows after which a node without peers goes on
// without knowing any move.
const aloneTicks = 5

// sync asks the linked peers for the moves that they know.
func (g *guard) sync(ctx context.Context) {
	g.push(ctx, port.Push{Message: wire.Moves{Request: true}})
	if g.hasPeers() {
		g.alone = 0
		return
	}
	g.alone++
	g.synced = g.alone >= aloneTicks
}

func (g *guard) hasPeers() bool {
	view := g.in.View.Load()
	for i := range view.Members {
		if m := &view.Members[i]; m.State == mesh.NodeAlive && m.Node != g.in.Identity.Node {
			return true
		}
	}
	return false
}

// membersPerTick spreads reports over more windows in a large mesh: every
// report reaches every node, so their number grows with the square of the
// members otherwise.
const membersPerTick = 100

func (g *guard) reportEvery() int {
	if view := g.in.View.Load(); view != nil {
		return 1 + len(view.Members)/membersPerTick
	}
	return 1
}

// current returns the rows that other nodes may need: those of moves that have
// not ended, or whose target time is not long past.
func (g *guard) current() []mesh.Move {
	var rows []mesh.Move
	for _, m := range g.guard.Table() {
		if !m.Phase.Ended() || time.Since(m.Target) < time.Minute {
			rows = append(rows, m)
		}
	}
	return rows
}

func (g *guard) publish(now time.Time) {
	if g.synced {
		splits := g.guard.Splits(now)
		g.in.Splits.Store(&splits)
	}
	g.in.Moves.Store(&port.MoveTable{Moves: g.guard.Table()})
	g.in.Evidence.Store(&port.EvidenceTable{Reports: g.guard.Reports()})
	g.in.Verdicts.Store(&port.VerdictTable{Verdicts: g.guard.Verdicts()})
}

func (g *guard) forgetEnded() {
	ended := map[mesh.MoveID]bool{}
	for _, m := range g.guard.Table() {
		ended[m.ID] = m.Phase.Ended()
	}
	for key := range g.heard {
		if ended[key.move] {
			delete(g.heard, key)
		}
	}
}

func (g *guard) push(ctx context.Context, p port.Push) {
	if g.in.Push != nil {
		_ = g.in.Push.Send(ctx, p)
	}
}
