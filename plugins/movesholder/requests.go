package movesholder

import (
	"context"
	"time"

	"teaselring/decision/moves"
	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/result"
)

// start declares a move. The row of the service makes two operators' moves of
// one service exclude each other.
func (h *holder) start(ctx context.Context, ask kernel.Ask[port.StartMove, mesh.Move]) error {
	stored, err := h.rows.scan(ctx)
	if err != nil {
		return err
	}
	move := ask.Query.Move
	if err := moves.Validate(&move, movesOf(stored), h.in.View.Load(), time.Now()); err != nil {
		return err
	}
	row := moves.Declare(&move, time.Now())
	if err := h.rows.create(ctx, row, stored); err != nil {
		return err
	}
	ask.Answer(row)
	_ = h.in.Held.Send(ctx, port.HeldMoves{Moves: []mesh.Move{row}})
	return nil
}

// takeBackTries bounds the repetitions when the holder's steps come between.
const takeBackTries = 5

// takeBack writes the operator's decision into the row, whoever holds its
// lease; the holder finds it there.
func (h *holder) takeBack(ctx context.Context, ask kernel.Ask[port.TakeBack, mesh.Move]) error {
	var lastErr error
	for range takeBackTries {
		s, err := h.rows.get(ctx, ask.Query.Move)
		if err != nil {
			return err
		}
		if s.move.Phase.Ended() {
			return result.MoveEnded.Errorf("move %q ended as %s", s.move.ID, s.move.Phase)
		}
		next := moves.TakeBack(s.move, ask.Query.By, ask.Query.Why)
		lastErr = h.rows.write(ctx, s, next, ask.Query.By, h.verdict(next.ID))
		if lastErr == nil {
			ask.Answer(next)
			_ = h.in.Held.Send(ctx, port.HeldMoves{Moves: []mesh.Move{next}})
			return nil
		}
		if result.Of(lastErr) != result.RowConflict && result.Of(lastErr) != result.PlatformUnknown {
			return lastErr
		}
	}
	return lastErr
}
