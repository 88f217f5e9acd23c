package moves

import (
	"slices"
	"strings"
	"time"

	"teaselring/mesh"
)

// Guard is the local layer of one node. It divides the calls of each service
// with a move, and it takes the new version's share to zero by itself when
// its own evidence or the pooled evidence shows the version to be bad. What
// another node reports to have cut is no ground by itself: only the pooled
// test is, so a single misreporting node can't take a move back.
//
// A Guard is not safe for concurrent use.
type Guard struct {
	settings Settings
	self     mesh.NodeID
	life     mesh.Incarnation
	moves    map[mesh.MoveID]*guarded
	active   map[mesh.ServiceID]*guarded // the newest move of each service
	view     *mesh.View
}

// guarded is one move as this node sees it.
type guarded struct {
	row      mesh.Move
	received time.Time // when the row arrived; the lease runs from here
	share    float64   // in force on this node
	cut      bool
	sampler  *sampler
	own      *Pool // this node's evidence alone
	pool     *Pool // that of all nodes
}

// NewGuard returns the guard of a node in one life of its process.
func NewGuard(s Settings, self mesh.NodeID, life mesh.Incarnation) *Guard {
	return &Guard{
		settings: s, self: self, life: life,
		moves: map[mesh.MoveID]*guarded{}, active: map[mesh.ServiceID]*guarded{},
	}
}

// Rows takes over the rows that are newer than those known. It reports
// whether there was any.
func (g *Guard) Rows(rows []mesh.Move, now time.Time) bool {
	changed := false
	for i := range rows {
		row := &rows[i]
		m := g.moves[row.ID]
		if m != nil && !row.Newer(&m.row) {
			continue
		}
		if m == nil {
			m = g.guard(row)
		}
		m.row, m.received = *row, now
		if g.activate(m) {
			m.settle(now)
			changed = true
		}
	}
	return changed
}

// activate makes m the move of its service unless a later one is known, and
// forgets an ended move that is not. It reports whether m was kept.
func (g *Guard) activate(m *guarded) bool {
	before := g.active[m.row.Service]
	if before != nil && before != m && !m.supersedes(before) {
		if m.row.Phase.Ended() {
			delete(g.moves, m.row.ID)
			return false
		}
		return true
	}
	g.active[m.row.Service] = m
	if before != nil && before != m && before.row.Phase.Ended() {
		delete(g.moves, before.row.ID)
	}
	return true
}

func (g *Guard) guard(row *mesh.Move) *guarded {
	m := &guarded{
		sampler: newSampler(row.ID, g.self, g.life),
		own:     newPool(g.settings, 1), pool: NewPool(g.settings),
	}
	g.moves[row.ID] = m
	return m
}

// supersedes orders the moves of one service: a later declaration wins.
func (m *guarded) supersedes(other *guarded) bool {
	if !m.row.Declared.Equal(other.row.Declared) {
		return m.row.Declared.After(other.row.Declared)
	}
	return m.row.ID > other.row.ID
}

// Members tells the guard which processes the upstreams are, so that cold
// starts are recognised.
func (g *Guard) Members(view *mesh.View, now time.Time) {
	g.view = view
	for _, m := range g.active {
		m.sampler.members(view, now)
	}
}

// Observe counts the outcome of one attempt.
func (g *Guard) Observe(o *mesh.Outcome, now time.Time) {
	m := g.active[o.Target.Service]
	if m == nil || m.row.Phase.Ended() || !m.covers(o.Route) {
		return
	}
	switch o.Target.Version {
	case m.row.New:
		m.sampler.observe(o, true, len(m.pool.nodes), now)
	case m.row.Old:
		m.sampler.observe(o, false, len(m.pool.nodes), now)
	}
}

func (m *guarded) covers(route mesh.RouteID) bool {
	return len(m.row.Routes) == 0 || slices.Contains(m.row.Routes, route)
}

// Receive takes the evidence of another node. It reports whether it was new.
func (g *Guard) Receive(e *mesh.Evidence) bool {
	m := g.moves[e.Move]
	return m != nil && e.Node != g.self && m.pool.Add(e)
}

