package rollout

import (
	"time"

	"teaselring/mesh"
	"teaselring/result"
)

const (
	// windowSpan is the sliding window in which faults are detected, so that a good
	// start does not hide the later faults of a version.
	windowSpan = 3 * time.Second
	slotSpan   = 500 * time.Millisecond

	// coldStartSpan is the time after a server was first seen in which its responses may be
	// slow because it has just started.
	coldStartSpan = 4 * time.Second
)

// RouteCounts holds the call counts of both versions on one route.
type RouteCounts struct {
	Route mesh.RouteID `cbor:"1,keyasint"`
	Old   CallCounts   `cbor:"2,keyasint"`
	New   CallCounts   `cbor:"3,keyasint"`
	// LatencyTarget is the latency up to which a response on the route has its full
	// value; 0: unknown.
	LatencyTarget time.Duration `cbor:"4,keyasint,omitempty"`
}

func (c *RouteCounts) add(o *RouteCounts) {
	c.Old.add(&o.Old)
	c.New.add(&o.New)
	c.LatencyTarget = max(c.LatencyTarget, o.LatencyTarget)
}

// CallCounts counts the calls of one version by outcome.
type CallCounts struct {
	Calls     uint32        `cbor:"1,keyasint"`
	Failures  uint32        `cbor:"2,keyasint"`
	WarmCalls uint32        `cbor:"3,keyasint"` // successful calls; of the new version only those after the cold start
	WarmTime  time.Duration `cbor:"4,keyasint"` // total duration of the warm calls
	// Judged counts the calls after the cold start, Late those of them that failed or
	// took longer than the route's latency target.
	Judged uint32 `cbor:"5,keyasint,omitempty"`
	Late   uint32 `cbor:"6,keyasint,omitempty"`
}

func (c *CallCounts) add(o *CallCounts) {
	c.Calls += o.Calls
	c.Failures += o.Failures
	c.WarmCalls += o.WarmCalls
	c.WarmTime += o.WarmTime
	c.Judged += o.Judged
	c.Late += o.Late
}

func (c *CallCounts) lateRate() float64 {
	if c.Judged == 0 {
		return 0
	}
	return float64(c.Late) / float64(c.Judged)
}

func (c *CallCounts) failureRate() float64 {
	if c.Calls == 0 {
		return 0
	}
	return float64(c.Failures) / float64(c.Calls)
}

func (c *CallCounts) meanTime() time.Duration {
	if c.WarmCalls == 0 {
		return 0
	}
	return c.WarmTime / time.Duration(c.WarmCalls)
}

// Evidence counts calls over a sliding window. It is not safe for concurrent use.
type Evidence struct {
	slots []slot
	// total counts the calls since the move began. Once the new version gets all calls,
	// only these are left to compare with; and a version with few calls shows its faults
	// only over the whole time.
	total map[mesh.RouteID]*RouteCounts
	// past compares the versions over the slots that have left the window.
	past map[mesh.RouteID]*comparison
	// pastLoaded is the part of past in which the new version got most calls.
	pastLoaded map[mesh.RouteID]*comparison
	servers    map[mesh.NodeID]server // of both versions, by node
}

// server is an upstream process and the time when this node first saw it.
type server struct {
	process   string
	firstSeen time.Time
}

type slot struct {
	at     time.Time
	routes map[mesh.RouteID]*RouteCounts
}

// loaded reports whether the new version got most calls.
func (s *slot) loaded() bool {
	var before, after uint32
	for _, c := range s.routes {
		before += c.Old.Calls
		after += c.New.Calls
	}
	return after > before
}

// NewEvidence returns empty evidence.
func NewEvidence() *Evidence {
	return &Evidence{
		total: map[mesh.RouteID]*RouteCounts{}, past: map[mesh.RouteID]*comparison{}, pastLoaded: map[mesh.RouteID]*comparison{},
		servers: map[mesh.NodeID]server{},
	}
}

// UpdateServers records the servers of a service. A node of a large mesh calls most
// servers of a new version for the first time when that version gets all calls; with
// cold starts counted from the first call, the times of all earlier calls would be
// ignored.
func (e *Evidence) UpdateServers(view *mesh.View, service mesh.ServiceID, now time.Time) {
	for i := range view.Members {
		m := &view.Members[i]
		if m.Endpoint.Service != service || m.Endpoint.State == mesh.EndpointNone {
			continue
		}
		if s, ok := e.servers[m.Node]; !ok || s.process != m.Endpoint.Process {
			e.servers[m.Node] = server{process: m.Endpoint.Process, firstSeen: now}
		}
	}
}

