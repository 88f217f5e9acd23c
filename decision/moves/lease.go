package moves

import (
	"time"

	"teaselring/mesh"
	"teaselring/result"
)

// MayTake reports whether a node may take over the lease of a move: it is
// free, or it ran out long enough ago that its holder knows so too, whatever
// the difference of their clocks.
func MayTake(row *mesh.Move, node mesh.NodeID, now time.Time) bool {
	if row.Phase.Ended() || row.Holder == node {
		return false
	}
	return row.Holder == "" || now.After(row.LeaseUntil.Add(maxClockSkew))
}

// Take returns the row with node as its holder and the next epoch. A node
// that restarts takes its own lease again: the epoch tells its lives apart.
func Take(row *mesh.Move, node mesh.NodeID, now time.Time) (mesh.Move, error) {
	if row.Phase.Ended() {
		return mesh.Move{}, result.MoveEnded.Errorf("move %q ended as %s", row.ID, row.Phase)
	}
	if row.Holder != node && !MayTake(row, node, now) {
		return mesh.Move{}, result.LeaseLost.Errorf("move %q is held by %q until %s",
			row.ID, row.Holder, row.LeaseUntil.Format(time.RFC3339))
	}
	next := *row
	next.Epoch++
	next.Step++
	next.Holder = node
	next.LeaseUntil = now.Add(LeaseDuration)
	return next, nil
}

// Holds reports whether a node that took the lease with an epoch still has it.
func Holds(row *mesh.Move, node mesh.NodeID, epoch uint64, now time.Time) bool {
	return row.Holder == node && row.Epoch == epoch && now.Before(row.LeaseUntil)
}

// MustRenew reports whether the lease is due for renewal.
func MustRenew(row *mesh.Move, now time.Time) bool {
	return now.Sub(row.LeaseUntil.Add(-LeaseDuration)) >= RenewInterval
}

// CheckStep returns result.LeaseLost unless next may replace current: it must
// carry current's epoch and the step after it, or take over with the epoch
// after it.
func CheckStep(current, next *mesh.Move) error {
	if current.Phase.Ended() {
		return result.MoveEnded.Errorf("move %q ended as %s", current.ID, current.Phase)
	}
	sameHolder := next.Epoch == current.Epoch && next.Holder == current.Holder
	if next.Step == current.Step+1 && (sameHolder || next.Epoch == current.Epoch+1) {
		return nil
	}
	return result.LeaseLost.Errorf("step %d of epoch %d can't follow step %d of epoch %d of move %q",
		next.Step, next.Epoch, current.Step, current.Epoch, current.ID)
}
