package routing

import (
	"slices"
	"time"

	"teaselring/mesh"
)

// This file decides when a call leaves its availability zone. Load patterns: two zones
// that are short of servers by turns, one zone that is short for long, and all zones
// short at once, when nothing is gained by leaving.

// tier is the distance class of an endpoint.
type tier int

const (
	sameZone tier = iota
	sameRegion
	remote
	tierCount
)

func (r *Router) distance(m *mesh.Member) tier {
	switch {
	case m.Zone == r.self.Zone && m.Region == r.self.Region:
		return sameZone
	case m.Region == r.self.Region:
		return sameRegion
	}
	return remote
}

// servedInZone reports whether this node's zone has a ready endpoint of a version that may
// get the call.
func (r *Router) servedInZone(s *service, v mesh.UpstreamVersion, q *Query) bool {
	for _, e := range s.endpoints {
		if e.member.Endpoint.Version == v && e.member.Ready() && q.allows(&e.member) && r.distance(&e.member) == sameZone {
			return true
		}
	}
	return false
}

// boundToZone reports whether a call leaves its zone only for a known gain. Calls with a
// short target are not bound: servers make them for their own requests, which fail if such
// a call is refused, so that the work done on them is lost.
func (r *Router) boundToZone(s *service, v mesh.UpstreamVersion, q *Query) bool {
	return !q.Call.SoftDeadline.IsZero() && !q.Call.HasShortTarget() && r.servedInZone(s, v, q)
}

// dropOutside removes the endpoints of a list outside the zone that a call of this zone must
// not try: those in a pause after a refusal, those without a free slot as far as known, and
// all once the call has tried MaxOutside. Without it, under overload each call of a zone was
// sent to all other zones, and these requests were a third of the bytes between zones.
func (r *Router) dropOutside(list []*endpoint, q *Query, now time.Time) []*endpoint {
	tried := 0
	for _, node := range q.Tried {
		if e := r.nodes[node]; e != nil && r.distance(&e.member) != sameZone {
			tried++
		}
	}
	if tried >= r.params.MaxOutside {
		return nil
	}
	return slices.DeleteFunc(list, func(e *endpoint) bool {
		return e.isFull(now, &r.params)
	})
}

// isFull reports whether an endpoint outside the zone is in a pause after a refusal, or has
// no free slot as far as known.
func (e *endpoint) isFull(now time.Time, p *Params) bool {
	return now.Before(e.pausedUntil) || e.load(now, p)+1 > e.capacity(now, p)+roomMargin
}

// roomMargin is the excess over the slots up to which an estimated load counts as room. A
// call outside its zone does not queue, but reports are late by up to a second: without the
// margin, one call in a hundred was refused while a slot was free at 95% load.
const roomMargin = 0.5

// leavingCost is the time in ns by which the response must be expected earlier outside
// the zone, beyond the round trip. A call that was refused does not pay it, since a further
// refusal is worse than the cost.
func (r *Router) leavingCost(q *Query) float64 {
	if len(q.Tried) > 0 {
		return 0
	}
	return float64(r.params.ZoneCostPerKiB) * float64(r.bodyLength(q)) / 1024
}

// bodyLength is the length of the request's body, at least a KiB. A body of unknown
// length, and the response of a download, count as long.
func (r *Router) bodyLength(q *Query) int64 {
	n := max(q.Call.BodyLength, 1024)
	if q.Call.BodyLength < 0 || q.Call.Class == mesh.ClassDownload {
		n = max(n, r.params.LongBodyBytes)
	}
	return n
}

// pause starts the time in which an endpoint outside the zone gets no calls after a
// refusal. It doubles with each refusal until the endpoint answers a call.
func (e *endpoint) pause(now time.Time, p *Params) {
	e.pausedUntil = now.Add(min(p.RefusalPause<<min(e.refusals, 16), p.RefusalPauseMax))
	e.refusals++
}