// Tick ends a window of evidence, decides on cuts and returns this node's
// reports, to be sent to all other nodes.
func (g *Guard) Tick(now time.Time) []mesh.Evidence {
	var reports []mesh.Evidence
	for _, id := range g.ids() {
		m := g.moves[id]
		if m.row.Phase.Ended() {
			m.settle(now)
			continue
		}
		reports = append(reports, m.tick(now))
	}
	return reports
}

// ownInterval is the number of ticks in a window of the node's own evidence,
// which has few calls in one tick.
const ownInterval = 5

func (m *guarded) tick(now time.Time) mesh.Evidence {
	e := m.sampler.report()
	if e.Sequence%ownInterval == 0 {
		m.own.Add(&e)
		m.own.Close(now)
	}
	m.pool.Add(&e)
	m.pool.Close(now)
	for _, p := range []*Pool{m.own, m.pool} {
		if v := p.Verdict(); v.Bad && !m.cut {
			m.cut = true
			m.sampler.evidence.Cut, m.sampler.evidence.Reason = true, v.Reason
			e.Cut, e.Reason = true, v.Reason
		}
	}
	e.Recheck = m.pool.recheck.active
	m.sampler.evidence.Recheck = e.Recheck
	m.settle(now)
	return e
}

// settle brings the share in force in line with the row, the lease, the
// evidence and the target time.
func (m *guarded) settle(now time.Time) {
	want := m.wanted(now)
	if !m.leased(now) && !m.row.Phase.Ended() {
		want = min(want, m.share)
	}
	if m.share == 0 && want > 0 && m.sampler.shiftedAt.IsZero() {
		m.sampler.shiftedAt = now
	}
	m.share = want
}

func (m *guarded) wanted(now time.Time) float64 {
	switch {
	case m.row.Phase == mesh.MoveDone:
		return 1
	case m.cut, !now.Before(m.row.Target):
		return 0
	case m.row.Phase == mesh.MoveShifting, m.row.Phase == mesh.MoveWatching:
		if m.pool.recheck.active {
			return min(m.row.Share, recheckShare)
		}
		return m.row.Share
	}
	return 0
}

// leased reports whether the holder's lease is valid. The time passed since
// the row arrived bounds it on a slow clock, the written time bounds it for a
// row that arrives long after it was written.
func (m *guarded) leased(now time.Time) bool {
	return now.Sub(m.received) < LeaseDuration && now.Before(m.row.LeaseUntil.Add(maxClockSkew))
}

// Splits returns the division of calls at a time. A service whose last move
// has ended keeps its entry, with all calls on one version.
func (g *Guard) Splits(now time.Time) mesh.Splits {
	s := mesh.Splits{ByService: make(map[mesh.ServiceID]mesh.Split, len(g.active))}
	for service, m := range g.active {
		m.settle(now)
		s.ByService[service] = mesh.Split{
			Move: m.row.ID, Old: m.row.Old, New: m.row.New, Routes: m.row.Routes, Share: m.share,
		}
	}
	return s
}

// Verdicts returns what the pooled evidence says about each current move.
func (g *Guard) Verdicts() []mesh.Verdict {
	var list []mesh.Verdict
	for _, id := range g.ids() {
		if m := g.moves[id]; !m.row.Phase.Ended() {
			v := m.pool.Verdict()
			v.Move = id
			list = append(list, v)
		}
	}
	return list
}

// Table returns the newest known row of each move, in order of id.
func (g *Guard) Table() []mesh.Move {
	var list []mesh.Move
	for _, id := range g.ids() {
		list = append(list, g.moves[id].row)
	}
	return list
}

// Reports returns the newest evidence of every node about current moves.
func (g *Guard) Reports() []mesh.Evidence {
	var list []mesh.Evidence
	for _, id := range g.ids() {
		if m := g.moves[id]; !m.row.Phase.Ended() {
			list = append(list, m.pool.Reports()...)
		}
	}
	slices.SortFunc(list, func(a, b mesh.Evidence) int {
		if c := strings.Compare(string(a.Move), string(b.Move)); c != 0 {
			return c
		}
		return strings.Compare(string(a.Node), string(b.Node))
	})
	return list
}

func (g *Guard) ids() []mesh.MoveID {
	list := make([]mesh.MoveID, 0, len(g.moves))
	for id := range g.moves {
		list = append(list, id)
	}
	slices.Sort(list)
	return list
}
