package membership

import (
	"time"

	"teaselring/mesh"
)

// pauseLimit is the gap between ticks from which on the node counts as paused.
const pauseLimit = 500 * time.Millisecond

// Upstream tracks the announcements of the upstream beside the node.
type Upstream struct {
	goneAfter      time.Duration
	endpoint       mesh.Endpoint
	lastSeen       time.Time
	lastTick       time.Time
	drainedProcess string // process drained by an operator
}

// NewUpstream returns the state before the first announcement. An upstream
// without an announcement for goneAfter is gone.
func NewUpstream(goneAfter time.Duration) *Upstream { return &Upstream{goneAfter: goneAfter} }

// Endpoint returns the current endpoint.
func (u *Upstream) Endpoint() mesh.Endpoint { return u.endpoint }

// Announce processes an announcement and reports whether the endpoint changed.
// Draining is final for a process: a late announcement sent before it must not
// make the upstream ready again.
func (u *Upstream) Announce(e mesh.Endpoint, now time.Time) bool {
	u.lastSeen = now
	sameProcess := e.Process == u.endpoint.Process
	if e.Process == u.drainedProcess || (sameProcess && u.endpoint.State == mesh.EndpointDraining) {
		e.State = mesh.EndpointDraining
	}
	if e == u.endpoint {
		return false
	}
	u.endpoint = e
	return true
}

// Drain marks the running process as draining until another process replaces it.
// It returns false when no upstream is running.
func (u *Upstream) Drain() bool {
	if u.endpoint.State == mesh.EndpointNone || u.endpoint.State == mesh.EndpointGone {
		return false
	}
	u.drainedProcess = u.endpoint.Process
	u.endpoint.State = mesh.EndpointDraining
	return true
}

// Tick reports whether the upstream became gone in this call. It is called every
// 100 ms. A longer gap between calls means that the node was paused and received
// nothing, so the gap extends the upstream's deadline.
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
