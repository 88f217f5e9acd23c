package membership

import (
	"time"

	"teaselring/mesh"
)

// pauseLimit is the gap between ticks that shows a pause of the node.
const pauseLimit = 500 * time.Millisecond

// Upstream follows the announcements of the upstream beside the node.
type Upstream struct {
	goneAfter time.Duration
	endpoint  mesh.Endpoint
	lastSeen  time.Time
	lastTick  time.Time
	drained   string // process that an operator drains
}

// NewUpstream returns the state before the first announcement. An upstream is
// gone when it has not announced itself for goneAfter.
func NewUpstream(goneAfter time.Duration) *Upstream { return &Upstream{goneAfter: goneAfter} }

// Endpoint returns the current endpoint.
func (u *Upstream) Endpoint() mesh.Endpoint { return u.endpoint }

// Announce takes an announcement and reports whether the endpoint changed.
// Draining is final for one process: a late announcement from before it must
// not bring the upstream back.
func (u *Upstream) Announce(e mesh.Endpoint, now time.Time) bool {
	u.lastSeen = now
	same := e.Process == u.endpoint.Process
	if e.Process == u.drained || (same && u.endpoint.State == mesh.EndpointDraining) {
		e.State = mesh.EndpointDraining
	}
	if e == u.endpoint {
		return false
	}
	u.endpoint = e
	return true
}

// Drain marks the running process as draining until it is replaced. It
// returns false when no upstream is running.
func (u *Upstream) Drain() bool {
	if u.endpoint.State == mesh.EndpointNone || u.endpoint.State == mesh.EndpointGone {
		return false
	}
	u.drained = u.endpoint.Process
	u.endpoint.State = mesh.EndpointDraining
	return true
}

// Tick reports whether the upstream has just gone. It is called every 100 ms.
// A gap between calls shows that the node was paused and could not listen, so
// the upstream is given that time.
func (u *Upstream) Tick(now time.Time) bool {
	if gap := now.Sub(u.lastTick); !u.lastTick.IsZero() && gap >= pauseLimit {
		u.lastSeen = u.lastSeen.Add(gap)
	}
	u.lastTick = now
	running := u.endpoint.State != mesh.EndpointNone && u.endpoint.State != mesh.EndpointGone
	if !running || now.Sub(u.lastSeen) < u.goneAfter {
		return false
	}
	u.endpoint.State = mesh.EndpointGone
	return true
}
