package routing

import (
	"slices"
	"time"

	"teaselring/mesh"
	"teaselring/result"
)

// Random is a source of random numbers, such as *rand.Rand of math/rand/v2.
type Random interface{ IntN(n int) int }

// tier is the distance class of an endpoint.
type tier int

const (
	sameZone tier = iota
	sameRegion
	remote
	tiers
)

// Pick chooses an endpoint for an attempt. It does not count the attempt; Begin
// does. The error carries result.NoEndpoint.
func (r *Router) Pick(q *Query, splits *mesh.Splits, rnd Random, now time.Time) (mesh.Target, error) {
	s := r.byName[q.Call.Service]
	if s == nil {
		return mesh.Target{}, result.NoEndpoint.Errorf("service %q has no known upstream", q.Call.Service)
	}
	first, second := s.inUse, mesh.UpstreamVersion("")
	if splits != nil {
		if split, declared := splits.ByService[q.Call.Service]; declared {
			first, second = s.versions(split, q)
		}
	}
	best := r.choose(s, first, q, rnd, now)
	if best == nil && second != "" {
		best = r.choose(s, second, q, rnd, now)
	}
	if best == nil {
		return mesh.Target{}, result.NoEndpoint.Errorf(
			"service %q has no usable upstream of version %q (%d tried)", q.Call.Service, first, len(q.Tried))
	}
	target := best.target()
	target.Spill = r.distance(&best.member) != sameZone && r.servedNear(s, best.member.Endpoint.Version)
	return target, nil
}

// servedNear reports whether the own zone has a ready endpoint of a version.
func (r *Router) servedNear(s *service, v mesh.UpstreamVersion) bool {
	for _, e := range s.endpoints {
		if e.member.Endpoint.Version == v && e.member.Ready() && r.distance(&e.member) == sameZone {
			return true
		}
	}
	return false
}

// candidates returns the endpoints that may get a new call, by distance.
func (r *Router) candidates(s *service, v mesh.UpstreamVersion, tried []mesh.NodeID, now time.Time) [tiers][]*endpoint {
	var byTier [tiers][]*endpoint
	for _, e := range s.endpoints {
		usable := e.member.Endpoint.Version == v && e.member.Ready() &&
			!e.avoided(now) && !slices.Contains(tried, e.member.Node)
		if usable {
			t := r.distance(&e.member)
			byTier[t] = append(byTier[t], e)
		}
	}
	return byTier
}

// dropRefusing leaves out endpoints outside the zone that refused a call a moment
// ago. In overload every call of a zone asked all others, and the questions were
// a third of the bytes between zones.
func (r *Router) dropRefusing(byTier *[tiers][]*endpoint, now time.Time) {
	for t := sameZone + 1; t < tiers; t++ {
		byTier[t] = slices.DeleteFunc(byTier[t], func(e *endpoint) bool { return now.Sub(e.refused) < r.params.AskAgain })
	}
}

func (r *Router) distance(m *mesh.Member) tier {
	switch {
	case m.Zone == r.home.Zone && m.Region == r.home.Region:
		return sameZone
	case m.Region == r.home.Region:
		return sameRegion
	}
	return remote
}

// choose compares two random endpoints of each tier, nearest first. It stops
// at the first tier whose better one has room; otherwise the lowest score wins.
func (r *Router) choose(s *service, v mesh.UpstreamVersion, q *Query, rnd Random, now time.Time) *endpoint {
	byTier := r.candidates(s, v, q.Tried, now)
	if !q.Call.Aim.IsZero() && r.servedNear(s, v) {
		r.dropRefusing(&byTier, now)
	}
	var best *endpoint
	var bestScore float64
	for t := range tiers {
		list := byTier[t]
		if len(list) == 0 {
			continue
		}
		e, score := r.better(list, t, s, q, rnd, now)
		if best == nil || score < bestScore {
			best, bestScore = e, score
		}
		if t < remote && r.hasRoom(best, bestScore, t, s, q, now) {
			break
		}
	}
	return best
}

// hasRoom reports whether the best endpoint up to a tier is good enough not to
// look further away: it is not busy, not much slower than the service on the
// whole, and does not fail.
// For a call with an aim, it is enough that its answer is expected well before.
func (r *Router) hasRoom(e *endpoint, score float64, t tier, s *service, q *Query, now time.Time) bool {
	spill := r.params.ZoneSpill
	if t == sameRegion {
		spill = r.params.RegionSpill
	}
	latency, failures := s.history(e, s.expected, now, r.params.HistoryTrust)
	if !q.Call.Aim.IsZero() {
		stay := r.params.StayNear
		if q.Call.Body >= r.params.LongBody {
			stay = r.params.StayNearLong
		}
		return failures < 0.5 && score <= stay*float64(q.Call.Aim.Sub(now))
	}
	return e.load(now, &r.params) < spill*e.capacity() && failures < 0.5 &&
		(t == sameRegion || latency <= r.params.SlowFactor*s.expected)
}

// better returns the one with the lower score of two random endpoints of a
// non-empty list.
func (r *Router) better(list []*endpoint, t tier, s *service, q *Query, rnd Random, now time.Time) (*endpoint, float64) {
	i := rnd.IntN(len(list))
	a := list[i]
	scoreA := r.score(a, t, s, q, now)
	if len(list) == 1 {
		return a, scoreA
	}
	j := rnd.IntN(len(list) - 1)
	if j >= i {
		j++
	}
	b := list[j]
	if scoreB := r.score(b, t, s, q, now); scoreB < scoreA*(1-tieMargin) {
		return b, scoreB
	}
	return a, scoreA
}

// tieMargin is the difference of scores below which the first random choice
// stands. Endpoints whose averages differ by less than their noise share calls.
const tieMargin = 0.01

// score estimates the time in ns until the answer of one more call: the way,
// the time of a call on this endpoint, and the wait for a slot.
func (r *Router) score(e *endpoint, t tier, s *service, q *Query, now time.Time) float64 {
	way := [tiers]time.Duration{0, r.params.RegionCost, r.params.RemoteCost}[t]
	expected := s.expected
	if expected == 0 {
		expected = float64(time.Millisecond)
	}
	call, failures := s.history(e, expected, now, r.params.HistoryTrust)
	call *= 1 + r.params.FailureCost*failures
	load := e.load(now, &r.params)
	return float64(way) + call*(s.scale(q.Call.Route)+pressure(load, e.capacity()))
}

// pressure is the expected wait for a slot in units of the time of a call. The
// quadratic part tells lightly loaded endpoints apart; the linear part counts
// the calls that must end first.
func pressure(load, capacity float64) float64 {
	used := (load + 1) / capacity
	wait := used * used
	if over := load + 1 - capacity; over > 0 {
		wait += over / capacity
	}
	return wait
}

func (e *endpoint) target() mesh.Target {
	m := &e.member
	return mesh.Target{
		Node: m.Node, Incarnation: m.Incarnation, PeerAddress: m.PeerAddress,
		Zone: m.Zone, Service: m.Endpoint.Service, Version: m.Endpoint.Version,
	}
}
