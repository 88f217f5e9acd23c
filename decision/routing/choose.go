package routing

import (
	"slices"
	"time"

	"teaselring/mesh"
	"teaselring/result"
)

// Random is a source of random numbers, such as *rand.Rand of math/rand/v2.
type Random interface{ IntN(n int) int }

// Pick chooses an endpoint for an attempt, or returns an error, a *Refusal if endpoints of
// the service are known. It does not count the attempt as in flight; Begin does.
func (r *Router) Pick(q *Query, splits *mesh.Splits, rnd Random, now time.Time) (mesh.Target, error) {
	s := r.byService[q.Call.Service]
	if s == nil {
		return mesh.Target{}, result.NoEndpoint.Errorf("service %q has no known upstream", q.Call.Service)
	}
	preferred, fallback := s.currentVersion, mesh.UpstreamVersion("")
	if splits != nil {
		if split, declared := splits.ByService[q.Call.Service]; declared {
			preferred, fallback = s.versions(split, q)
		}
	}
	var best *endpoint
	var wait time.Duration
	if q.Refusals < r.params.MaxRefusals {
		best, wait = r.choose(s, preferred, q, rnd, now)
		if best == nil && fallback != "" {
			best, wait = r.choose(s, fallback, q, rnd, now)
		}
	}
	if best == nil {
		var cause *result.Error
		switch {
		case q.Refusals >= r.params.MaxRefusals:
			cause = result.QueueFull.Errorf("%d owner nodes refused the call", q.Refusals)
		case wait > 0:
			cause = result.QueueFull.Errorf("a slot of service %q is expected after %v", q.Call.Service, wait.Round(time.Millisecond))
		default:
			cause = result.NoEndpoint.Errorf("service %q has no usable upstream of version %q (%d tried)", q.Call.Service, preferred, len(q.Tried))
		}
		return mesh.Target{}, &Refusal{
			cause: cause, RetryAfter: s.returnTime(q.Call, wait, rnd, now),
			Passed: r.passedOver(s, [2]mesh.UpstreamVersion{preferred, fallback}, q, now),
		}
	}
	target := best.target()
	target.Spillover = r.distance(&best.member) != sameZone && r.servedInZone(s, best.member.Endpoint.Version, q)
	return target, nil
}

// allows reports whether the operator lets the call run at a member: its zone is not
// being evacuated, and its region is one of the call's.
func (q *Query) allows(m *mesh.Member) bool {
	return !slices.Contains(q.Evacuated, m.Zone) && q.Call.Regions.Allow(m.Region)
}

// candidates returns the endpoints that may get a new call, by tier. The lists are reused
// by the next choice.
func (r *Router) candidates(s *service, v mesh.UpstreamVersion, q *Query, now time.Time) *[tierCount][]*endpoint {
	byTier := &r.byTier
	for t := range byTier {
		byTier[t] = byTier[t][:0]
	}
	for _, e := range s.endpoints {
		usable := e.member.Endpoint.Version == v && e.member.Ready() && q.allows(&e.member) &&
			!e.avoided(now) && !slices.Contains(q.Tried, e.member.Node)
		if usable {
			t := r.distance(&e.member)
			byTier[t] = append(byTier[t], e)
		}
	}
	return byTier
}

// choose compares random endpoints of each tier, nearest first. It stops at the first
// tier where the best endpoint so far is sufficient. Otherwise the lowest score wins, or,
// for a call with a soft deadline that has endpoints in its zone, the expected time if
// that pays the cost of leaving. Without an endpoint it returns the expected wait for a
// slot of the zone, if that is why.
func (r *Router) choose(s *service, v mesh.UpstreamVersion, q *Query, rnd Random, now time.Time) (best *endpoint, wait time.Duration) {
	byTier := r.candidates(s, v, q, now)
	bound := r.boundToZone(s, v, q)
	var bestTime estimate
	for t := range tierCount {
		list := byTier[t]
		if bound && t != sameZone {
			list = r.dropOutside(list, q, now)
		}
		if len(list) == 0 {
			continue
		}
		e, x := r.bestOfRandom(list, firstChoices+moreChoices*len(q.Tried), t, s, q, rnd, now)
		if bound && t == sameZone && !r.isSufficient(e, x, t, s, q, now) {
			e, x = r.bestOfRandom(list, leavingChoices, t, s, q, rnd, now)
			if x.startsTooLate(q, now) {
				wait = time.Duration(x.wait)
				continue
			}
		}
		better := best == nil || x.score < bestTime.score
		if bound && best != nil {
			better = x.expected+r.leavingCost(q) < bestTime.expected
		}
		if better {
			best, bestTime = e, x
		}
		if t < remote && r.isSufficient(best, bestTime, t, s, q, now) {
			break
		}
	}
	return best, wait
}

