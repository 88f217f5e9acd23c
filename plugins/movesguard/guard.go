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

// duty owns the guard. It blocks only on its rings and its ticker, so a slow
// platform or link can't delay a cut.
type duty struct {
	deps
	guard      *moves.Guard // nil until the view has an entry of this node
	self       mesh.NodeID
	view       *mesh.View
	loggedCuts map[mesh.MoveID]bool // moves whose cut was logged
	ticks      int
	// synced is set once the move rows of the mesh are known. Splits are published
	// only then: a node that has just started must not send calls to a version
	// that was taken back.
	synced     bool
	ticksAlone int // ticks without another live member
	// throttle keeps the reports within the budget.
	throttle *moves.ReportThrottle
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
	return &duty{deps: d, loggedCuts: map[mesh.MoveID]bool{}, throttle: moves.NewReportThrottle()}
}

func (g *duty) run(ctx context.Context) error {
	ticker := time.NewTicker(g.Settings.Interval.Duration)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case o := <-g.Samples.C():
			g.observe(&o, time.Now())
		case in := <-g.Inbox.C():
			g.handleMessage(ctx, in, time.Now())
		case held := <-g.Held.C():
			g.synced = true
			g.update(ctx, held.Moves, "", time.Now())
		case now := <-ticker.C:
			g.tick(ctx, now)
		}
	}
}

// ready reports whether the guard exists, and passes a new view to it. The guard
// is created once the view has an entry of this node, whose incarnation the
// reports carry.
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

func (g *duty) observe(o *mesh.Outcome, now time.Time) {
	if g.ready(now) {
		g.guard.Observe(o, now)
	}
}

func (g *duty) handleMessage(ctx context.Context, in port.MovesMessage, now time.Time) {
	switch m := in.Message.(type) {
	case wire.Moves:
		if m.Request {
			g.sendRows(ctx, in.From, now)
			return
		}
		g.synced = true
		g.update(ctx, m.Moves, in.From, now)
	case wire.EvidenceReport:
		if g.ready(now) && g.guard.Receive(&m.Evidence) {
			g.send(ctx, m, in.From)
		}
	}
}

// update applies newer rows and forwards them to all links but the one they came
// from.
func (g *duty) update(ctx context.Context, update []mesh.Move, from mesh.NodeID, now time.Time) {
	if !g.ready(now) || !g.guard.ApplyRows(update, now) {
		return
	}
	g.guard.Members(g.view, now)
	g.publish(now)
	g.send(ctx, wire.Moves{Moves: update}, from)
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
		g.logCut(e)
		ticksPerReport := moves.TicksPerReport(len(g.view.Members), len(e.Routes), budget/len(reports))
		if g.throttle.ShouldSend(e, ticksPerReport) {
			g.send(ctx, wire.EvidenceReport{Evidence: *e}, "")
		}
	}
	g.ticks++
	if g.ticks%antiEntropyTicks == 0 {
		g.send(ctx, wire.Moves{Moves: g.guard.CurrentRows()}, "")
	}
	g.publish(now)
}

const (
	// antiEntropyTicks is the number of ticks between two broadcasts of all rows,
	// for nodes that missed a message. Nodes that start request the rows.
	antiEntropyTicks = 30
	// maxTicksAlone is the number of ticks for which a node without peers waits for
	// move rows.
	maxTicksAlone = 5
)

// sync requests the move rows of the linked peers.
func (g *duty) sync(ctx context.Context) {
	g.send(ctx, wire.Moves{Request: true}, "")
	if g.hasPeers() {
		g.ticksAlone = 0
		return
	}
	g.ticksAlone++
	g.synced = g.ticksAlone >= maxTicksAlone
}

func (g *duty) hasPeers() bool {
	for i := range g.view.Members {
		if m := &g.view.Members[i]; m.State == mesh.NodeAlive && m.Node != g.self {
			return true
		}
	}
	return false
}

// sendRows sends all rows to a node that requested them. A node that is not
// synced itself does not respond.
func (g *duty) sendRows(ctx context.Context, to mesh.NodeID, now time.Time) {
	if g.synced && g.ready(now) {
		_ = g.Push.Send(ctx, port.Push{To: to, Message: wire.Moves{Moves: g.guard.CurrentRows()}})
	}
}

func (g *duty) logCut(e *mesh.Evidence) {
	if e.Cut && !g.loggedCuts[e.Move] {
		g.loggedCuts[e.Move] = true
		g.Logger.Warn().Str("move", string(e.Move)).Str("reason", e.Reason).
			Msg("new upstream version cut on this node")
	}
}

// send never blocks: a full ring replaces its oldest item, and the next report
// makes up for the lost one.
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
