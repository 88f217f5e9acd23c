// Package membership decides what a node believes about the other nodes: it
// merges member entries, suspects silent peers, refutes suspicions of the node
// itself and keeps tombstones. It is pure: time is an argument.
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
	TombstoneFor time.Duration // how long dead and left members are remembered
	PauseLimit   time.Duration // a gap between ticks that shows that this node was paused
	MaxMembers   int           // further members are not added
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

// entry is a member and what this node keeps beside it.
type entry struct {
	mesh.Member
	ended time.Time // when it became dead or left here
	hash  uint64    // contribution to the digest
}

// Counts are totals since the start.
type Counts struct {
	Suspicions  int64 // raised by this node
	Refutations int64 // of suspicions of this node
	Refused     int64 // entries that were not added because of MaxMembers
	Pauses      int64 // pauses of this node that postponed suspicions
}

// State is the view of one node. One duty owns it.
type State struct {
	cfg      Config
	self     mesh.NodeID
	joined   bool
	entries  map[mesh.NodeID]*entry
	order    []*entry // sorted by id
	buckets  [Buckets]uint64
	watches  map[mesh.NodeID]*watch
	suspects map[mesh.NodeID]suspicion
	changed  map[mesh.NodeID]struct{}
	lastTick time.Time
	nextReap time.Time
	viewDone bool // no change since the last call of View
	counts   Counts
}

// New returns the state of a node that knows only itself. The node is not
// joined: its incarnation still rises above any received one.
func New(self mesh.Member, cfg Config) *State {
	s := &State{
		cfg:      cfg,
		self:     self.Node,
		entries:  map[mesh.NodeID]*entry{},
		watches:  map[mesh.NodeID]*watch{},
		suspects: map[mesh.NodeID]suspicion{},
		changed:  map[mesh.NodeID]struct{}{},
	}
	self.State = mesh.NodeAlive
	own := &entry{Member: self}
	s.entries[self.Node], s.order = own, []*entry{own}
	s.rehash(own)
	return s
}

// Join ends the time in which the node's incarnation may rise. From now on its
// own entry is spread.
func (s *State) Join() {
	s.joined = true
	s.note(s.self)
}

// Joined reports whether Join was called.
func (s *State) Joined() bool { return s.joined }

// Self returns the node's own entry.
func (s *State) Self() mesh.Member { return s.entries[s.self].Member }

// Counts returns the totals since the start.
func (s *State) Counts() Counts { return s.counts }

// Len returns the number of members in any state.
func (s *State) Len() int { return len(s.entries) }

// Size returns the number of members in each state.
func (s *State) Size() map[mesh.NodeState]int {
	size := map[mesh.NodeState]int{}
	for _, e := range s.entries {
		size[e.State]++
	}
	return size
}

// UpdateSelf changes the node's own entry and raises its sequence. The state
// stays, and so does everything once the node has left.
func (s *State) UpdateSelf(change func(*mesh.Member)) {
	own := s.entries[s.self]
	if own.State == mesh.NodeLeft {
		return
	}
	change(&own.Member)
	own.State = mesh.NodeAlive
	own.Sequence++
	s.rehash(own)
	s.note(s.self)
}

// Leave marks the node as left. It is final for this incarnation.
func (s *State) Leave() {
	own := s.entries[s.self]
	own.State = mesh.NodeLeft
	own.Sequence++
	s.rehash(own)
	s.note(s.self)
}

// Merge takes entries received from a peer. It returns result.Conflict when
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

// mergeSelf refutes what others believe about the node itself.
func (s *State) mergeSelf(m *mesh.Member) error {
	own := s.entries[s.self]
	if !s.joined {
		if m.Incarnation >= own.Incarnation {
			own.Incarnation = m.Incarnation + 1
			s.rehash(own)
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
	s.rehash(own)
	s.note(s.self)
	return nil
}

func (s *State) mergeOther(m mesh.Member, now time.Time) {
	if !valid(&m) {
		return
	}
	known := s.entries[m.Node]
	switch {
	case known == nil:
		s.add(m, now)
	case newer(&m, &known.Member):
		s.replace(known, m, now)
	case m.Incarnation == known.Incarnation && m.Sequence == known.Sequence:
		s.mergeSuspicion(known, &m, now)
	}
}

func valid(m *mesh.Member) bool {
	return m.Node != "" && m.State >= mesh.NodeAlive && m.State <= mesh.NodeLeft &&
		len(m.SuspectedBy) <= maxSuspectedBy
}

// newer reports whether a is about a later incarnation or sequence than b.
func newer(a, b *mesh.Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence
}

// add takes a member that was not known. A tombstone of an unknown member is
// not added: it would outlive its time by passing from node to node.
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
	s.order = slices.Insert(s.order, s.place(m.Node), e)
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
	// A death that one node alone declared is a suspicion here, see confirm.
	e.State, e.SuspectedBy = mesh.NodeSuspect, by
	s.judge(e, now)
}

// setState changes the state within one incarnation and sequence.
func (s *State) setState(e *entry, state mesh.NodeState, now time.Time) {
	e.State = state
	switch state {
	case mesh.NodeSuspect:
		s.startSuspicion(e, now)
	case mesh.NodeDead, mesh.NodeLeft:
		delete(s.suspects, e.Node)
		e.ended = now
	default:
		delete(s.suspects, e.Node)
	}
	s.rehash(e)
	s.note(e.Node)
}

// note records that an entry must be spread.
func (s *State) note(node mesh.NodeID) {
	s.changed[node] = struct{}{}
	s.viewDone = false
}

// Changes returns the entries that changed since the last call, sorted by id.
// The node's own entry is left out until it has joined.
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
	if s.viewDone {
		return nil
	}
	s.viewDone = true
	list := make([]mesh.Member, 0, len(s.order))
	for _, e := range s.order {
		list = append(list, e.Member)
	}
	return &mesh.View{Self: s.self, Members: list, Digest: s.Digest()}
}

func sortMembers(list []mesh.Member) {
	slices.SortFunc(list, func(a, b mesh.Member) int { return strings.Compare(string(a.Node), string(b.Node)) })
}

// place returns the index of a node in order, or where it belongs.
func (s *State) place(node mesh.NodeID) int {
	at, _ := slices.BinarySearchFunc(s.order, node, func(e *entry, n mesh.NodeID) int {
		return strings.Compare(string(e.Node), string(n))
	})
	return at
}

// SetInForce records the configuration version of the node itself or of a
// member that reported it in a heartbeat. It is not spread: the member's own
// entry carries it from time to time.
func (s *State) SetInForce(node mesh.NodeID, version mesh.Version) {
	if e := s.entries[node]; e != nil && e.InForce < version {
		e.InForce = version
		s.viewDone = false
	}
}
