package routing

import (
	"slices"

	"teaselring/mesh"
)

// versions returns the upstream version that a call goes to, and the one to
// use when the first has no usable endpoint (empty: none). The draw decides
// between both versions of a move. A call drawn for the new version falls back
// to the old one, but never the other way below full share, because the share
// is the limit for an unproven version.
func (s *service) versions(split mesh.Split, q *Query) (first, second mesh.UpstreamVersion) {
	if len(split.Routes) > 0 && !slices.Contains(split.Routes, q.Call.Route) {
		return split.Old, ""
	}
	s.noteSplit(split)
	if unit(q.Draw) < split.Share {
		return split.New, split.Old
	}
	if s.hasReady(split.Old) || s.inUse == split.New {
		return split.Old, ""
	}
	return split.Old, s.inUse
}

// noteSplit keeps the version in use in step with a move that has ended.
func (s *service) noteSplit(split mesh.Split) {
	switch {
	case split.Share >= 1 && s.hasReady(split.New):
		s.inUse = split.New
	case split.Share <= 0 && s.hasReady(split.Old):
		s.inUse = split.Old
	}
}

func (s *service) hasReady(v mesh.UpstreamVersion) bool {
	for _, e := range s.endpoints {
		if e.member.Endpoint.Version == v && e.member.Ready() {
			return true
		}
	}
	return false
}

// chooseInUse decides which version serves a service that has no move. A new
// version is announced before its move is declared, and must not get calls
// until then. The version in use is kept while it has a ready endpoint. Else
// the one with most ready endpoints is taken, then the one whose nodes have
// been up longest.
func (s *service) chooseInUse() {
	if s.inUse != "" && s.hasReady(s.inUse) {
		return
	}
	type tally struct {
		ready  int
		oldest mesh.Incarnation
	}
	tallies := map[mesh.UpstreamVersion]tally{}
	for _, e := range s.endpoints {
		if !e.member.Ready() {
			continue
		}
		t, seen := tallies[e.member.Endpoint.Version]
		t.ready++
		if !seen || e.member.Incarnation < t.oldest {
			t.oldest = e.member.Incarnation
		}
		tallies[e.member.Endpoint.Version] = t
	}
	var best tally
	for v, t := range tallies {
		better := t.ready > best.ready || (t.ready == best.ready && t.oldest < best.oldest)
		tie := t == best && v < s.inUse
		if better || tie {
			s.inUse, best = v, t
		}
	}
}

// CallDraw derives the random number of a call from its envelope, which is the
// same for each attempt, and a seed that differs between nodes.
func CallDraw(seed uint64, c *mesh.Call) uint64 {
	h := mix(seed ^ uint64(c.Deadline.UnixNano()))
	h = mix(h ^ c.Fingerprint)
	for i := range len(c.Caller) {
		h = mix(h ^ uint64(c.Caller[i]))
	}
	return h
}

// mix is the finalizer of SplitMix64 (Steele, Lea, Flood 2014).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// unit maps a random number to [0, 1).
func unit(x uint64) float64 { return float64(mix(x)>>11) / (1 << 53) }
