package movesholder

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"teaselring/mesh"
	"teaselring/port"
	"teaselring/result"
)

// rows reads and writes moves on the platform. Every call has a timeout.
type rows struct {
	table   port.Table
	timeout time.Duration
}

func (r rows) get(ctx context.Context, id mesh.MoveID) (mesh.Move, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	row, err := r.table.Get(ctx, port.MoveTableName, string(id))
	if err != nil {
		return mesh.Move{}, 0, err
	}
	if row.Revision == 0 {
		return mesh.Move{}, 0, result.MoveNotFound.Errorf("no move has the id %q", id)
	}
	move, err := decode(row)
	return move, row.Revision, err
}

func decode(row port.Row) (mesh.Move, error) {
	var move mesh.Move
	if err := json.Unmarshal(row.Value, &move); err != nil {
		return mesh.Move{}, result.MoveInvalid.Errorf("row %q can't be decoded: %v", row.Key, err)
	}
	return move, nil
}

// pageSize is the number of rows of one scan request.
const pageSize = 200

// readAll returns all rows of the table of moves.
func (r rows) readAll(ctx context.Context) ([]mesh.Move, error) {
	var list []mesh.Move
	after := ""
	for {
		page, err := r.page(ctx, after)
		if err != nil {
			return nil, err
		}
		for _, row := range page {
			move, err := decode(row)
			if err != nil {
				return nil, err
			}
			list = append(list, move)
			after = row.Key
		}
		if len(page) < pageSize {
			return list, nil
		}
	}
}

func (r rows) page(ctx context.Context, after string) ([]port.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	return r.table.Scan(ctx, port.MoveTableName, "", after, pageSize)
}

// write replaces the row by next if it still has the revision, and writes the
// audit entry of the step in the same transaction.
func (r rows) write(ctx context.Context, revision uint64, from, next *mesh.Move, entry port.AuditEntry) error {
	txn := port.Txn{Checks: []port.Check{{Table: port.MoveTableName, Key: string(next.ID), Revision: revision}}}
	if err := addRow(&txn, from, next, entry); err != nil {
		return err
	}
	return r.commit(ctx, txn)
}

// create writes the first row of a move. The row of its service is checked
// too, so that of two concurrent declarations only one succeeds.
func (r rows) create(ctx context.Context, next *mesh.Move, entry port.AuditEntry) error {
	service, err := r.service(ctx, next.Service)
	if err != nil {
		return err
	}
	if previous := mesh.MoveID(service.Value); service.Revision != 0 {
		if row, _, err := r.get(ctx, previous); err == nil && !row.Phase.Ended() {
			return result.MoveInProgress.Errorf("move %q of service %q is %s", previous, next.Service, row.Phase)
		}
	}
	txn := port.Txn{
		Checks: []port.Check{
			{Table: port.MoveTableName, Key: string(next.ID)},
			{Table: port.MoveServiceTable, Key: string(next.Service), Revision: service.Revision},
		},
		Puts: []port.Put{{Table: port.MoveServiceTable, Key: string(next.Service), Value: []byte(next.ID)}},
	}
	if err := addRow(&txn, &mesh.Move{}, next, entry); err != nil {
		return err
	}
	return r.commit(ctx, txn)
}

func (r rows) service(ctx context.Context, id mesh.ServiceID) (port.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	return r.table.Get(ctx, port.MoveServiceTable, string(id))
}

func (r rows) commit(ctx context.Context, txn port.Txn) error {
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	return r.table.Commit(ctx, txn)
}

// addRow adds the row and its audit entry to a transaction. The audit row must
// be absent, so a step can't be written twice.
func addRow(txn *port.Txn, from, next *mesh.Move, entry port.AuditEntry) error {
	value, err := json.Marshal(next)
	if err != nil {
		return fmt.Errorf("move %q: %w", next.ID, err)
	}
	entry.Stream, entry.Sequence, entry.Subject = "move/"+string(next.ID), next.Step, string(next.ID)
	entry.From, entry.To, entry.Why = describe(from), describe(next), next.Reason
	auditValue, err := json.Marshal(entry)
	if err != nil {
		return fmt.Errorf("audit entry of move %q: %w", next.ID, err)
	}
	key := fmt.Sprintf("%s/%020d", entry.Stream, entry.Sequence)
	txn.Checks = append(txn.Checks, port.Check{Table: port.AuditTable, Key: key})
	txn.Puts = append(txn.Puts,
		port.Put{Table: port.MoveTableName, Key: string(next.ID), Value: value},
		port.Put{Table: port.AuditTable, Key: key, Value: auditValue})
	return nil
}

func describe(m *mesh.Move) string {
	if m.Phase == "" {
		return ""
	}
	return fmt.Sprintf("%s share %.2f epoch %d", m.Phase, m.Share, m.Epoch)
}
