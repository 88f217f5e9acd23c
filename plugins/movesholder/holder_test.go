package movesholder

import (
	"context"
	"io"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/decision/moves"
	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/result"
)

// tables is a stand-in for the platform's table service.
type tables struct {
	rows          map[string]port.Row
	revision      uint64
	down          bool // no call has an effect
	loseResponses bool // writes take effect, but no response arrives
	calls         int
}

func (t *tables) Get(_ context.Context, table, key string) (port.Row, error) {
	t.calls++
	if t.down {
		return port.Row{}, result.PlatformDown.Err()
	}
	return t.rows[table+"/"+key], nil
}

func (t *tables) Scan(_ context.Context, table, prefix, after string, _ int) ([]port.Row, error) {
	t.calls++
	if t.down {
		return nil, result.PlatformDown.Err()
	}
	var list []port.Row
	for key, row := range t.rows {
		if strings.HasPrefix(key, table+"/"+prefix) && row.Key > after {
			list = append(list, row)
		}
	}
	return list, nil
}

func (t *tables) Commit(_ context.Context, txn port.Txn) error {
	t.calls++
	if t.down {
		return result.PlatformDown.Err()
	}
	for _, c := range txn.Checks {
		if t.rows[c.Table+"/"+c.Key].Revision != c.Revision {
			return result.RowConflict.Err()
		}
	}
	t.revision++
	for _, p := range txn.Puts {
		t.rows[p.Table+"/"+p.Key] = port.Row{Key: p.Key, Value: p.Value, Revision: t.revision}
	}
	if t.loseResponses {
		return result.PlatformUnknown.Err()
	}
	return nil
}

func (t *tables) auditEntries() int {
	n := 0
	for key := range t.rows {
		if strings.HasPrefix(key, port.AuditTable+"/move/m/") {
			n++
		}
	}
	return n
}

var now = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

func newTestHolder(node mesh.NodeID, t *tables) *duty {
	view := &mesh.View{Self: node}
	for _, m := range []mesh.Member{
		{Node: "a", Endpoint: mesh.Endpoint{Service: "svc", Version: "1"}},
		{Node: "b", Endpoint: mesh.Endpoint{Service: "svc", Version: "2"}},
	} {
		m.State, m.Endpoint.State = mesh.NodeAlive, mesh.EndpointReady
		view.Members = append(view.Members, m)
	}
	d := deps{
		Settings:  &Settings{PlatformTimeout: kernel.Span(time.Second)},
		Decisions: moves.SockOffice,
		Logger:    kernel.NewLogger(io.Discard), Table: t,
		View: &port.ViewCell{}, Moves: &port.MovesCell{}, Verdicts: &port.VerdictsCell{},
		Held: kernel.NewRing[port.HeldMoves]("guard.held", 16, kernel.ReplaceOldest),
	}
	d.View.Store(view)
	return newHolder(d)
}

// receiveRow stores a row in the cell that the guard publishes.
func receiveRow(h *duty, row mesh.Move) { h.Moves.Store(&port.MoveTable{Moves: []mesh.Move{row}}) }

func request() port.StartMove {
	return port.StartMove{Move: mesh.Move{
		ID: "m", Service: "svc", Old: "1", New: "2", Target: now.Add(10 * time.Minute), By: "op",
	}}
}

