package movesholder

import (
	"context"
	"time"

	"github.com/phuslu/log"
	"go.uber.org/fx"

	"teaselring/decision/moves"
	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/result"
)

const (
	decideInterval = time.Second
	// scanInterval is the interval at which the nodes of the first two ranks
	// read the table, for moves whose row was never sent on a link:
	// 2 nodes / 5 s = 0.4 reads/s.
	scanInterval = 5 * time.Second
	scanRanks    = 2
	// firstScanDelay is short because calls wait until some node has read the
	// moves. The nodes of a starting mesh have discovered each other by then.
	firstScanDelay = time.Second
	// acquireRanks is the number of nodes that try to acquire a free lease.
	acquireRanks = 6
)

type deps struct {
	fx.In
	Settings *Settings
	// Decisions are the settings of decision/moves, from [moves.guard].
	Decisions moves.Settings
	Logger    *log.Logger
	Table     port.Table
	View      *port.ViewCell
	Moves     *port.MovesCell
	Verdicts  *port.VerdictsCell
	Held      *port.HeldMovesRing
	Start     *port.StartMoveRing
	TakeBack  *port.TakeBackRing
}

// duty owns this node's copy of the rows of moves that it leads. Platform calls
// block only this duty; the guard receives rows through a ring that never blocks.
type duty struct {
	deps
	rows       rows
	leadership map[mesh.MoveID]*leadership
}

// leadership is the state of a move whose lease this process acquired.
type leadership struct {
	holder *moves.Holder
	row    mesh.Move
}

func newDuty(d deps) kernel.Duty {
	h := newHolder(d)
	return kernel.Duty{
		Name: "holder", Owns: "its copy of the move rows that it leads",
		In:  []string{"holder.start", "holder.take-back"},
		Out: []string{"guard.held"},
		Run: h.run,
	}
}

func newHolder(d deps) *duty {
	return &duty{
		deps: d, leadership: map[mesh.MoveID]*leadership{},
		rows: rows{table: d.Table, timeout: d.Settings.PlatformTimeout.Duration},
	}
}

func (h *duty) run(ctx context.Context) error {
	decide, scan := time.NewTicker(decideInterval), time.NewTimer(firstScanDelay)
	defer decide.Stop()
	defer scan.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case request := <-h.Start.C():
			respond(request, func(q port.StartMove) (mesh.Move, error) { return h.start(ctx, q, time.Now()) })
		case request := <-h.TakeBack.C():
			respond(request, func(q port.TakeBack) (mesh.Move, error) { return h.takeBack(ctx, q, time.Now()) })
		case <-scan.C:
			h.scan(ctx)
			scan.Reset(scanInterval)
		case now := <-decide.C:
			h.decide(ctx, now)
		}
	}
}

func respond[Q any](request kernel.Request[Q, mesh.Move], handle func(Q) (mesh.Move, error)) {
	row, err := handle(request.Payload)
	if err != nil {
		request.Fail(err)
		return
	}
	request.Respond(row)
}

// publish sends rows to the guard, which distributes them. It never blocks: a
// full ring replaces its oldest item.
func (h *duty) publish(ctx context.Context, list ...mesh.Move) {
	_ = h.Held.Send(ctx, port.HeldMoves{Moves: list})
}

// scan reads the table for moves whose rows did not arrive over a link.
func (h *duty) scan(ctx context.Context) {
	view := h.View.Load()
	if view == nil || moves.LeaseRank("", view.Self, view) >= scanRanks {
		return
	}
	list, err := h.rows.readAll(ctx)
	if err != nil {
		h.Logger.Warn().Int("code", result.Of(err).Number).Err(err).Msg("moves can't be read")
		return
	}
	h.publish(ctx, list...)
}

