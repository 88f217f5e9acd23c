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

// schedule lists the shares of the new version. The platform allows a bad version a
// tenth of the requests. Up to the step to all calls, the sum of share times time is
// 0.043 of the order's duration, so that a version that is bad only under full load can
// be detected within the rest. The last quarter is for responses of the old version
// that are still due when the old servers stop.
var schedule = []shareStep{{0, 0.04}, {0.35, 0.08}, {0.55, 0.25}, {0.6, 1}}

// donePart is the fraction of the order's duration after which a move without faults is
// done. The rest covers a store that responds late.
const donePart = 0.85

// Share returns the share of calls for the new version of a rollout.
func Share(r *mesh.Rollout, clock time.Duration) float64 {
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
	return share
}

// Due reports whether a rollout without faults is to be ended now.
func Due(r *mesh.Rollout, clock time.Duration) bool {
	return r.Phase == mesh.MoveShifting && clock-r.Started >= time.Duration(donePart*float64(r.Duration))
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
