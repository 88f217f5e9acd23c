package platformmemory

import (
	"bytes"
	"sort"
	"strings"

	"teaselring/port"
)

// Conflict is a failed check of a transaction, with the current row.
type Conflict struct {
	Table string
	Row   port.Row
}

// Outcome is the result of a transaction. Without conflicts it was written, and
// Revision is the revision of every row it put.
type Outcome struct {
	Revision  uint64
	Conflicts []Conflict
}

// tables holds all rows and objects. Revisions come from one counter for all
// tables. It is not safe for concurrent use.
type tables struct {
	byName   map[string]*rows
	objects  map[string][]byte
	revision uint64
}

// rows is one table; keys is sorted.
type rows struct {
	keys  []string
	byKey map[string]port.Row
}

func newTables() *tables {
	return &tables{byName: map[string]*rows{}, objects: map[string][]byte{}}
}

func (t *tables) table(name string) *rows {
	r := t.byName[name]
	if r == nil {
		r = &rows{byKey: map[string]port.Row{}}
		t.byName[name] = r
	}
	return r
}

// get returns a row, with revision 0 if it does not exist.
func (t *tables) get(table, key string) port.Row {
	row, ok := t.table(table).byKey[key]
	if !ok {
		return port.Row{Key: key}
	}
	return row
}

func (t *tables) scan(table, prefix, after string, limit int) []port.Row {
	r := t.table(table)
	from := max(prefix, after)
	found := []port.Row{}
	for i := sort.SearchStrings(r.keys, from); i < len(r.keys) && len(found) < limit; i++ {
		key := r.keys[i]
		if !strings.HasPrefix(key, prefix) {
			break
		}
		if key > after {
			found = append(found, r.byKey[key])
		}
	}
	return found
}

// commit writes the whole transaction, or nothing if a check fails.
func (t *tables) commit(txn port.Txn) Outcome {
	var conflicts []Conflict
	for _, c := range txn.Checks {
		if row := t.get(c.Table, c.Key); row.Revision != c.Revision {
			conflicts = append(conflicts, Conflict{Table: c.Table, Row: row})
		}
	}
	if len(conflicts) > 0 {
		return Outcome{Conflicts: conflicts}
	}
	t.revision++
	for _, p := range txn.Puts {
		t.table(p.Table).put(port.Row{Key: p.Key, Value: bytes.Clone(p.Value), Revision: t.revision})
	}
	for _, d := range txn.Deletes {
		t.table(d.Table).remove(d.Key)
	}
	return Outcome{Revision: t.revision}
}

func (r *rows) put(row port.Row) {
	if _, exists := r.byKey[row.Key]; !exists {
		index := sort.SearchStrings(r.keys, row.Key)
		r.keys = append(r.keys, "")
		copy(r.keys[index+1:], r.keys[index:])
		r.keys[index] = row.Key
	}
	r.byKey[row.Key] = row
}

func (r *rows) remove(key string) {
	if _, exists := r.byKey[key]; !exists {
		return
	}
	index := sort.SearchStrings(r.keys, key)
	r.keys = append(r.keys[:index], r.keys[index+1:]...)
	delete(r.byKey, key)
}