// Observe counts the outcome of a call to either version if the server caused it.
func (e *Evidence) Observe(r *mesh.Rollout, o *mesh.Outcome, now time.Time) {
	if o.Target.Service != r.Service || !isServerOutcome(o) {
		return
	}
	c := e.route(o.Route, now)
	c.LatencyTarget = o.LatencyTarget
	count := &c.Old
	switch o.Target.Version {
	case r.New:
		count = &c.New
	case r.Old:
	default:
		return
	}
	server, ok := e.servers[o.Target.Node]
	if !ok {
		server.firstSeen = now
		e.servers[o.Target.Node] = server
	}
	warm := now.Sub(server.firstSeen) >= coldStartSpan || count == &c.Old
	count.record(o, warm)
}

// record counts one call. Times are those of the server where they are known: a wait for
// a slot shows the load, not the version.
func (c *CallCounts) record(o *mesh.Outcome, warm bool) {
	took := o.ServerTime
	if took == 0 {
		took = o.Duration
	}
	c.Calls++
	if o.Failed {
		c.Failures++
	}
	if !warm {
		return
	}
	c.Judged++
	if o.Failed || (o.LatencyTarget > 0 && took > o.LatencyTarget) {
		c.Late++
	}
	if !o.Failed {
		c.WarmCalls++
		c.WarmTime += took
	}
}

// isServerOutcome reports whether the server caused an outcome. A refusal before the
// server, a node that aborted and a caller that left are not caused by it.
func isServerOutcome(o *mesh.Outcome) bool {
	if o.Code == 0 {
		return !o.Shed
	}
	return o.Code == result.UpstreamLost.Number || o.Code == result.DeadlineDuring.Number
}

// Progress returns the sums of all reports. A slow version's calls count only when they
// have ended.
func (e *Evidence) Progress() Progress {
	var p Progress
	for _, c := range e.total {
		p.Calls += c.Old.Calls + c.New.Calls
		p.New += c.New.Calls
		p.Judged += c.New.Judged
	}
	return p
}

// Add adds the counts of another node.
func (e *Evidence) Add(routes []RouteCounts, now time.Time) {
	for i := range routes {
		r := &routes[i]
		c := e.route(r.Route, now)
		c.add(r)
		if e.total[r.Route] == nil {
			e.total[r.Route] = &RouteCounts{Route: r.Route}
		}
		e.total[r.Route].add(r)
	}
}

func (e *Evidence) route(id mesh.RouteID, now time.Time) *RouteCounts {
	n := len(e.slots)
	if n == 0 || now.Sub(e.slots[n-1].at) >= slotSpan {
		e.slots = append(e.slots, slot{at: now, routes: map[mesh.RouteID]*RouteCounts{}})
	}
	for len(e.slots) > 1 && now.Sub(e.slots[0].at) > windowSpan {
		e.addSlot(e.past, &e.slots[0])
		if e.slots[0].loaded() {
			e.addSlot(e.pastLoaded, &e.slots[0])
		}
		e.slots = e.slots[1:]
	}
	routes := e.slots[len(e.slots)-1].routes
	if routes[id] == nil {
		routes[id] = &RouteCounts{Route: id}
	}
	return routes[id]
}

// window returns the counts of each route over the last windowSpan.
func (e *Evidence) window(now time.Time) map[mesh.RouteID]*RouteCounts {
	sums := map[mesh.RouteID]*RouteCounts{}
	for _, s := range e.slots {
		if now.Sub(s.at) > windowSpan {
			continue
		}
		for id, c := range s.routes {
			if sums[id] == nil {
				sums[id] = &RouteCounts{Route: id}
			}
			sums[id].add(c)
		}
	}
	return sums
}

// Flush returns the counts and clears them, so that a report holds what was counted
// since the last one.
func (e *Evidence) Flush() []RouteCounts {
	var routes []RouteCounts
	if n := len(e.slots); n > 0 {
		for _, c := range e.window(e.slots[n-1].at) {
			routes = append(routes, *c)
		}
	}
	e.slots = nil
	return routes
}
