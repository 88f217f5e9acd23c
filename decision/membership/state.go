// Package membership maintains a node's view of the other nodes: it merges member
// entries, suspects silent peers, refutes suspicions of the node itself and keeps
// tombstones. It is pure: time is an argument.
package membership

import (
	"slices"
	"strings"
	"time"

	"teaselring/mesh"
	"teaselring/result"
)

// Config holds the limits of a State. All durations are positive.
type Config struct {
	SuspectAfter time.Duration // silence of a linked peer until it is suspected
	DeadAfter    time.Duration // silence until a suspected peer is dead
	TombstoneFor time.Duration // how long entries of dead and left members are kept
	PauseLimit   time.Duration // gap between ticks from which on this node counts as paused
	MaxMembers   int           // members above this limit are not added
}

// DefaultConfig returns the limits of the design page.
func DefaultConfig() Config {
	return Config{
		SuspectAfter: 1500 * time.Millisecond,
		DeadAfter:    2500 * time.Millisecond,
		TombstoneFor: 10 * time.Minute,
		PauseLimit:   pauseLimit,
		MaxMembers:   5000,
	}
}

// entry is a member with its local state.
type entry struct {
	mesh.Member
	endedAt time.Time // when this node marked it dead or left
	hash    uint64    // contribution to the bucket digest
}

// Counts are totals since the start.
type Counts struct {
	Suspicions  int64 // of other nodes by this node
	Refutations int64 // of suspicions of this node
	Refused     int64 // entries not added because of MaxMembers
	Pauses      int64 // pauses of this node that postponed suspicions
}

// State is one node's view of the members. It is owned by one duty and not safe
// for concurrent use.
type State struct {
	cfg         Config
	self        mesh.NodeID
	joined      bool
	entries     map[mesh.NodeID]*entry
	order       []*entry // sorted by id
	buckets     [Buckets]uint64
	watches     map[mesh.NodeID]*linkWatch
	suspects    map[mesh.NodeID]suspicion
	changed     map[mesh.NodeID]struct{}
	lastTick    time.Time
	nextReap    time.Time
	viewCurrent bool // no change since the last call of View
	counts      Counts
}

// New returns the state of a node that has not joined and knows only itself. Until
// Join, its incarnation rises above any received one.
func New(self mesh.Member, cfg Config) *State {
	s := &State{
		cfg:      cfg,
		self:     self.Node,
		entries:  map[mesh.NodeID]*entry{},
		watches:  map[mesh.NodeID]*linkWatch{},
		suspects: map[mesh.NodeID]suspicion{},
		changed:  map[mesh.NodeID]struct{}{},
	}
	self.State = mesh.NodeAlive
	own := &entry{Member: self}
	s.entries[self.Node], s.order = own, []*entry{own}
	s.updateDigest(own)
	return s
}

// Join fixes the node's incarnation. From then on its own entry is gossiped.
func (s *State) Join() {
	s.joined = true
	s.markChanged(s.self)
}

// Joined reports whether Join was called.
func (s *State) Joined() bool { return s.joined }

// Self returns the node's own entry.
func (s *State) Self() mesh.Member { return s.entries[s.self].Member }

// Counts returns the totals since the start.
func (s *State) Counts() Counts { return s.counts }

// Len returns the number of members in any state.
func (s *State) Len() int { return len(s.entries) }

// CountByState returns the number of members in each state.
func (s *State) CountByState() map[mesh.NodeState]int {
	size := map[mesh.NodeState]int{}
	for _, e := range s.entries {
		size[e.State]++
	}
	return size
}

// UpdateSelf changes the node's own entry and increments its sequence. The state
// stays alive. It has no effect once the node has left.
func (s *State) UpdateSelf(change func(*mesh.Member)) {
	own := s.entries[s.self]
	if own.State == mesh.NodeLeft {
		return
	}
	change(&own.Member)
	own.State = mesh.NodeAlive
	own.Sequence++
	s.updateDigest(own)
	s.markChanged(s.self)
}

// Leave marks the node as left, which is final for this incarnation.
func (s *State) Leave() {
	own := s.entries[s.self]
	own.State = mesh.NodeLeft
	own.Sequence++
	s.updateDigest(own)
	s.markChanged(s.self)
}

// Merge merges entries received from a peer. It returns result.Conflict when
// another process runs under the node's own id with a higher incarnation.
func (s *State) Merge(entries []mesh.Member, now time.Time) error {
	for i := range entries {
		m := &entries[i]
		if m.Node == s.self {
			if err := s.mergeSelf(m); err != nil {
				return err
			}
			continue
		}
		s.mergeOther(*m, now)
	}
	return nil
}

