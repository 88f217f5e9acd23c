package routing

import (
	"slices"

	"teaselring/mesh"
)

// versions returns the upstream version for a call, and the fallback (empty: none)
// if that has no usable endpoint. During a move the draw selects the version. A call
// drawn for the new version may fall back to the old one. The reverse is not allowed
// below full share, because the share is the limit for an unproven version.
func (s *service) versions(split mesh.Split, q *Query) (preferred, fallback mesh.UpstreamVersion) {
	if len(split.Routes) > 0 && !slices.Contains(split.Routes, q.Call.Route) {
		return split.Old, ""
	}
	s.updateCurrentVersion(split)
	if unit(q.Draw) < split.Share {
		return split.New, split.Old
	}
	if s.hasReady(split.Old) || s.currentVersion == split.New {
		return split.Old, ""
	}
	return split.Old, s.currentVersion
}

// updateCurrentVersion adopts the final version of a completed or reverted move.
func (s *service) updateCurrentVersion(split mesh.Split) {
	switch {
	case split.Share >= 1 && s.hasReady(split.New):
		s.currentVersion = split.New
	case split.Share <= 0 && s.hasReady(split.Old):
		s.currentVersion = split.Old
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

// chooseCurrentVersion selects the version for a service without a move. A new
// version is announced before its move is declared and must not get calls until
// then, so the current version is kept while it has a ready endpoint. Otherwise the
// version with the most ready endpoints is selected; a tie goes to the one whose
// oldest node started first.
func (s *service) chooseCurrentVersion() {
	if s.currentVersion != "" && s.hasReady(s.currentVersion) {
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
		tie := t == best && v < s.currentVersion
		if better || tie {
			s.currentVersion, best = v, t
		}
	}
}

// CallDraw derives the random number of a call from its envelope, which is the same
// for each attempt, and from a seed that differs between nodes.
func CallDraw(seed uint64, c *mesh.Call) uint64 {
	h := mix(seed ^ uint64(c.Deadline.UnixNano()))
	h = mix(h ^ c.Fingerprint)
	for i := range len(c.Caller) {
		h = mix(h ^ uint64(c.Caller[i]))
	}
	return h
}

// mix is the SplitMix64 finalizer (Steele, Lea, Flood 2014).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// unit maps a random number to [0, 1).
func unit(x uint64) float64 { return float64(mix(x)>>11) / (1 << 53) }
