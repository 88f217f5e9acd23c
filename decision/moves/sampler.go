package moves

import (
	"math/bits"
	"time"

	"teaselring/mesh"
)

// sampler tallies the outcomes that one node observed. It ignores what is no
// evidence about a version: cold starts, refusals under load, calls that never
// reached an upstream, and the consequences of one crash.
type sampler struct {
	evidence     mesh.Evidence
	processes    map[mesh.NodeID]*process
	firstShareAt time.Time // when the new version first got a share on this node
}

// process is one upstream process as this node observed it.
type process struct {
	id        string
	firstSeen time.Time
	firstCall time.Time // first call of this node
	calls     int
	lastCrash time.Time
}

func newSampler(move mesh.MoveID, node mesh.NodeID, incarnation mesh.Incarnation) *sampler {
	return &sampler{
		evidence:  mesh.Evidence{Move: move, Node: node, Incarnation: incarnation},
		processes: map[mesh.NodeID]*process{},
	}
}

// trackProcesses records new upstream processes.
func (s *sampler) trackProcesses(view *mesh.View, now time.Time) {
	for i := range view.Members {
		m := &view.Members[i]
		if p := s.processes[m.Node]; p == nil || p.id != m.Endpoint.Process {
			next := &process{id: m.Endpoint.Process, firstSeen: now}
			if p != nil {
				next.lastCrash = p.lastCrash
			}
			s.processes[m.Node] = next
		}
	}
}

// observe counts one outcome. nodes is the number of reporting nodes, from
// which the calls of an upstream on all nodes are estimated.
func (s *sampler) observe(o *mesh.Outcome, isNew bool, nodes int, now time.Time) {
	p := s.processes[o.Target.Node]
	if p == nil {
		p = &process{firstSeen: now}
		s.processes[o.Target.Node] = p
	}
	if p.calls == 0 {
		p.firstCall = now
	}
	p.calls++
	t := s.tally(o.Route, isNew)
	switch {
	case o.Crashed:
		s.recordCrash(t, p, now)
	case o.Shed:
		s.recordShed(t, o)
	case o.Code != 0 && !o.Failed:
		// Refused on the way, for a reason that no upstream caused.
	case s.inColdStart(p, isNew, nodes, now) || now.Sub(p.lastCrash) < crashAftermath:
	case o.Failed:
		t.Calls++
		t.Failures++
	default:
		t.Calls++
		if o.Load == nil || o.Load.Queued == 0 {
			t.Latency[latencyBucket(o.Duration)]++
		}
	}
}

// recordCrash counts a crash once for all calls that it ended on this node.
// Crashes count from the first call on: a process that never survives its start
// is bad.
func (s *sampler) recordCrash(t *mesh.Tally, p *process, now time.Time) {
	if now.Sub(p.lastCrash) >= crashAftermath {
		t.Calls++
		t.Crashes++
	}
	p.lastCrash = now
}

// recordShed counts a refusal. If the upstream's node reports less than half of
// the limit in use, the refusal is a failure, whatever the upstream calls it.
func (s *sampler) recordShed(t *mesh.Tally, o *mesh.Outcome) {
	if l := o.Load; l != nil && 2*(l.InFlight+l.Queued) < l.Limit {
		t.Calls++
		t.Failures++
		return
	}
	t.Shed++
}

func (s *sampler) inColdStart(p *process, isNew bool, nodes int, now time.Time) bool {
	from := p.firstSeen
	if isNew {
		from = mesh.Later(from, s.firstShareAt)
	}
	return now.Sub(mesh.Later(from, p.firstCall)) < coldStartSpan || p.calls*max(nodes, 1) < coldStartCalls
}

func (s *sampler) tally(route mesh.RouteID, isNew bool) *mesh.Tally {
	c := findComparison(&s.evidence, route, 0)
	if c == nil {
		s.evidence.Routes = append(s.evidence.Routes, mesh.Comparison{Route: route})
		c = &s.evidence.Routes[len(s.evidence.Routes)-1]
	}
	if isNew {
		return &c.New
	}
	return &c.Old
}

// nextReport returns a copy of the evidence with the next sequence number.
func (s *sampler) nextReport() mesh.Evidence {
	s.evidence.Sequence++
	e := s.evidence
	e.Routes = append([]mesh.Comparison(nil), e.Routes...)
	return e
}

// latencyBucket returns the index i of a latency in mesh.Tally: bucket i ends at
// 250 µs × 2^i.
func latencyBucket(d time.Duration) int {
	return min(bits.Len64(uint64(max(d, 0)/(250*time.Microsecond))), mesh.LatencyBuckets-1)
}
