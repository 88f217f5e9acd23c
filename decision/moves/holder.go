package moves

import (
	"fmt"
	"time"

	"teaselring/mesh"
)

// Holder decides on the steps of one move, on the node that has its lease. Its
// only state is when the share last changed, so a node that takes over can
// start with a new Holder.
type Holder struct {
	settings   Settings
	share      float64   // as last seen in the row
	shareSince time.Time // when that share was first seen
}

// NewHolder returns a holder that has seen no row yet.
func NewHolder(s Settings) *Holder { return &Holder{settings: s} }

// Next returns the row to write next, given the verdict on the pooled evidence,
// or false when the row should stay. The caller writes it on condition that the
// stored row is unchanged, and calls again with the row that is then stored. A
// row is also written to renew the lease.
func (h *Holder) Next(row mesh.Move, v *mesh.Verdict, now time.Time) (mesh.Move, bool) {
	if h.shareSince.IsZero() || row.Share != h.share {
		h.share, h.shareSince = row.Share, now
	}
	next, changed := decide(h.settings, row, v, h.shareSince, now)
	if row.Phase.Ended() || !changed && !LeaseRenewalDue(&row, now) {
		return row, false
	}
	next.Step++
	next.LeaseUntil = now.Add(LeaseDuration)
	return next, true
}

// TakeBack returns the row that takes a move back at an operator's request.
func TakeBack(row mesh.Move, by, why string) mesh.Move {
	row.Phase, row.Share = mesh.MoveTakingBack, 0
	row.Reason = fmt.Sprintf("taken back by %s: %s", by, why)
	row.Step++
	return row
}

// decide returns the row that follows from row and the verdict on the evidence,
// for a share in force since a given time.
func decide(s Settings, row mesh.Move, v *mesh.Verdict, since, now time.Time) (mesh.Move, bool) {
	switch {
	case row.Phase.Ended():
		return row, false
	case row.Phase == mesh.MoveTakingBack:
		row.Phase = mesh.MoveTakenBack
		return row, true
	case v.Bad:
		return takingBack(row, v.Reason), true
	case v.Cuts >= agreeingNodes && v.Cuts*cutQuorumDivisor >= v.Nodes:
		return takingBack(row, fmt.Sprintf("%d of %d nodes cut the new version", v.Cuts, v.Nodes)), true
	case now.After(s.schedule(&row).latestDone()):
		return takingBack(row, overdueReason(s, &row, v)), true
	}
	next, changed := advance(s, row, v, since, now)
	if changed {
		since = now
	}
	if earliestDone := s.schedule(&next).earliestDone(stageOf(next.Share), since, now); !next.Late &&
		!next.Phase.Ended() && earliestDone.After(s.schedule(&next).latestDone()) {
		next.Late = true
		next.Reason = "can't be done by the target time: " + evidenceShortfall(s, v)
		return next, true
	}
	return next, changed
}

// cutQuorumDivisor is the number of reporting nodes for each cut that the
// quorum needs. A quorum of cuts takes the move back by itself, because the
// evidence may not come again: the calls of these nodes no longer reach the new
// version.
const cutQuorumDivisor = 4

func takingBack(row mesh.Move, reason string) mesh.Move {
	row.Phase, row.Share, row.Reason = mesh.MoveTakingBack, 0, reason
	return row
}

func overdueReason(s Settings, row *mesh.Move, v *mesh.Verdict) string {
	if row.Late {
		return "not done by the target time: " + evidenceShortfall(s, v)
	}
	return "not enough evidence by the target time: " + evidenceShortfall(s, v)
}

func evidenceShortfall(s Settings, v *mesh.Verdict) string {
	return fmt.Sprintf("%.1f of %.1f nats after %d calls of the new version",
		v.GoodEvidence[len(Excesses)-1], s.fullEvidence(), v.Calls)
}

// advance raises the share by one stage or finishes the move, when the schedule
// calls for it and the evidence allows it.
func advance(s Settings, row mesh.Move, v *mesh.Verdict, since, now time.Time) (mesh.Move, bool) {
	plan, index := s.schedule(&row), stageOf(row.Share)
	if row.Phase == mesh.MoveWatching {
		watched := now.Sub(since) >= plan.minWatch() && now.Sub(v.Rechecked) >= plan.minSinceRecheck() &&
			!now.Before(plan.watchEnd())
		if !watched || v.Recheck || v.Cuts >= agreeingNodes || v.GoodEvidence[len(Excesses)-1] < 0 {
			return row, false
		}
		row.Phase, row.Share = mesh.MoveDone, 1
		row.Reason = fmt.Sprintf("no worse than the old version in %d calls", v.Calls)
		return row, true
	}
	next := stages[index+1]
	if now.Before(plan.stageStart(index+1)) || index >= 0 && now.Sub(since) < plan.minStage() {
		return row, false
	}
	if v.Recheck || v.Cuts >= agreeingNodes || next.excess >= 0 && v.GoodEvidence[next.excess] < next.evidence*s.fullEvidence() {
		return row, false
	}
	row.Share, row.Phase = next.share, mesh.MoveShifting
	row.Reason = fmt.Sprintf("share raised after %d calls of the new version", v.Calls)
	if next.share == 1 {
		row.Phase = mesh.MoveWatching
	}
	return row, true
}
