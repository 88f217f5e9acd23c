package port

import (
	"context"

	"github.com/fxamacker/cbor/v2"

	"teaselring/decision/replica"
	"teaselring/result"
)

// EraKey is the key of the row in NodeTable that names the era of the store in which nodes
// write. A write that is conditional on it fails if the store performs it late, after nodes
// have written in a later era, where the versions of its other conditions may be those of
// other contents.
const EraKey = "era"

// WriteInEra writes a transaction if the era is the one of the rows.
func WriteInEra(ctx context.Context, feed Feed, rows *replica.Set, txn Txn) (Changes, error) {
	if rows.Era() == 0 {
		return feed.Write(ctx, txn)
	}
	row, known := rows.Get(NodeTable, EraKey)
	changes, err := feed.Write(ctx, inEra(txn, rows, &row, known))
	if result.Of(err) != result.RowConflict {
		return changes, err
	}
	stored, found := findRow(changes.Rows, NodeTable, EraKey)
	if stored.Revision == row.Condition() || !hold(txn.Checks, changes.Rows) {
		return changes, err
	}
	return feed.Write(ctx, inEra(txn, rows, &stored, found))
}

// inEra returns a transaction with the condition on the row of the era. The first write of
// an era writes the row.
func inEra(txn Txn, rows *replica.Set, row *replica.Row, known bool) Txn {
	txn.Checks = append(txn.Checks[:len(txn.Checks):len(txn.Checks)], Check{Table: NodeTable, Key: EraKey, Revision: row.Condition()})
	var named uint64
	outdated := rows.EraChanges() > 0
	if known {
		outdated = cbor.Unmarshal(row.Value, &named) != nil || named < rows.Era()
	}
	if !outdated {
		return txn
	}
	value, err := cbor.Marshal(rows.Era())
	if err != nil {
		return txn // never: a number is always encoded
	}
	txn.Puts = append(txn.Puts[:len(txn.Puts):len(txn.Puts)], Put{Table: NodeTable, Key: EraKey, Value: value})
	return txn
}

// hold reports whether conditions hold, given the present rows of a transaction's
// conditions.
func hold(checks []Check, present []replica.Row) bool {
	for _, c := range checks {
		if row, _ := findRow(present, c.Table, c.Key); row.Revision != c.Revision {
			return false
		}
	}
	return true
}

func findRow(rows []replica.Row, table, key string) (row replica.Row, found bool) {
	for _, r := range rows {
		if r.Table == table && r.Key == key {
			return r, true
		}
	}
	return replica.Row{}, false
}
