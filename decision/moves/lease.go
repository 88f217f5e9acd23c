package moves

import (
	"hash/fnv"
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

// takeSpacing is the time between the attempts of two nodes to take a lease.
// It covers a write to the platform and the spread of the row.
const takeSpacing = 2 * time.Second

// MayTakeInTurn is MayTake for the node with a rank among those that know the
// move: lower ranks go first, so that few nodes write at once.
func MayTakeInTurn(row *mesh.Move, node mesh.NodeID, rank int, now time.Time) bool {
	return MayTake(row, node, now.Add(-time.Duration(rank)*takeSpacing)) &&
		!now.Before(row.Declared.Add(time.Duration(rank)*takeSpacing))
}

// Rank orders the live nodes for a move by rendezvous hashing and returns the
// place of node, from 0. Nodes with different views agree on all but a few.
func Rank(id mesh.MoveID, node mesh.NodeID, view *mesh.View) int {
	own, rank := weightOf(id, node), 0
	for i := range view.Members {
		m := &view.Members[i]
		if m.State != mesh.NodeAlive || m.Node == node {
			continue
		}
		if w := weightOf(id, m.Node); w > own || w == own && m.Node < node {
			rank++
		}
	}
	return rank
}

func weightOf(id mesh.MoveID, node mesh.NodeID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(node))
	return h.Sum64()
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
