package replica

import (
	"time"

	"teaselring/mesh"
)

const (
	// minNoResponseBackoff is how long a node is skipped after its first request
	// without a response; it doubles with each further one up to
	// maxNoResponseBackoff. Machines that are removed for good keep their rows, and
	// each request to one delays the receipt of changes until it times out.
	minNoResponseBackoff = 3 * time.Second
	maxNoResponseBackoff = 48 * time.Second
	// storeLostBackoff is how long a node without a connection to the store is
	// skipped. The platform requires rows within two seconds of the store's recovery.
	storeLostBackoff = 1500 * time.Millisecond
)

// PeerBackoff tracks the nodes that are skipped as sources of rows. It is not safe
// for concurrent use.
type PeerBackoff struct{ nodes map[mesh.NodeID]backoffState }

type backoffState struct {
	incarnation     mesh.Incarnation
	failures        int // consecutive requests without a response
	noResponseUntil time.Time
	storeLostUntil  time.Time
}

// NewPeerBackoff returns a PeerBackoff that skips no node.
func NewPeerBackoff() *PeerBackoff { return &PeerBackoff{nodes: map[mesh.NodeID]backoffState{}} }

func (p *PeerBackoff) get(m *mesh.Member) backoffState {
	if e := p.nodes[m.Node]; e.incarnation == m.Incarnation {
		return e
	}
	return backoffState{incarnation: m.Incarnation}
}

// failures returns the number of consecutive requests to a node without a response.
func (p *PeerBackoff) failures(m *mesh.Member) int { return p.get(m).failures }

// RecordNoResponse records that an incarnation of a node did not respond.
func (p *PeerBackoff) RecordNoResponse(m *mesh.Member, now time.Time) {
	e := p.get(m)
	e.noResponseUntil = now.Add(min(minNoResponseBackoff<<min(e.failures, 8), maxNoResponseBackoff))
	e.failures++
	p.nodes[m.Node] = e
}

// RecordStoreLost records that a node reported the loss of its connection to the
// store.
func (p *PeerBackoff) RecordStoreLost(m *mesh.Member, now time.Time) {
	p.nodes[m.Node] = backoffState{incarnation: m.Incarnation, storeLostUntil: now.Add(storeLostBackoff)}
}

// RecordConnected records that a node responded and is connected to the store.
func (p *PeerBackoff) RecordConnected(m *mesh.Member) { delete(p.nodes, m.Node) }

// Unresponsive reports whether an incarnation of a node is skipped because it did
// not respond.
func (p *PeerBackoff) Unresponsive(m *mesh.Member, now time.Time) bool {
	return now.Before(p.get(m).noResponseUntil)
}

// StoreLost reports whether an incarnation of a node is skipped because it had lost
// the store.
func (p *PeerBackoff) StoreLost(m *mesh.Member, now time.Time) bool {
	return now.Before(p.get(m).storeLostUntil)
}
