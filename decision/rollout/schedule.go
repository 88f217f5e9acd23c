// Package rollout decides how a service is moved to a new version of its servers within
// the time given by the operator: the share of the new version, when it counts as bad,
// and when the move is done.
package rollout

import (
	"sort"
	"time"

	"teaselring/mesh"
)

// shareStep is a share that applies from a fraction of the order's duration on.
type shareStep struct{ from, share float64 }

// schedule lists the shares of the new version. The first step to most calls is short:
// it shows a version that is bad only under load, and the small share after it leaves
// time for slow responses to arrive and to be counted before the version gets most calls
// again; what it saves of the allowance is for the second step, which adds to the evidence
// of the first. The old version keeps a part to compare with, so that other faults at the same
// time are not taken for those of the new one. The end, with all calls, is for responses
// of the old version that are due when its servers stop.
//
// Load pattern: a step of a new version's load from a few calls to most of them.
var schedule = []shareStep{
	{0, 0.04}, {0.25, heldShare}, {0.37, 0.25}, {0.41, loadedShare}, {0.45, 0.04}, {0.62, loadedShare}, {0.7, 1},
}

// loadedShare is the share that puts the new version under load.
const loadedShare = 0.8

// heldShare is the largest share of a version that is not proven and has used its
// allowance.
const heldShare = 0.08

const (
	// donePart is the fraction of the order's duration after which a proven move without
	// faults is done. The rest covers a store that responds late.
	donePart = 0.85
	// unprovenDonePart is the same for a move with too few calls. All calls go to the new
	// version from then on, so it is later.
	unprovenDonePart = 0.95
)

const (
	// allowedShare is the part of the platform's allowance for a bad version that a new
	// version gets before it is proven. Nodes learn up to half a second late how much of
	// it is used.
	allowedShare = 0.5
	// A version is proven by provenShare of the calls that its service gets in the
	// order's duration, at least minProven and at most maxProven.
	provenShare = 0.03
	minProven   = 12
	maxProven   = 50
)

// Allowance is what the platform lets a bad version get.
type Allowance struct {
	Share float64 // of the calls of its service in the order's duration
	Slack float64 // calls beyond that
}

// Progress is what the evaluator knows about a move.
type Progress struct {
	Calls  uint32 `cbor:"1,keyasint"` // of both versions
	New    uint32 `cbor:"2,keyasint"` // of the new version
	Judged uint32 `cbor:"3,keyasint"` // of these, after the cold start
}

// expectedCalls extrapolates the calls to the whole duration of the order.
func (p *Progress) expectedCalls(part float64) float64 { return float64(p.Calls) / max(part, 0.01) }

func (p *Progress) proven(part float64) bool {
	needed := min(max(provenShare*p.expectedCalls(part), minProven), maxProven)
	return float64(p.Judged) >= needed
}

func (p *Progress) allowed(part float64, a Allowance) bool {
	return float64(p.New) < allowedShare*(a.Share*p.expectedCalls(part)+a.Slack)
}

// Share returns the share of calls for the new version of a rollout. Above heldShare it
// needs a proven version, or one that has not used its allowance.
func Share(r *mesh.Rollout, clock time.Duration, p *Progress, a Allowance) float64 {
	switch r.Phase {
	case mesh.MoveDone:
		return 1
	case mesh.MoveTakenBack:
		return 0
	}
	part := float64(clock-r.Started) / float64(r.Duration)
	share := 0.0
	for _, s := range schedule {
		if part >= s.from {
			share = s.share
		}
	}
	if share > heldShare && !p.proven(part) && !p.allowed(part, a) {
		return heldShare
	}
	return share
}

// Due reports whether a rollout without faults is to be ended now.
func Due(r *mesh.Rollout, clock time.Duration, p *Progress) bool {
	part := float64(clock-r.Started) / float64(r.Duration)
	return r.Phase == mesh.MoveShifting && (part >= unprovenDonePart || (part >= donePart && p.proven(part)))
}

