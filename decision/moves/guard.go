package moves

import (
	"slices"
	"strings"
	"time"

	"teaselring/mesh"
)

// Guard is the local layer of one node. It splits the calls of each service
// with a move, and sets the new version's share to zero when the node's own
// evidence or the pooled evidence shows the version to be bad. A cut reported
// by another node is not sufficient: the pooled test decides, so a single
// misreporting node can't take a move back.
//
// A Guard is not safe for concurrent use.
type Guard struct {
	settings    Settings
	self        mesh.NodeID
	incarnation mesh.Incarnation
	moves       map[mesh.MoveID]*moveState
	byService   map[mesh.ServiceID]*moveState // newest move of each service
	view        *mesh.View
}

// moveState is the state of one move on this node.
type moveState struct {
	row        mesh.Move
	receivedAt time.Time // arrival of the row; the lease counts from here
	share      float64   // in force on this node
	cut        bool
	sampler    *sampler
	localPool  *Pool // evidence of this node alone
	pool       *Pool // evidence of all nodes
}

// NewGuard returns the guard of a node in one incarnation of its process.
func NewGuard(s Settings, self mesh.NodeID, incarnation mesh.Incarnation) *Guard {
	return &Guard{
		settings: s, self: self, incarnation: incarnation,
		moves: map[mesh.MoveID]*moveState{}, byService: map[mesh.ServiceID]*moveState{},
	}
}

// ApplyRows stores the rows that are newer than the known ones, except those of
// ended moves that a later move has replaced. It reports whether it stored any.
func (g *Guard) ApplyRows(rows []mesh.Move, now time.Time) bool {
	changed := false
	for i := range rows {
		row := &rows[i]
		m := g.moves[row.ID]
		if m != nil && !row.Newer(&m.row) {
			continue
		}
		if m == nil {
			m = g.addMove(row)
		}
		m.row, m.receivedAt = *row, now
		if g.activate(m) {
			m.updateShare(now)
			changed = true
		}
	}
	return changed
}

// activate makes m the current move of its service unless a later one is known,
// and removes an ended move that is not current. It reports whether m was kept.
func (g *Guard) activate(m *moveState) bool {
	before := g.byService[m.row.Service]
	if before != nil && before != m && !m.supersedes(before) {
		if m.row.Phase.Ended() {
			delete(g.moves, m.row.ID)
			return false
		}
		return true
	}
	g.byService[m.row.Service] = m
	if before != nil && before != m && before.row.Phase.Ended() {
		delete(g.moves, before.row.ID)
	}
	return true
}

func (g *Guard) addMove(row *mesh.Move) *moveState {
	m := &moveState{
		sampler:   newSampler(row.ID, g.self, g.incarnation),
		localPool: newPool(g.settings, 1), pool: NewPool(g.settings),
	}
	g.moves[row.ID] = m
	return m
}

// supersedes orders the moves of one service: a later declaration wins.
func (m *moveState) supersedes(other *moveState) bool {
	if !m.row.Declared.Equal(other.row.Declared) {
		return m.row.Declared.After(other.row.Declared)
	}
	return m.row.ID > other.row.ID
}

// Members records the upstream processes of the view for each current move, so
// that cold starts are recognised.
func (g *Guard) Members(view *mesh.View, now time.Time) {
	g.view = view
	for _, m := range g.byService {
		m.sampler.trackProcesses(view, now)
	}
}

