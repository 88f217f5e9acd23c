// Package rollout decides how a service is moved to a new version of its servers
// within the time that the operator gave: which share the new version gets, when
// it is shown to be bad, and when the move is done.
package rollout

import (
	"sort"
	"time"

	"teaselring/mesh"
)

// step is a share that applies from a part of the order's time on.
type step struct{ from, share float64 }

// schedule gives the shares of the new version. The platform lets a bad version get
// a tenth of the requests. Up to the step to all calls, the sum of share times time
// is 0.043 of the order's time, so that a version that is bad only under full load
// can be noticed within the rest. The last quarter is for answers of the old version
// that are still due when the old servers end.
var schedule = []step{{0, 0.04}, {0.35, 0.08}, {0.55, 0.25}, {0.6, 1}}

// donePart is the part of the order's time after which a move that went well is
// done. The rest covers a store that answers late.
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

// Due reports whether a rollout that goes well is to be ended now.
func Due(r *mesh.Rollout, clock time.Duration) bool {
	return r.Phase == mesh.MoveShifting && clock-r.Started >= time.Duration(donePart*float64(r.Duration))
}

// Ending returns the phase with which a rollout that is due ends: it is done when
// servers of the new version are ready to take all calls.
func Ending(r *mesh.Rollout, view *mesh.View) (mesh.MovePhase, string) {
	if ready(view, r.Service)[r.New] == 0 {
		return mesh.MoveTakenBack, "no server of the new version is ready"
	}
	return mesh.MoveDone, "no fault seen"
}

// Begin returns the rollout of an order. Before is the last rollout of the
// service, nil when there was none.
func Begin(o *mesh.Order, before *mesh.Rollout, view *mesh.View, clock time.Duration) mesh.Rollout {
	return mesh.Rollout{
		Service: o.Service, Order: o.Revision, Old: InUse(o.Service, o.Target, before, view), New: o.Target,
		Started: clock, Duration: o.Duration, Phase: mesh.MoveShifting,
	}
}

// InUse returns the version that serves a service when an order for another
// target begins: what the last rollout left, or else the version of most servers.
func InUse(service mesh.ServiceID, target mesh.UpstreamVersion, before *mesh.Rollout, view *mesh.View) mesh.UpstreamVersion {
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

// Judges returns the nodes of the view in the order in which they judge a
// service: the first one gathers the evidence, others take its place.
func Judges(service mesh.ServiceID, view *mesh.View) []*mesh.Member {
	if view == nil {
		return nil
	}
	return view.Ranked(string(service)+"/", func(*mesh.Member) bool { return true })
}