// EndPhase returns the final phase of a rollout that is due, and the reason. It is done
// if at least one server of the new version is ready, else taken back.
func EndPhase(r *mesh.Rollout, view *mesh.View) (mesh.MovePhase, string) {
	if ready(view, r.Service)[r.New] == 0 {
		return mesh.MoveTakenBack, "no server of the new version is ready"
	}
	return mesh.MoveDone, "no fault seen"
}

// Begin returns the rollout of an order. before is the last rollout of the service, nil
// when there was none.
func Begin(o *mesh.Order, before *mesh.Rollout, view *mesh.View, clock time.Duration) mesh.Rollout {
	return mesh.Rollout{
		Service: o.Service, Order: o.Revision, Old: VersionInUse(o.Service, o.Target, before, view), New: o.Target,
		Started: clock, Duration: o.Duration, Phase: mesh.MoveShifting,
	}
}

// rewriteWait is the time in which nodes that know the end of a move write it again after
// the store has lost it.
const rewriteWait = 3 * time.Second

// Answered reports whether a rollout is that of an order, or of a later one. The order may
// have another revision if this node did not run when the store came back from a copy.
func Answered(r *mesh.Rollout, o *mesh.Order) bool {
	return max(r.Order, r.OrderRow) >= o.Revision || (r.New == o.Target && namesVersion(r, o.Revision))
}

// namesVersion reports whether a rollout names the version of an order's row. The row has
// the same one in a copy.
func namesVersion(r *mesh.Rollout, row uint64) bool {
	version := mesh.VersionOf(row)
	return version == mesh.VersionOf(r.Order) || version == mesh.VersionOf(r.OrderRow)
}

// AwaitsRewrite reports whether a node that has found an order at its start must wait
// before it begins it: other nodes may know that it was carried out before the store lost
// that.
//
// Load pattern: a restart of some nodes right after the store came back from a copy.
func AwaitsRewrite(o *mesh.Order, clock time.Duration) bool {
	return o.Found && mesh.EraOf(o.Revision) > firstEra && clock < o.FirstSeen+rewriteWait
}

// firstEra is the era of a store that has lost nothing yet.
const firstEra = 1

// RowToRecord returns the row of an order that a rollout does not name yet, 0 for none.
// Nodes that start later know by it that the order is not a new one.
func RowToRecord(r *mesh.Rollout, o *mesh.Order) uint64 {
	if o.Row <= max(r.Order, r.OrderRow) || namesVersion(r, o.Row) {
		return 0
	}
	return o.Row
}

// VersionInUse returns the version that serves a service when an order for another
// target begins: the result of the last rollout, or else the version of most servers.
func VersionInUse(service mesh.ServiceID, target mesh.UpstreamVersion, before *mesh.Rollout, view *mesh.View) mesh.UpstreamVersion {
	if before != nil {
		if before.Phase == mesh.MoveDone {
			return before.New
		}
		return before.Old
	}
	counts := ready(view, service)
	delete(counts, target)
	versions := make([]mesh.UpstreamVersion, 0, len(counts))
	for v := range counts {
		versions = append(versions, v)
	}
	sort.Slice(versions, func(i, j int) bool {
		a, b := versions[i], versions[j]
		return counts[a] > counts[b] || (counts[a] == counts[b] && a < b)
	})
	if len(versions) == 0 {
		return target
	}
	return versions[0]
}

// ready counts the servers of a service that take calls, by version.
func ready(view *mesh.View, service mesh.ServiceID) map[mesh.UpstreamVersion]int {
	counts := map[mesh.UpstreamVersion]int{}
	if view == nil {
		return counts
	}
	for i := range view.Members {
		if m := &view.Members[i]; m.Endpoint.Service == service && m.Ready() {
			counts[m.Endpoint.Version]++
		}
	}
	return counts
}

// Evaluators returns the nodes of the view in the order in which they evaluate a
// service: the first one collects the evidence, the others stand in for it.
func Evaluators(service mesh.ServiceID, view *mesh.View) []*mesh.Member {
	if view == nil {
		return nil
	}
	return view.RankByHash(string(service)+"/", func(*mesh.Member) bool { return true })
}