// Observe counts the outcome of one attempt.
func (g *Guard) Observe(o *mesh.Outcome, now time.Time) {
	m := g.byService[o.Target.Service]
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

func (m *moveState) covers(route mesh.RouteID) bool {
	return len(m.row.Routes) == 0 || slices.Contains(m.row.Routes, route)
}

// Receive adds the evidence of another node. It reports whether it was new.
func (g *Guard) Receive(e *mesh.Evidence) bool {
	m := g.moves[e.Move]
	return m != nil && e.Node != g.self && m.pool.Add(e)
}

// Tick closes a window of evidence, decides on cuts and returns this node's
// reports for all other nodes.
func (g *Guard) Tick(now time.Time) []mesh.Evidence {
	var reports []mesh.Evidence
	for _, id := range g.moveIDs() {
		m := g.moves[id]
		if m.row.Phase.Ended() {
			m.updateShare(now)
			continue
		}
		reports = append(reports, m.tick(now))
	}
	return reports
}

// localWindowTicks is the number of ticks in a window of the node's own
// evidence, which has few calls in one tick.
const localWindowTicks = 5

func (m *moveState) tick(now time.Time) mesh.Evidence {
	e := m.sampler.nextReport()
	if e.Sequence%localWindowTicks == 0 {
		m.localPool.Add(&e)
		m.localPool.CloseWindow(now)
	}
	m.pool.Add(&e)
	m.pool.CloseWindow(now)
	for _, p := range []*Pool{m.localPool, m.pool} {
		if v := p.Verdict(); v.Bad && !m.cut {
			m.cut = true
			m.sampler.evidence.Cut, m.sampler.evidence.Reason = true, v.Reason
			e.Cut, e.Reason = true, v.Reason
		}
	}
	e.Recheck = m.pool.recheck.active
	m.sampler.evidence.Recheck = e.Recheck
	m.updateShare(now)
	return e
}

// updateShare sets the share in force from the row, the lease, the evidence and
// the target time.
func (m *moveState) updateShare(now time.Time) {
	want := m.targetShare(now)
	if !m.leaseValid(now) && !m.row.Phase.Ended() {
		want = min(want, m.share)
	}
	if m.share == 0 && want > 0 && m.sampler.firstShareAt.IsZero() {
		m.sampler.firstShareAt = now
	}
	m.share = want
}

func (m *moveState) targetShare(now time.Time) float64 {
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

// leaseValid reports whether the holder's lease is valid. The time since the
// row arrived bounds it on a slow clock, the written expiry bounds it for a row
// that arrives long after it was written.
func (m *moveState) leaseValid(now time.Time) bool {
	return now.Sub(m.receivedAt) < LeaseDuration && now.Before(m.row.LeaseUntil.Add(maxClockSkew))
}

// Splits returns how the calls of each service are split at a time. A service
// whose last move has ended keeps its entry, with all calls on one version.
func (g *Guard) Splits(now time.Time) mesh.Splits {
	s := mesh.Splits{ByService: make(map[mesh.ServiceID]mesh.Split, len(g.byService))}
	for service, m := range g.byService {
		m.updateShare(now)
		s.ByService[service] = mesh.Split{
			Move: m.row.ID, Old: m.row.Old, New: m.row.New, Routes: m.row.Routes, Share: m.share,
		}
	}
	return s
}

// Verdicts returns the verdict of the pooled evidence on each move in progress.
func (g *Guard) Verdicts() []mesh.Verdict {
	var list []mesh.Verdict
	for _, id := range g.moveIDs() {
		if m := g.moves[id]; !m.row.Phase.Ended() {
			v := m.pool.Verdict()
			v.Move = id
			list = append(list, v)
		}
	}
	return list
}

// CurrentRows returns the newest known row of each move, in order of id.
func (g *Guard) CurrentRows() []mesh.Move {
	var list []mesh.Move
	for _, id := range g.moveIDs() {
		list = append(list, g.moves[id].row)
	}
	return list
}

// Reports returns the newest evidence of every node on moves in progress.
func (g *Guard) Reports() []mesh.Evidence {
	var list []mesh.Evidence
	for _, id := range g.moveIDs() {
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

func (g *Guard) moveIDs() []mesh.MoveID {
	list := make([]mesh.MoveID, 0, len(g.moves))
	for id := range g.moves {
		list = append(list, id)
	}
	slices.Sort(list)
	return list
}
