package rollout

import (
	"time"

	"teaselring/mesh"
	"teaselring/result"
)

const (
	// windowSpan is the time over which a fault is looked for: a version that
	// turns bad late must not hide behind its good start.
	windowSpan = 3 * time.Second
	slotSpan   = 500 * time.Millisecond

	// coldSpan is the time after a server became known in which its answers may be
	// slow because it has just started.
	coldSpan = 4 * time.Second
)

// Counts are what the calls of both versions on one route came to.
type Counts struct {
	Route mesh.RouteID `cbor:"1,keyasint"`
	Old   Count        `cbor:"2,keyasint"`
	New   Count        `cbor:"3,keyasint"`
	// Aim is the time in which an answer on the route has its full worth; 0: unknown.
	Aim time.Duration `cbor:"4,keyasint,omitempty"`
}

func (c *Counts) add(o *Counts) {
	c.Old.add(&o.Old)
	c.New.add(&o.New)
	c.Aim = max(c.Aim, o.Aim)
}

// Count is what the calls of one version came to.
type Count struct {
	Calls    uint32        `cbor:"1,keyasint"`
	Failures uint32        `cbor:"2,keyasint"`
	Warm     uint32        `cbor:"3,keyasint"` // answered calls of servers that have been up for a while
	Time     time.Duration `cbor:"4,keyasint"` // of the warm calls
}

func (c *Count) add(o *Count) {
	c.Calls += o.Calls
	c.Failures += o.Failures
	c.Warm += o.Warm
	c.Time += o.Time
}

func (c *Count) failed() float64 {
	if c.Calls == 0 {
		return 0
	}
	return float64(c.Failures) / float64(c.Calls)
}

func (c *Count) mean() time.Duration {
	if c.Warm == 0 {
		return 0
	}
	return c.Time / time.Duration(c.Warm)
}

// Evidence gathers counts over a sliding window. It is not safe for concurrent use.
type Evidence struct {
	slots []slot
	// old counts the old version's calls since the move began. Once the new version
	// gets all calls, it is what remains to compare with.
	old  map[mesh.RouteID]*Count
	seen map[mesh.NodeID]sight // of the servers of both versions, by their nodes
}

// sight tells since when a server is known.
type sight struct {
	process string
	at      time.Time
}

type slot struct {
	at     time.Time
	routes map[mesh.RouteID]*Counts
}

// NewEvidence returns empty evidence.
func NewEvidence() *Evidence {
	return &Evidence{old: map[mesh.RouteID]*Count{}, seen: map[mesh.NodeID]sight{}}
}

// See notes the servers of a service. A node of a large mesh meets most servers of a
// new version only when that gets all calls; counted from the first call, the times
// of all answers before would be ignored.
func (e *Evidence) See(view *mesh.View, service mesh.ServiceID, now time.Time) {
	for i := range view.Members {
		m := &view.Members[i]
		if m.Endpoint.Service != service || m.Endpoint.State == mesh.EndpointNone {
			continue
		}
		if s, known := e.seen[m.Node]; !known || s.process != m.Endpoint.Process {
			e.seen[m.Node] = sight{process: m.Endpoint.Process, at: now}
		}
	}
}

// Observe counts the outcome of a call, if it says something about a version.
func (e *Evidence) Observe(r *mesh.Rollout, o *mesh.Outcome, now time.Time) {
	if o.Target.Service != r.Service || !telling(o) {
		return
	}
	c := e.route(o.Route, now)
	c.Aim = o.Aim
	count := &c.Old
	switch o.Target.Version {
	case r.New:
		count = &c.New
	case r.Old:
	default:
		return
	}
	count.Calls++
	if o.Failed {
		count.Failures++
		return
	}
	first, known := e.seen[o.Target.Node]
	if !known {
		first.at = now
		e.seen[o.Target.Node] = first
	}
	if now.Sub(first.at) >= coldSpan || count == &c.Old {
		count.Warm++
		count.Time += o.Duration
	}
}

// telling reports whether an outcome is the server's doing. A refusal before the
// server, a node that broke off and a caller that left are not.
func telling(o *mesh.Outcome) bool {
	if o.Code == 0 {
		return !o.Shed
	}
	return o.Code == result.UpstreamLost.Number || o.Code == result.DeadlineDuring.Number
}

// Add counts what another node observed.
func (e *Evidence) Add(routes []Counts, now time.Time) {
	for i := range routes {
		r := &routes[i]
		c := e.route(r.Route, now)
		c.add(r)
		if e.old[r.Route] == nil {
			e.old[r.Route] = &Count{}
		}
		e.old[r.Route].add(&r.Old)
	}
}

func (e *Evidence) route(id mesh.RouteID, now time.Time) *Counts {
	n := len(e.slots)
	if n == 0 || now.Sub(e.slots[n-1].at) >= slotSpan {
		e.slots = append(e.slots, slot{at: now, routes: map[mesh.RouteID]*Counts{}})
	}
	for len(e.slots) > 1 && now.Sub(e.slots[0].at) > windowSpan {
		e.slots = e.slots[1:]
	}
	routes := e.slots[len(e.slots)-1].routes
	if routes[id] == nil {
		routes[id] = &Counts{Route: id}
	}
	return routes[id]
}

// window returns the counts of each route over the last windowSpan.
func (e *Evidence) window(now time.Time) map[mesh.RouteID]*Counts {
	sums := map[mesh.RouteID]*Counts{}
	for _, s := range e.slots {
		if now.Sub(s.at) > windowSpan {
			continue
		}
		for id, c := range s.routes {
			if sums[id] == nil {
				sums[id] = &Counts{Route: id}
			}
			sums[id].add(c)
		}
	}
	return sums
}

// Take returns what was counted and forgets it, so that a report holds what is
// new since the last one.
func (e *Evidence) Take() []Counts {
	var routes []Counts
	if n := len(e.slots); n > 0 {
		for _, c := range e.window(e.slots[n-1].at) {
			routes = append(routes, *c)
		}
	}
	e.slots = nil
	return routes
}
