package movesholder

import (
	"context"
	"time"

	"teaselring/decision/moves"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/result"
)

// start declares a move. It is idempotent: a request that is repeated after a
// lost response returns the existing move.
func (h *duty) start(ctx context.Context, q port.StartMove, now time.Time) (mesh.Move, error) {
	view := h.View.Load()
	if view == nil {
		return mesh.Move{}, result.NoConfiguration.Errorf("the members are not known yet")
	}
	if row, _, err := h.rows.get(ctx, q.Move.ID); err == nil && sameRequest(&row, &q.Move) {
		return row, nil
	} else if err != nil && result.Of(err) != result.MoveNotFound {
		return mesh.Move{}, err
	}
	existing, err := h.rows.readAll(ctx)
	if err != nil {
		return mesh.Move{}, err
	}
	if err := moves.Validate(&q.Move, existing, view, now); err != nil {
		return mesh.Move{}, err
	}
	row := moves.Declare(&q.Move, now)
	err = h.rows.create(ctx, &row, auditEntry(mesh.NodeID(row.By), "declare", now))
	if result.Of(err) == result.PlatformUnknown {
		err = h.confirm(ctx, &row)
	}
	if result.Of(err) == result.RowConflict {
		err = result.MoveInProgress.Errorf("another move of service %q was declared at the same time", row.Service)
	}
	if err != nil {
		return mesh.Move{}, err
	}
	h.publish(ctx, row)
	return row, nil
}

func sameRequest(row, m *mesh.Move) bool {
	return row.Service == m.Service && row.Old == m.Old && row.New == m.New &&
		row.By == m.By && row.Target.Equal(m.Target)
}

// confirm reads back a row whose write got no response. It returns
// result.PlatformUnknown when the read fails too.
func (h *duty) confirm(ctx context.Context, want *mesh.Move) error {
	row, _, err := h.rows.get(ctx, want.ID)
	switch {
	case err == nil && row.Epoch == want.Epoch && row.Step >= want.Step && row.Phase == want.Phase:
		return nil
	case err == nil, result.Of(err) == result.MoveNotFound:
		return result.PlatformDown.Errorf("move %q was not written", want.ID)
	}
	return result.PlatformUnknown.Errorf("it is not known whether move %q was written", want.ID)
}

// takeBackAttempts limits the retries after a conflict with a write of the
// holder, which writes every 4 s.
const takeBackAttempts = 3

// takeBack takes a move back at an operator's request, on any node.
func (h *duty) takeBack(ctx context.Context, q port.TakeBack, now time.Time) (mesh.Move, error) {
	var err error
	for range takeBackAttempts {
		var row mesh.Move
		var revision uint64
		if row, revision, err = h.rows.get(ctx, q.Move); err != nil {
			return mesh.Move{}, err
		}
		if row.Phase == mesh.MoveTakingBack {
			return row, nil
		}
		if row.Phase.Ended() {
			return mesh.Move{}, result.MoveEnded.Errorf("move %q ended as %s", row.ID, row.Phase)
		}
		next := moves.TakeBack(row, q.By, q.Why)
		err = h.rows.write(ctx, revision, &row, &next, auditEntry(mesh.NodeID(q.By), "take back", now))
		if result.Of(err) == result.PlatformUnknown {
			err = h.confirm(ctx, &next)
		}
		if err == nil {
			if l := h.leadership[next.ID]; l != nil {
				l.row = next
			}
			h.publish(ctx, next)
			return next, nil
		}
		if result.Of(err) != result.RowConflict {
			return mesh.Move{}, err
		}
	}
	return mesh.Move{}, err
}
