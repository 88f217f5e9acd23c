package routing

import (
	"fmt"
	"slices"
	"time"

	"teaselring/mesh"
)

// Passed counts the owner nodes of a service that a refused call could not use, each by
// the first reason that holds, in the order of the fields.
type Passed struct {
	Leaving      int // not ready: starting, draining, gone, or its node is not alive
	Evacuated    int // in a zone that is being evacuated, or in a region that the call must not use
	OtherVersion int
	Tried        int // by the call
	Avoided      int // unreachable lately
	Full         int // in a pause after a refusal, or without a slot in time
	Outside      int // outside the zone, beyond what the call may try or would gain
	// KnownAge is the age of the newest report of the service's load; 0: none.
	KnownAge time.Duration
}

// String returns the counts that are not zero, for log lines.
func (p *Passed) String() string {
	var text []byte
	for _, c := range p.ByReason() {
		if c.Count > 0 {
			text = fmt.Appendf(text, "%s %d, ", c.Reason, c.Count)
		}
	}
	if p.KnownAge == 0 {
		return string(append(text, "no load reported"...))
	}
	return string(fmt.Appendf(text, "load reported %d ms ago", p.KnownAge.Milliseconds()))
}

// PassedCount is one reason of Passed.
type PassedCount struct {
	Reason string
	Count  int
}

// ByReason returns the counts with the names of their reasons in metrics and log lines.
func (p *Passed) ByReason() []PassedCount {
	return []PassedCount{
		{"leaving", p.Leaving},
		{"evacuated", p.Evacuated},
		{"other_version", p.OtherVersion},
		{"tried", p.Tried},
		{"avoided", p.Avoided},
		{"full", p.Full},
		{"outside", p.Outside},
	}
}

// passedOver counts why the endpoints of a service could not be used for a call.
func (r *Router) passedOver(s *service, versions [2]mesh.UpstreamVersion, q *Query, now time.Time) (p Passed) {
	for _, e := range s.endpoints {
		if at := e.reported.at; !at.IsZero() {
			if age := max(now.Sub(at), 1); p.KnownAge == 0 || age < p.KnownAge {
				p.KnownAge = age
			}
		}
		switch {
		case !e.member.Ready():
			p.Leaving++
		case !q.allows(&e.member):
			p.Evacuated++
		case !slices.Contains(versions[:], e.member.Endpoint.Version):
			p.OtherVersion++
		case slices.Contains(q.Tried, e.member.Node):
			p.Tried++
		case e.avoided(now):
			p.Avoided++
		case r.distance(&e.member) == sameZone || e.isFull(now, &r.params):
			p.Full++
		default:
			p.Outside++
		}
	}
	return p
}