var _ = Describe("the holder duty", func() {
	var t *tables
	var h *duty
	ctx := context.Background()
	stored := func() mesh.Move {
		row, _, err := h.rows.get(ctx, "m")
		Expect(err).NotTo(HaveOccurred())
		return row
	}
	declare := func() mesh.Move {
		row, err := h.start(ctx, request(), now)
		Expect(err).NotTo(HaveOccurred())
		return row
	}
	BeforeEach(func() {
		t = &tables{rows: map[string]port.Row{}}
		h = newTestHolder("a", t)
	})

	It("writes the row and the audit entry of a new move together", func() {
		Expect(declare().Phase).To(Equal(mesh.MoveDeclared))
		Expect(stored().Step).To(Equal(uint64(1)))
		Expect(t.auditEntries()).To(Equal(1))
	})

	// Operators repeat a request whose response was lost.
	It("returns the existing move when the response to its write was lost", func() {
		t.loseResponses = true
		declare()
		t.loseResponses = false
		Expect(declare().ID).To(Equal(mesh.MoveID("m")))
		Expect(t.auditEntries()).To(Equal(1))
	})

	// Two operators who declare moves of one service concurrently both find no
	// move in progress.
	It("refuses a second move of a service whatever its id", func() {
		declare()
		other := request().Move
		other.ID = "m2"
		row := moves.Declare(&other, now)
		Expect(result.Of(h.rows.create(ctx, &row, port.AuditEntry{}))).To(Equal(result.MoveInProgress))
	})

	It("acquires the lease in turn and writes steps with its epoch", func() {
		receiveRow(h, declare())
		h.decide(ctx, now.Add(3*time.Second))
		Expect(stored().Holder).To(Equal(mesh.NodeID("a")))
		Expect(stored().Epoch).To(Equal(uint64(1)))
		h.decide(ctx, now.Add(13*time.Second))
		Expect(stored().Share).To(Equal(moves.FirstShare))
		Expect(t.auditEntries()).To(Equal(3))
	})

	// A holder resumes after a pause with a step that it decided before.
	It("loses leadership to a node that acquired the lease while it was paused", func() {
		receiveRow(h, declare())
		h.decide(ctx, now.Add(3*time.Second))
		other := newTestHolder("b", t)
		receiveRow(other, stored())
		other.decide(ctx, now.Add(time.Minute))
		Expect(stored().Holder).To(Equal(mesh.NodeID("b")))
		step := stored().Step
		h.leadership["m"].row.LeaseUntil = now.Add(time.Hour) // as if its clock had stopped
		h.decide(ctx, now.Add(14*time.Second))
		h.decide(ctx, now.Add(15*time.Second))
		Expect(stored().Step).To(Equal(step))
		Expect(h.leadership).To(BeEmpty())
	})

	// A step whose response was lost must not be written twice.
	It("continues after a step when the response to its write was lost", func() {
		receiveRow(h, declare())
		h.decide(ctx, now.Add(3*time.Second))
		t.loseResponses = true
		h.decide(ctx, now.Add(13*time.Second))
		t.loseResponses = false
		step := stored().Step
		h.decide(ctx, now.Add(14*time.Second))
		Expect(stored().Step).To(Equal(step))
		Expect(h.leadership["m"].row.Step).To(Equal(step))
	})

	// An outage must not make the requests of operators wait for every move.
	It("ends a round at the first platform call without a response", func() {
		row := declare()
		second := row
		second.ID = "m2"
		h.Moves.Store(&port.MoveTable{Moves: []mesh.Move{row, second}})
		t.down, t.calls = true, 0
		h.decide(ctx, now.Add(time.Minute))
		Expect(t.calls).To(Equal(1))
	})

	It("takes a move back for an operator and refuses it after the end", func() {
		receiveRow(h, declare())
		h.decide(ctx, now.Add(3*time.Second))
		row, err := h.takeBack(ctx, port.TakeBack{Move: "m", By: "op", Why: "complaints"}, now.Add(4*time.Second))
		Expect(err).NotTo(HaveOccurred())
		Expect(row.Phase).To(Equal(mesh.MoveTakingBack))
		h.decide(ctx, now.Add(5*time.Second))
		h.decide(ctx, now.Add(6*time.Second))
		Expect(stored().Phase).To(Equal(mesh.MoveTakenBack))
		_, err = h.takeBack(ctx, port.TakeBack{Move: "m", By: "op"}, now.Add(7*time.Second))
		Expect(result.Of(err)).To(Equal(result.MoveEnded))
		_, err = h.takeBack(ctx, port.TakeBack{Move: "none", By: "op"}, now)
		Expect(result.Of(err)).To(Equal(result.MoveNotFound))
	})
})
