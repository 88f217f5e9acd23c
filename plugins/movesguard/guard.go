package movesguard

import (
	"context"
	"time"

	"github.com/phuslu/log"
	"go.uber.org/fx"

	"teaselring/decision/moves"
	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/wire"
)

type deps struct {
	fx.In
	Settings *Settings
	Logger   *log.Logger
	View     *port.ViewCell
	Samples  *port.SampleRing
	Inbox    *port.MovesInbox
	Held     *port.HeldMovesRing
	Push     *port.PushRing
	Splits   *port.SplitsCell
	Moves    *port.MovesCell
	Evidence *port.EvidenceCell
	Verdicts *port.VerdictsCell
}

// duty owns the guard. It never waits for anything but its rings and its
// ticker, so a slow platform or link can't delay a cut.
type duty struct {
	deps
	guard *moves.Guard // nil until the node knows itself
	self  mesh.NodeID
	view  *mesh.View
	cut   map[mesh.MoveID]bool // cuts that were logged
	ticks int
	// synced is set once the moves of the mesh are known. Splits are published
	// only then: a node that has just started must not send calls to a version
	// that was taken back.
	synced bool
	alone  int // ticks without another live member
	// cadence keeps the reports within the budget.
	cadence *moves.ReportThrottle
}

func newDuty(d deps) kernel.Duty {
	g := newGuard(d)
	return kernel.Duty{
		Name: "guard", Owns: "local evidence, local share",
		In:  []string{"guard.samples", "guard.inbox", "guard.held"},
		Out: []string{"links.push"},
		Run: g.run,
	}
}

func newGuard(d deps) *duty {
	return &duty{deps: d, cut: map[mesh.MoveID]bool{}, cadence: moves.NewReportThrottle()}
}

func (g *duty) run(ctx context.Context) error {
	ticker := time.NewTicker(g.Settings.Interval.Duration)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case o := <-g.Samples.C():
			g.sample(&o, time.Now())
		case in := <-g.Inbox.C():
			g.message(ctx, in, time.Now())
		case held := <-g.Held.C():
			g.synced = true
			g.rows(ctx, held.Moves, "", time.Now())
		case now := <-ticker.C:
			g.tick(ctx, now)
		}
	}
}

// ready creates the guard as soon as the node finds itself in its view, which
// tells the incarnation that its reports carry.
func (g *duty) ready(now time.Time) bool {
	view := g.View.Load()
	if view == nil {
		return false
	}
	if g.guard == nil {
		for i := range view.Members {
			if m := &view.Members[i]; m.Node == view.Self {
				g.self = m.Node
				g.guard = moves.NewGuard(g.Settings.decisions(), m.Node, m.Incarnation)
			}
		}
	}
	if g.guard != nil && view != g.view {
		g.view = view
		g.guard.Members(view, now)
	}
	return g.guard != nil
}

func (g *duty) sample(o *mesh.Outcome, now time.Time) {
	if g.ready(now) {
		g.guard.Observe(o, now)
	}
}

func (g *duty) message(ctx context.Context, in port.MovesMessage, now time.Time) {
	switch m := in.Message.(type) {
	case wire.Moves:
		if m.Request {
			g.answer(ctx, in.From, now)
			return
		}
		g.synced = true
		g.rows(ctx, m.Moves, in.From, now)
	case wire.EvidenceReport:
		if g.ready(now) && g.guard.Receive(&m.Evidence) {
			g.send(ctx, m, in.From)
		}
	}
}

// rows takes over newer rows and passes them on to all links but the one they
// came from.
func (g *duty) rows(ctx context.Context, rows []mesh.Move, from mesh.NodeID, now time.Time) {
	if !g.ready(now) || !g.guard.ApplyRows(rows, now) {
		return
	}
	g.guard.Members(g.view, now)
	g.publish(now)
	g.send(ctx, wire.Moves{Moves: rows}, from)
}

func (g *duty) tick(ctx context.Context, now time.Time) {
	if !g.ready(now) {
		return
	}
	if !g.synced {
		g.sync(ctx)
	}
	reports := g.guard.Tick(now)
	budget := int(float64(g.Settings.ReportBudget) * g.Settings.Interval.Seconds())
	for i := range reports {
		e := &reports[i]
		g.note(e)
		every := moves.TicksPerReport(len(g.view.Members), len(e.Routes), budget/len(reports))
		if g.cadence.ShouldSend(e, every) {
			g.send(ctx, wire.EvidenceReport{Evidence: *e}, "")
		}
	}
	g.ticks++
	if g.ticks%repairTicks == 0 {
		g.send(ctx, wire.Moves{Moves: g.guard.CurrentRows()}, "")
	}
	g.publish(now)
}

const (
	// repairTicks is how many ticks pass until the rows are sent again, for
	// nodes that missed a message. Nodes that start ask for them.
	repairTicks = 30
	// aloneTicks is how many ticks a node without peers waits for news of moves.
	aloneTicks = 5
)

// sync asks the linked peers for the moves that they know.
func (g *duty) sync(ctx context.Context) {
	g.send(ctx, wire.Moves{Request: true}, "")
	if g.hasPeers() {
		g.alone = 0
		return
	}
	g.alone++
	g.synced = g.alone >= aloneTicks
}

func (g *duty) hasPeers() bool {
	for i := range g.view.Members {
		if m := &g.view.Members[i]; m.State == mesh.NodeAlive && m.Node != g.self {
			return true
		}
	}
	return false
}

// answer sends all known rows to a node that asks for them. A node that does
// not know them itself yet stays silent.
func (g *duty) answer(ctx context.Context, to mesh.NodeID, now time.Time) {
	if g.synced && g.ready(now) {
		_ = g.Push.Send(ctx, port.Push{To: to, Message: wire.Moves{Moves: g.guard.CurrentRows()}})
	}
}

func (g *duty) note(e *mesh.Evidence) {
	if e.Cut && !g.cut[e.Move] {
		g.cut[e.Move] = true
		g.Logger.Warn().Str("move", string(e.Move)).Str("reason", e.Reason).
			Msg("new upstream version cut on this node")
	}
}

// send never waits: the ring replaces its oldest item when it is full, and
// the next report repairs what was lost.
func (g *duty) send(ctx context.Context, m wire.Message, except mesh.NodeID) {
	_ = g.Push.Send(ctx, port.Push{Except: except, Message: m})
}

func (g *duty) publish(now time.Time) {
	if g.synced {
		splits := g.guard.Splits(now)
		g.Splits.Store(&splits)
	}
	g.Moves.Store(&port.MoveTable{Moves: g.guard.CurrentRows()})
	g.Evidence.Store(&port.EvidenceTable{Reports: g.guard.Reports()})
	g.Verdicts.Store(&port.VerdictTable{Verdicts: g.guard.Verdicts()})
}