// isSufficient reports whether the best endpoint so far is good enough to skip the
// tiers further away: its load is low, it is not much slower than the average of the
// service, and it does not fail. For a call with a soft deadline, the response must
// instead be expected well before then.
func (r *Router) isSufficient(e *endpoint, x estimate, t tier, s *service, q *Query, now time.Time) bool {
	spill := r.params.ZoneSpill
	if t == sameRegion {
		spill = r.params.RegionSpill
	}
	latency, failures := s.history(e, s.meanLatency, now, r.params.HistoryDecayTime)
	if !q.Call.SoftDeadline.IsZero() {
		deadlineShare := r.params.SameZoneDeadlineShare
		if r.bodyLength(q) >= r.params.LongBodyBytes {
			deadlineShare = r.params.LongBodyDeadlineShare
		}
		return failures < 0.5 && x.expected <= deadlineShare*float64(q.Call.SoftDeadline.Sub(now))
	}
	return e.load(now, &r.params) < spill*e.capacity(now, &r.params) && failures < 0.5 &&
		(t == sameRegion || latency <= r.params.SlowFactor*s.meanLatency)
}

const (
	// firstChoices is the number of random endpoints that are compared for the first
	// attempt of a call, and moreChoices is added for each endpoint that it has tried. More
	// choices at first would send the calls of all entry nodes to the same endpoints.
	firstChoices, moreChoices = 2, 2
	// leavingChoices is the number of endpoints of the zone that are compared before a call
	// leaves it: all of the zone in deployments of the known sizes.
	leavingChoices = 10
	// tieMargin is the relative difference of scores below which the first random choice
	// wins, so that endpoints whose averages differ by less than noise share calls.
	tieMargin = 0.01
)

// bestOfRandom returns the endpoint with the lowest score of some random ones of a
// non-empty list, which it reorders.
func (r *Router) bestOfRandom(list []*endpoint, choices int, t tier, s *service, q *Query, rnd Random, now time.Time) (best *endpoint, bestTime estimate) {
	for i := range min(len(list), choices) {
		j := i + rnd.IntN(len(list)-i)
		list[i], list[j] = list[j], list[i]
		if x := r.estimate(list[i], t, s, q, now); best == nil || x.score < bestTime.score*(1-tieMargin) {
			best, bestTime = list[i], x
		}
	}
	return best, bestTime
}

// estimate holds times in ns to the response of one more call: network round trip,
// wait for a slot and execution on an endpoint.
type estimate struct {
	expected float64
	wait     float64 // the part of expected until a slot is free, 0 if one should be
	call     float64 // the mean duration of a call on the endpoint
	// score also counts the risk that reports are out of date, and spreads calls over
	// endpoints with free slots.
	score float64
}

func (r *Router) estimate(e *endpoint, t tier, s *service, q *Query, now time.Time) estimate {
	roundTrip := float64([tierCount]time.Duration{0, r.params.RegionCost, r.params.RemoteCost}[t])
	meanLatency := s.meanLatency
	if meanLatency == 0 {
		meanLatency = float64(time.Millisecond)
	}
	call, failures := s.history(e, meanLatency, now, r.params.HistoryDecayTime)
	call *= (1 + r.params.FailureCost*failures) * e.slowFactor(now, &r.params)
	load, capacity := e.load(now, &r.params)+1, e.capacity(now, &r.params)
	utilization := load / capacity
	queued := max(load-capacity, 0) / capacity // calls that must end first, for each slot
	execution := call * s.routeFactor(q.Call.Route)
	return estimate{
		expected: roundTrip + execution + call*(fullWait*power4(min(utilization, 1))+queued),
		wait:     call * queued,
		call:     call,
		score:    roundTrip + execution + call*(power4(utilization)+queued),
	}
}

// fullWait is the expected wait at an endpoint whose last slot is about to be taken, in
// units of the call duration.
const fullWait = 0.25

func power4(x float64) float64 { return x * x * x * x }

func (e *endpoint) target() mesh.Target {
	m := &e.member
	return mesh.Target{
		Node: m.Node, Incarnation: m.Incarnation, PeerAddress: m.PeerAddress,
		Zone: m.Zone, Service: m.Endpoint.Service, Version: m.Endpoint.Version,
	}
}