// mergeSelf refutes a newer or worse state of the node's own entry. Before Join it
// raises the incarnation instead.
func (s *State) mergeSelf(m *mesh.Member) error {
	own := s.entries[s.self]
	if !s.joined {
		if m.Incarnation >= own.Incarnation {
			own.Incarnation = m.Incarnation + 1
			s.updateDigest(own)
		}
		return nil
	}
	if m.Incarnation > own.Incarnation {
		return result.Conflict.Errorf("node id %q is in use with incarnation %d, above this process's %d",
			s.self, m.Incarnation, own.Incarnation)
	}
	if m.Incarnation < own.Incarnation || m.Sequence < own.Sequence {
		return nil
	}
	if m.Sequence == own.Sequence && m.State <= own.State {
		return nil
	}
	s.counts.Refutations++
	own.Sequence = m.Sequence + 1
	s.updateDigest(own)
	s.markChanged(s.self)
	return nil
}

func (s *State) mergeOther(m mesh.Member, now time.Time) {
	if !validEntry(&m) {
		return
	}
	current := s.entries[m.Node]
	switch {
	case current == nil:
		s.add(m, now)
	case supersedes(&m, &current.Member):
		s.replace(current, m, now)
	case m.Incarnation == current.Incarnation && m.Sequence == current.Sequence:
		s.mergeSuspicion(current, &m, now)
	}
}

func validEntry(m *mesh.Member) bool {
	return m.Node != "" && m.State >= mesh.NodeAlive && m.State <= mesh.NodeLeft &&
		len(m.SuspectedBy) <= maxSuspectedBy
}

// supersedes reports whether a has a higher incarnation or sequence than b.
func supersedes(a, b *mesh.Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence
}

// add adds an unknown member. Tombstones of unknown members are not added: they
// would outlive TombstoneFor by being gossiped from node to node.
func (s *State) add(m mesh.Member, now time.Time) {
	if m.State >= mesh.NodeDead {
		return
	}
	if len(s.entries) >= s.cfg.MaxMembers {
		s.counts.Refused++
		return
	}
	e := &entry{Member: mesh.Member{Node: m.Node}}
	s.entries[m.Node] = e
	s.order = slices.Insert(s.order, s.indexOf(m.Node), e)
	s.replace(e, m, now)
}

func (s *State) replace(e *entry, m mesh.Member, now time.Time) {
	by := union(nil, m.SuspectedBy)
	m.SuspectedBy = nil
	if e.Incarnation == m.Incarnation && e.InForce > m.InForce {
		m.InForce = e.InForce
	}
	e.Member = m
	if m.State == mesh.NodeAlive || m.State == mesh.NodeLeft {
		s.setState(e, m.State, now)
		return
	}
	// A member declared dead by a single node is only suspected, see declareDead.
	e.State, e.SuspectedBy = mesh.NodeSuspect, by
	s.evaluateSuspicion(e, now)
}

// setState changes the state within one incarnation and sequence.
func (s *State) setState(e *entry, state mesh.NodeState, now time.Time) {
	e.State = state
	switch state {
	case mesh.NodeSuspect:
		s.startSuspicion(e, now)
	case mesh.NodeDead, mesh.NodeLeft:
		delete(s.suspects, e.Node)
		e.endedAt = now
	default:
		delete(s.suspects, e.Node)
	}
	s.updateDigest(e)
	s.markChanged(e.Node)
}

// markChanged marks an entry to be gossiped.
func (s *State) markChanged(node mesh.NodeID) {
	s.changed[node] = struct{}{}
	s.viewCurrent = false
}

// Changes returns the entries that changed since the last call, sorted by id.
// The node's own entry is omitted until it has joined.
func (s *State) Changes() []mesh.Member {
	var list []mesh.Member
	for node := range s.changed {
		if node == s.self && !s.joined {
			continue
		}
		if e := s.entries[node]; e != nil {
			list = append(list, e.Member)
		}
	}
	clear(s.changed)
	sortMembers(list)
	return list
}

// View returns all members sorted by id, or nil when nothing changed since
// the last call.
func (s *State) View() *mesh.View {
	if s.viewCurrent {
		return nil
	}
	s.viewCurrent = true
	list := make([]mesh.Member, 0, len(s.order))
	for _, e := range s.order {
		list = append(list, e.Member)
	}
	return &mesh.View{Self: s.self, Members: list, Digest: s.Digest()}
}

func sortMembers(list []mesh.Member) {
	slices.SortFunc(list, func(a, b mesh.Member) int { return strings.Compare(string(a.Node), string(b.Node)) })
}

// indexOf returns the index of a node in s.order, or its insertion point.
func (s *State) indexOf(node mesh.NodeID) int {
	at, _ := slices.BinarySearchFunc(s.order, node, func(e *entry, n mesh.NodeID) int {
		return strings.Compare(string(e.Node), string(n))
	})
	return at
}

// SetInForce records the configuration version in force on the node itself, or on
// a member that reported it in a heartbeat. The change is not gossiped: updates of
// the member's own entry include it.
func (s *State) SetInForce(node mesh.NodeID, version mesh.Version) {
	if e := s.entries[node]; e != nil && e.InForce < version {
		e.InForce = version
		s.viewCurrent = false
	}
}
