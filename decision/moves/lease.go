package moves

import (
	"hash/fnv"
	"time"

	"teaselring/mesh"
	"teaselring/result"
)

// CanAcquireLease reports whether a node may take over the lease of a move: the
// lease is free, or it has expired by the holder's clock too, given the maximum
// clock skew.
func CanAcquireLease(row *mesh.Move, node mesh.NodeID, now time.Time) bool {
	if row.Phase.Ended() || row.Holder == node {
		return false
	}
	return row.Holder == "" || now.After(row.LeaseUntil.Add(maxClockSkew))
}

// acquireSpacing is the time between the attempts of two nodes to acquire a
// lease. It covers a write to the platform and the propagation of the row.
const acquireSpacing = 2 * time.Second

// CanAcquireLeaseInTurn is CanAcquireLease for the node with a rank among those
// that know the move: lower ranks go first, so that few nodes write at once.
func CanAcquireLeaseInTurn(row *mesh.Move, node mesh.NodeID, rank int, now time.Time) bool {
	return CanAcquireLease(row, node, now.Add(-time.Duration(rank)*acquireSpacing)) &&
		!now.Before(row.Declared.Add(time.Duration(rank)*acquireSpacing))
}

// LeaseRank orders the live nodes for a move by rendezvous hashing and returns
// the rank of node, from 0. Nodes with different views agree on all but a few
// ranks.
func LeaseRank(id mesh.MoveID, node mesh.NodeID, view *mesh.View) int {
	own, rank := rendezvousWeight(id, node), 0
	for i := range view.Members {
		m := &view.Members[i]
		if m.State != mesh.NodeAlive || m.Node == node {
			continue
		}
		if w := rendezvousWeight(id, m.Node); w > own || w == own && m.Node < node {
			rank++
		}
	}
	return rank
}

func rendezvousWeight(id mesh.MoveID, node mesh.NodeID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(node))
	return h.Sum64()
}

// AcquireLease returns the row with node as its holder and the next epoch. A
// restarted node acquires its own lease again; the epoch distinguishes its
// incarnations.
func AcquireLease(row *mesh.Move, node mesh.NodeID, now time.Time) (mesh.Move, error) {
	if row.Phase.Ended() {
		return mesh.Move{}, result.MoveEnded.Errorf("move %q ended as %s", row.ID, row.Phase)
	}
	if row.Holder != node && !CanAcquireLease(row, node, now) {
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

// HoldsLease reports whether a node that acquired the lease in an epoch still
// has it.
func HoldsLease(row *mesh.Move, node mesh.NodeID, epoch uint64, now time.Time) bool {
	return row.Holder == node && row.Epoch == epoch && now.Before(row.LeaseUntil)
}

// LeaseRenewalDue reports whether the lease is due for renewal.
func LeaseRenewalDue(row *mesh.Move, now time.Time) bool {
	return now.Sub(row.LeaseUntil.Add(-LeaseDuration)) >= LeaseRenewInterval
}

// CheckStep returns result.LeaseLost unless next may replace current: it must
// be the next step, by the same holder in the same epoch or in the epoch after
// it.
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
