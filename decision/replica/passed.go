package replica

import (
	"time"

	"teaselring/mesh"
)

const (
	// silentLeast is how long a node that did not answer is passed over first; it
	// doubles each time up to silentMost. The rows of machines that are gone for
	// good stay, and each question to one takes time in which nothing is learned.
	silentLeast = 3 * time.Second
	silentMost  = 48 * time.Second
	// lostFor is how long a node that is out of touch with the store is passed
	// over. The platform wants rows back two seconds after the store's return.
	lostFor = 1500 * time.Millisecond
)

// Passed are the nodes that are passed over. It is not safe for concurrent use.
type Passed struct{ nodes map[mesh.NodeID]passed }

type passed struct {
	incarnation mesh.Incarnation
	times       int // silent in a row
	silent      time.Time
	lost        time.Time // both until then
}

// NewPassed returns an empty list.
func NewPassed() *Passed { return &Passed{nodes: map[mesh.NodeID]passed{}} }

func (p *Passed) of(m *mesh.Member) passed {
	if e := p.nodes[m.Node]; e.incarnation == m.Incarnation {
		return e
	}
	return passed{incarnation: m.Incarnation}
}

// NoteSilent notes that a life of a node did not answer.
func (p *Passed) NoteSilent(m *mesh.Member, now time.Time) {
	e := p.of(m)
	e.silent = now.Add(min(silentLeast<<min(e.times, 8), silentMost))
	e.times++
	p.nodes[m.Node] = e
}

// NoteLost notes that a node answered that it is out of touch with the store.
func (p *Passed) NoteLost(m *mesh.Member, now time.Time) {
	p.nodes[m.Node] = passed{incarnation: m.Incarnation, lost: now.Add(lostFor)}
}

// NoteCurrent notes that a node answered and is in touch with the store.
func (p *Passed) NoteCurrent(m *mesh.Member) { delete(p.nodes, m.Node) }

// Silent reports whether a life of a node is passed over because it was silent.
func (p *Passed) Silent(m *mesh.Member, now time.Time) bool { return now.Before(p.of(m).silent) }

// Lost reports whether it is passed over because it had lost the store.
func (p *Passed) Lost(m *mesh.Member, now time.Time) bool { return now.Before(p.of(m).lost) }