// decide acquires free leases in turn and writes the next step of each move that
// this node leads. The first platform call without a response ends the round, so
// that requests wait for one timeout and not for one per move.
func (h *duty) decide(ctx context.Context, now time.Time) {
	view, table := h.View.Load(), h.Moves.Load()
	if view == nil || table == nil {
		return
	}
	for i := range table.Moves {
		row := &table.Moves[i]
		var err error
		if l := h.leadership[row.ID]; l != nil {
			err = h.advance(ctx, view.Self, l, row, now)
		} else if h.inTurn(row, view, now) {
			err = h.acquireLease(ctx, view.Self, row.ID, now)
		}
		if err != nil {
			h.Logger.Warn().Str("move", string(row.ID)).Int("code", result.Of(err).Number).Err(err).
				Msg("move not advanced")
		}
		if platformUnavailable(err) {
			return
		}
	}
}

func platformUnavailable(err error) bool {
	switch result.Of(err) {
	case result.PlatformDown, result.PlatformUnknown, result.PlatformLimit:
		return true
	}
	return false
}

func (h *duty) inTurn(row *mesh.Move, view *mesh.View, now time.Time) bool {
	if row.Phase.Ended() {
		return false
	}
	rank := moves.LeaseRank(row.ID, view.Self, view)
	if row.Holder == view.Self { // acquired before a restart of this node
		return true
	}
	return rank < acquireRanks && moves.CanAcquireLeaseInTurn(row, view.Self, rank, now)
}

// acquireLease acquires the lease of a move on the platform.
func (h *duty) acquireLease(ctx context.Context, self mesh.NodeID, id mesh.MoveID, now time.Time) error {
	row, revision, err := h.rows.get(ctx, id)
	if err != nil {
		return err
	}
	next, err := moves.AcquireLease(&row, self, now)
	if err != nil {
		h.publish(ctx, row)
		return err
	}
	if err := h.rows.write(ctx, revision, &row, &next, auditEntry(self, "take lease", now)); err != nil {
		return err
	}
	h.leadership[id] = &leadership{holder: moves.NewHolder(h.Decisions), row: next}
	h.Logger.Info().Str("move", string(id)).Uint64("epoch", next.Epoch).Msg("lease acquired")
	h.publish(ctx, next)
	return nil
}

// advance writes the next step of a move, if there is one. A newer row of
// another node replaces the local one; a later epoch ends the leadership.
func (h *duty) advance(ctx context.Context, self mesh.NodeID, l *leadership, latest *mesh.Move, now time.Time) error {
	if latest.Newer(&l.row) {
		l.row = *latest
	}
	if l.row.Holder != self || l.row.Phase.Ended() || !now.Before(l.row.LeaseUntil) {
		delete(h.leadership, l.row.ID)
		return nil
	}
	next, changed := l.holder.Next(l.row, h.verdict(l.row.ID), now)
	if !changed {
		return nil
	}
	current, revision, err := h.rows.get(ctx, l.row.ID)
	if err != nil {
		return err
	}
	if current.Newer(&l.row) { // taken back by an operator, or a response was lost
		l.row = current
		h.publish(ctx, current)
		return nil
	}
	if err := moves.CheckStep(&current, &next); err != nil {
		delete(h.leadership, l.row.ID)
		return err
	}
	if err := h.rows.write(ctx, revision, &current, &next, auditEntry(self, "step", now)); err != nil {
		return err
	}
	h.log(&l.row, &next)
	l.row = next
	h.publish(ctx, next)
	return nil
}

func (h *duty) verdict(id mesh.MoveID) *mesh.Verdict {
	if table := h.Verdicts.Load(); table != nil {
		for i := range table.Verdicts {
			if table.Verdicts[i].Move == id {
				return &table.Verdicts[i]
			}
		}
	}
	return &mesh.Verdict{Move: id}
}

func (h *duty) log(from, next *mesh.Move) {
	if from.Reason != next.Reason {
		h.Logger.Info().Str("move", string(next.ID)).Str("phase", string(next.Phase)).
			Float64("share", next.Share).Bool("late", next.Late).Str("reason", next.Reason).Msg("move step")
	}
}

func auditEntry(who mesh.NodeID, action string, now time.Time) port.AuditEntry {
	return port.AuditEntry{Time: now, Who: string(who), Action: action}
}
