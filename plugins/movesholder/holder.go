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
	// scanInterval is how often the nodes of the first two ranks look for
	// moves whose row never reached the links: 2 nodes / 5 s = 0.4 reads/s.
	scanInterval = 5 * time.Second
	scanRanks    = 2
	// firstScan is short because calls wait until some node knows the moves.
	// The nodes of a mesh that starts have found each other by then.
	firstScan = time.Second
	// takeRanks is how many nodes try to take a free lease at all.
	takeRanks = 6
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

// duty owns the rows that this node leads. Its platform calls block only
// itself; the guard learns of rows through a ring that never waits.
type duty struct {
	deps
	rows rows
	led  map[mesh.MoveID]*led
}

// led is a move whose lease this node took in this life of its process.
type led struct {
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
		deps: d, led: map[mesh.MoveID]*led{},
		rows: rows{table: d.Table, timeout: d.Settings.PlatformTimeout.Duration},
	}
}

func (h *duty) run(ctx context.Context) error {
	decide, scan := time.NewTicker(decideInterval), time.NewTimer(firstScan)
	defer decide.Stop()
	defer scan.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case ask := <-h.Start.C():
			answer(ask, func(q port.StartMove) (mesh.Move, error) { return h.start(ctx, q, time.Now()) })
		case ask := <-h.TakeBack.C():
			answer(ask, func(q port.TakeBack) (mesh.Move, error) { return h.takeBack(ctx, q, time.Now()) })
		case <-scan.C:
			h.scan(ctx)
			scan.Reset(scanInterval)
		case now := <-decide.C:
			h.decide(ctx, now)
		}
	}
}

func answer[Q any](ask kernel.Request[Q, mesh.Move], handle func(Q) (mesh.Move, error)) {
	row, err := handle(ask.Payload)
	if err != nil {
		ask.Fail(err)
		return
	}
	ask.Respond(row)
}

// publish passes rows to the guard, which spreads them. The ring replaces its
// oldest item, so this never waits.
func (h *duty) publish(ctx context.Context, list ...mesh.Move) {
	_ = h.Held.Send(ctx, port.HeldMoves{Moves: list})
}

// scan looks for moves that the links did not bring here.
func (h *duty) scan(ctx context.Context) {
	view := h.View.Load()
	if view == nil || moves.LeaseRank("", view.Self, view) >= scanRanks {
		return
	}
	list, err := h.rows.all(ctx)
	if err != nil {
		h.Logger.Warn().Int("code", result.Of(err).Number).Err(err).Msg("moves can't be read")
		return
	}
	h.publish(ctx, list...)
}

// decide takes free leases in turn and writes the next step of each move that
// this node leads. The first platform call without an answer ends the round,
// so that requests wait for one timeout and not for one for each move.
func (h *duty) decide(ctx context.Context, now time.Time) {
	view, table := h.View.Load(), h.Moves.Load()
	if view == nil || table == nil {
		return
	}
	for i := range table.Moves {
		row := &table.Moves[i]
		var err error
		if l := h.led[row.ID]; l != nil {
			err = h.advance(ctx, view.Self, l, row, now)
		} else if h.inTurn(row, view, now) {
			err = h.take(ctx, view.Self, row.ID, now)
		}
		if err != nil {
			h.Logger.Warn().Str("move", string(row.ID)).Int("code", result.Of(err).Number).Err(err).
				Msg("no step of the move was written")
		}
		if unanswered(err) {
			return
		}
	}
}

func unanswered(err error) bool {
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
	if row.Holder == view.Self { // of an earlier life of this node
		return true
	}
	return rank < takeRanks && moves.CanAcquireLeaseInTurn(row, view.Self, rank, now)
}

// take takes the lease over on the platform.
func (h *duty) take(ctx context.Context, self mesh.NodeID, id mesh.MoveID, now time.Time) error {
	row, revision, err := h.rows.get(ctx, id)
	if err != nil {
		return err
	}
	next, err := moves.AcquireLease(&row, self, now)
	if err != nil {
		h.publish(ctx, row)
		return err
	}
	if err := h.rows.write(ctx, revision, &row, &next, entry(self, "take lease", now)); err != nil {
		return err
	}
	h.led[id] = &led{holder: moves.NewHolder(h.Decisions), row: next}
	h.Logger.Info().Str("move", string(id)).Uint64("epoch", next.Epoch).Msg("lease taken")
	h.publish(ctx, next)
	return nil
}

// advance writes the next step of a move, if there is one. A row that was
// changed by another node is taken over; one of a later epoch ends the lead.
func (h *duty) advance(ctx context.Context, self mesh.NodeID, l *led, seen *mesh.Move, now time.Time) error {
	if seen.Newer(&l.row) {
		l.row = *seen
	}
	if l.row.Holder != self || l.row.Phase.Ended() || !now.Before(l.row.LeaseUntil) {
		delete(h.led, l.row.ID)
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
	if current.Newer(&l.row) { // taken back by an operator, or an answer was lost
		l.row = current
		h.publish(ctx, current)
		return nil
	}
	if err := moves.CheckStep(&current, &next); err != nil {
		delete(h.led, l.row.ID)
		return err
	}
	if err := h.rows.write(ctx, revision, &current, &next, entry(self, "step", now)); err != nil {
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

func entry(who mesh.NodeID, action string, now time.Time) port.AuditEntry {
	return port.AuditEntry{Time: now, Who: string(who), Action: action}
}
