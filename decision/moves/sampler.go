package moves

import (
	"math/bits"
	"time"

	"teaselring/mesh"
)

// sampler turns the outcomes that one node saw into tallies. It leaves out
// what says nothing about a version: cold starts, refusals under load, calls
// that never reached an upstream, and the consequences of one crash.
type sampler struct {
	evidence  mesh.Evidence
	processes map[mesh.NodeID]*process
	shiftedAt time.Time // when the new version got its first share here
}

// process is one life of an upstream, as far as this node used it.
type process struct {
	id        string
	seen      time.Time
	called    time.Time // first call of this node
	calls     int
	lastCrash time.Time
}

func newSampler(move mesh.MoveID, node mesh.NodeID, life mesh.Incarnation) *sampler {
	return &sampler{
		evidence:  mesh.Evidence{Move: move, Node: node, Incarnation: life},
		processes: map[mesh.NodeID]*process{},
	}
}

// members notes new lives of upstreams.
func (s *sampler) members(view *mesh.View, now time.Time) {
	for i := range view.Members {
		m := &view.Members[i]
		if p := s.processes[m.Node]; p == nil || p.id != m.Endpoint.Process {
			next := &process{id: m.Endpoint.Process, seen: now}
			if p != nil {
				next.lastCrash = p.lastCrash
			}
			s.processes[m.Node] = next
		}
	}
}

// observe counts one outcome. Nodes is the number of nodes that report, from
// which the calls of an upstream on all nodes are estimated.
func (s *sampler) observe(o *mesh.Outcome, isNew bool, nodes int, now time.Time) {
	p := s.processes[o.Target.Node]
	if p == nil {
		p = &process{seen: now}
		s.processes[o.Target.Node] = p
	}
	if p.calls == 0 {
		p.called = now
	}
	p.calls++
	t := s.tally(o.Route, isNew)
	switch {
	case o.Crashed:
		s.crash(t, p, now)
	case o.Shed:
		s.shed(t, o)
	case o.Code != 0 && !o.Failed:
		// Refused on the way, for a reason that no upstream caused.
	case s.cold(p, isNew, nodes, now) || now.Sub(p.lastCrash) < crashEcho:
	case o.Failed:
		t.Calls++
		t.Failures++
	default:
		t.Calls++
		if o.Load == nil || o.Load.Queued == 0 {
			t.Latency[bucket(o.Duration)]++
		}
	}
}

// crash counts one crash for all calls that it ended here. Crashes count from
// the first call on: a process that never survives its start is bad.
func (s *sampler) crash(t *mesh.Tally, p *process, now time.Time) {
	if now.Sub(p.lastCrash) >= crashEcho {
		t.Calls++
		t.Crashes++
	}
	p.lastCrash = now
}

// shed counts a refusal. An upstream that refuses while its node reports less
// than half of its limit in use fails, whatever it calls that.
func (s *sampler) shed(t *mesh.Tally, o *mesh.Outcome) {
	if l := o.Load; l != nil && 2*(l.InFlight+l.Queued) < l.Limit {
		t.Calls++
		t.Failures++
		return
	}
	t.Shed++
}

func (s *sampler) cold(p *process, isNew bool, nodes int, now time.Time) bool {
	from := p.seen
	if isNew {
		from = later(from, s.shiftedAt)
	}
	return now.Sub(later(from, p.called)) < coldSpan || p.calls*max(nodes, 1) < coldCalls
}

func (s *sampler) tally(route mesh.RouteID, isNew bool) *mesh.Tally {
	c := comparison(&s.evidence, route, 0)
	if c == nil {
		s.evidence.Routes = append(s.evidence.Routes, mesh.Comparison{Route: route})
		c = &s.evidence.Routes[len(s.evidence.Routes)-1]
	}
	if isNew {
		return &c.New
	}
	return &c.Old
}

// report returns a copy of the evidence with the next sequence number.
func (s *sampler) report() mesh.Evidence {
	s.evidence.Sequence++
	e := s.evidence
	e.Routes = append([]mesh.Comparison(nil), e.Routes...)
	return e
}

// bucket is the index of a latency in mesh.Tally: 250 µs × 2^i.
func bucket(d time.Duration) int {
	return min(bits.Len64(uint64(max(d, 0)/(250*time.Microsecond))), mesh.LatencyBuckets-1)
}
