package movesholder

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"time"

	"teaselring/mesh"
	"teaselring/port"
	"teaselring/result"
)

// Platform tables of moves.
const (
	moveTable = "moves"
	// serviceTable has one row a service that names its newest move. Declaring
	// a move checks its revision.
	serviceTable = "move-services"
)

// maxMoves bounds the rows that are read. Ended moves are removed when a new
// one of their service is declared, so there is at most one for each service.
const maxMoves = 500

// storedMove is a row with its revision.
type storedMove struct {
	move     mesh.Move
	revision uint64
}

// rows reads and writes the rows of moves.
type rows struct{ table port.Table }

func (r rows) scan(ctx context.Context) ([]storedMove, error) {
	stored, err := r.table.Scan(ctx, moveTable, "", "", maxMoves)
	if err != nil {
		return nil, err
	}
	list := make([]storedMove, 0, len(stored))
	for _, row := range stored {
		s, err := decode(row)
		if err != nil {
			return nil, err
		}
		list = append(list, *s)
	}
	return list, nil
}

func (r rows) get(ctx context.Context, id mesh.MoveID) (*storedMove, error) {
	row, err := r.table.Get(ctx, moveTable, moveKey(id))
	if err != nil {
		return nil, err
	}
	if row.Revision == 0 {
		return nil, result.MoveNotFound.Errorf("move %q does not exist", id)
	}
	return decode(row)
}

func decode(row port.Row) (*storedMove, error) {
	s := &storedMove{revision: row.Revision}
	if err := json.Unmarshal(row.Value, &s.move); err != nil {
		return nil, result.Internal.Errorf("row %s/%s: %v", moveTable, row.Key, err)
	}
	return s, nil
}

// create stores a declared move and removes ended moves of its service.
func (r rows) create(ctx context.Context, m mesh.Move, known []storedMove) error {
	lock, err := r.table.Get(ctx, serviceTable, url.PathEscape(string(m.Service)))
	if err != nil {
		return err
	}
	txn := port.Txn{
		Checks: []port.Check{
			{Table: serviceTable, Key: url.PathEscape(string(m.Service)), Revision: lock.Revision},
			{Table: moveTable, Key: moveKey(m.ID)},
		},
		Puts: []port.Put{
			{Table: serviceTable, Key: url.PathEscape(string(m.Service)), Value: []byte(m.ID)},
			{Table: moveTable, Key: moveKey(m.ID), Value: encode(m)},
			auditPut(&m, m.By, "", nil),
		},
	}
	for _, s := range known {
		if s.move.Service == m.Service && s.move.Phase.Ended() {
			txn.Deletes = append(txn.Deletes, port.Delete{Table: moveTable, Key: moveKey(s.move.ID)})
		}
	}
	err = r.table.Commit(ctx, txn)
	if result.Of(err) == result.RowConflict {
		return result.MoveInProgress.Errorf("another move of service %q was declared at the same time, or the id %q is taken", m.Service, m.ID)
	}
	return err
}

// write replaces the row that was read, with an audit entry in the same
// transaction.
func (r rows) write(ctx context.Context, s *storedMove, next mesh.Move, who string, v *mesh.Verdict) error {
	return r.table.Commit(ctx, port.Txn{
		Checks: []port.Check{{Table: moveTable, Key: moveKey(next.ID), Revision: s.revision}},
		Puts: []port.Put{
			{Table: moveTable, Key: moveKey(next.ID), Value: encode(next)},
			auditPut(&next, who, describe(&s.move), v),
		},
	})
}

func auditPut(m *mesh.Move, who, from string, v *mesh.Verdict) port.Put {
	stream := "move/" + url.PathEscape(string(m.ID))
	entry := port.AuditEntry{
		Stream: stream, Sequence: m.Step, Time: time.Now(), Who: who, Action: "move step",
		Subject: string(m.ID), From: from, To: describe(m), Why: m.Reason,
	}
	if v != nil {
		entry.Why = fmt.Sprintf("%s (evidence: %d calls of the new version, %d nodes, %d of them cut it)", m.Reason, v.Calls, v.Nodes, v.Cuts)
	}
	value, _ := json.Marshal(entry) // a struct of plain fields always encodes
	return port.Put{Table: port.AuditTable, Key: port.AuditKey(stream, m.Step), Value: value}
}

func describe(m *mesh.Move) string {
	return fmt.Sprintf("%s, share %.3f, epoch %d, holder %s", m.Phase, m.Share, m.Epoch, m.Holder)
}

func movesOf(stored []storedMove) []mesh.Move {
	list := make([]mesh.Move, 0, len(stored))
	for _, s := range stored {
		list = append(list, s.move)
	}
	return list
}

func moveKey(id mesh.MoveID) string { return url.PathEscape(string(id)) }

func encode(m mesh.Move) []byte {
	b, _ := json.Marshal(m) // a struct of plain fields always encodes
	return b
}
