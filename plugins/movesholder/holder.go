package movesholder

import (
	"context"
	"time"

	"teaselring/decision/config"
	"teaselring/decision/moves"
	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/result"
)

// holder owns its copy of the rows of moves and the leases that it took.
type holder struct {
	in       dutyIn
	interval time.Duration
	rows     rows
	leases   map[mesh.MoveID]*lease
}

// lease is a move that this life of the node leads.
type lease struct {
	epoch  uint64
	holder *moves.Holder
}

func newDuty(s *Settings, in dutyIn) kernel.Duty {
	h := &holder{in: in, interval: s.Interval.Duration, rows: rows{table: in.Table}, leases: map[mesh.MoveID]*lease{}}
	return kernel.Duty{
		Name: "holder", Owns: "its copy of the move rows, the leases it took",
		In: []string{"holder.starts", "holder.take-backs"}, Out: []string{"guard.held"}, Run: h.run,
	}
}

func (h *holder) run(ctx context.Context) error {
	ticker := time.NewTicker(h.interval)
	defer ticker.Stop()
	for {
		select {
		case ask := <-h.in.Starts.C():
			h.answer(ask.Fail, func() error { return h.start(ctx, ask) })
		case ask := <-h.in.TakeBacks.C():
			h.answer(ask.Fail, func() error { return h.takeBack(ctx, ask) })
		case <-ticker.C:
			h.tick(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

func (h *holder) answer(fail func(error) bool, do func() error) {
	if err := do(); err != nil {
		fail(err)
	}
}

// tick reads the rows and advances the moves that this node leads. Only the
// head readers of each zone do so: the platform's reads are shared by all nodes.
func (h *holder) tick(ctx context.Context) {
	if len(h.leases) == 0 && !config.IsReader(h.in.View.Load(), h.in.Identity) {
		return
	}
	stored, err := h.rows.scan(ctx)
	if err != nil {
		return // the guards go on by themselves; the next tick tries again
	}
	h.show(ctx, stored)
	for i := range stored {
		h.advance(ctx, &stored[i])
	}
}

// show passes the rows to the guard of this node, which spreads them.
func (h *holder) show(ctx context.Context, stored []storedMove) {
	held := port.HeldMoves{}
	for _, s := range stored {
		held.Moves = append(held.Moves, s.move)
	}
	_ = h.in.Held.Send(ctx, held) // also when empty: the guard then knows that there is no move
}

func (h *holder) advance(ctx context.Context, s *storedMove) {
	now := time.Now()
	l := h.leases[s.move.ID]
	if l != nil && (s.move.Phase.Ended() || !moves.Holds(&s.move, h.in.Identity.Node, l.epoch, now)) {
		delete(h.leases, s.move.ID)
		l = nil
	}
	if s.move.Phase.Ended() {
		return
	}
	if l == nil {
		h.take(ctx, s, now)
		return
	}
	next, ok := l.holder.Next(s.move, h.verdict(s.move.ID), now)
	if ok {
		h.write(ctx, s, next, string(h.in.Identity.Node))
	}
}

// take tries to take the lease. A row that names this node without a lease in
// memory is that of an earlier life.
func (h *holder) take(ctx context.Context, s *storedMove, now time.Time) {
	if s.move.Holder != h.in.Identity.Node && !moves.MayTake(&s.move, h.in.Identity.Node, now) {
		return
	}
	next, err := moves.Take(&s.move, h.in.Identity.Node, now)
	if err != nil || !h.write(ctx, s, next, string(h.in.Identity.Node)) {
		return
	}
	h.leases[next.ID] = &lease{epoch: next.Epoch, holder: moves.NewHolder(h.in.Settings)}
}

func (h *holder) verdict(id mesh.MoveID) *mesh.Verdict {
	if table := h.in.Verdicts.Load(); table != nil {
		for i := range table.Verdicts {
			if table.Verdicts[i].Move == id {
				return &table.Verdicts[i]
			}
		}
	}
	return &mesh.Verdict{Move: id}
}

// write stores the next state of a move with its audit entry and reports
// whether it is known to be stored. After a lost answer the next scan shows
// what happened.
func (h *holder) write(ctx context.Context, s *storedMove, next mesh.Move, who string) bool {
	if err := moves.CheckStep(&s.move, &next); err != nil {
		return false
	}
	if err := h.rows.write(ctx, s, next, who, h.verdict(next.ID)); err != nil {
		h.in.Logger.Warn().Str("move", string(next.ID)).Int("code", result.Of(err).Number).Err(err).Msg("step not written")
		return false
	}
	_ = h.in.Held.Send(ctx, port.HeldMoves{Moves: []mesh.Move{next}})
	return true
}
