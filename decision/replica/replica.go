// Package replica merges rows received from the platform and from other nodes into
// one copy, and selects the source of rows. The row with the higher revision wins,
// so that the order of messages does not matter and no row reverts to older
// content, not even when the platform's store comes back from an older copy.
package replica

import (
	"maps"

	"teaselring/mesh"
)

// Row is one row of a table, or the tombstone of a deleted one.
type Row struct {
	Table    string `cbor:"1,keyasint"`
	Key      string `cbor:"2,keyasint"`
	Value    []byte `cbor:"3,keyasint"`
	Revision uint64 `cbor:"4,keyasint"` // of the last change, deletion included
	Deleted  bool   `cbor:"5,keyasint"`
	// Lost is set for a row that the store lost when it came back from a copy, and that
	// it has not got again. Over is the revision of the older one that it has; 0: none.
	Lost bool   `cbor:"6,keyasint,omitempty"`
	Over uint64 `cbor:"7,keyasint,omitempty"`

	past []pastRow // earlier contents, oldest first
}

// Seen holds the highest known revision of each table, and of its lost rows.
type Seen map[string]uint64

// Behind reports whether other has a higher revision of any table than s.
func (s Seen) Behind(other Seen) bool {
	for table, revision := range other {
		if revision > s[table] {
			return true
		}
	}
	return false
}

// Set is an immutable set of rows.
type Set struct {
	tables     map[string]map[string]Row // as in the store
	lost       map[string]map[string]Row // by table
	seen       Seen
	listed     map[string]bool
	eras       map[string]uint64
	eraChanges int
}

// New returns an empty set.
func New() *Set {
	return &Set{
		tables: map[string]map[string]Row{}, lost: map[string]map[string]Row{}, seen: Seen{}, listed: map[string]bool{}, eras: map[string]uint64{},
	}
}

// Get returns a row that is not deleted.
func (s *Set) Get(table, key string) (Row, bool) {
	r, ok := s.current(table, key)
	return r, ok && !r.Deleted
}

// Each calls f for each row of a table that is not deleted, in no order.
func (s *Set) Each(table string, f func(Row)) {
	for key := range s.tables[table] {
		if r, _ := s.current(table, key); !r.Deleted {
			f(r)
		}
	}
	for key := range s.lost[table] {
		if _, inStore := s.tables[table][key]; inStore {
			continue
		}
		if r, ok := s.Get(table, key); ok {
			f(r)
		}
	}
}

// Count returns the number of rows of a table that are not deleted.
func (s *Set) Count(table string) int {
	n := 0
	s.Each(table, func(Row) { n++ })
	return n
}

// Seen returns the highest known revisions. The caller must not change it.
func (s *Set) Seen() Seen { return s.seen }

// Listed reports whether a complete listing of a table was applied, from the
// platform or through a node that had one.
func (s *Set) Listed(table string) bool { return s.listed[table] }

// RowsNewerThan returns the rows, tombstones and lost ones included, with a higher
// revision than the known one of their table.
func (s *Set) RowsNewerThan(known Seen) []Row {
	var rows []Row
	collect := func(name string, byKey map[string]Row) {
		for _, r := range byKey {
			if r.Revision > known[name] {
				rows = append(rows, r)
			}
		}
	}
	for table, byKey := range s.tables {
		collect(table, byKey)
	}
	for table, byKey := range s.lost {
		collect(table+lostSuffix, byKey)
	}
	return rows
}

// Merge returns the set with those of the rows that are newer than the ones held,
// and whether there were any. Rows of a later era must be all that the table has.
func (s *Set) Merge(rows []Row) (*Set, bool) {
	next := s
	change := func() *Set {
		if next == s {
			next = s.copy()
		}
		return next
	}
	for table, later := range s.laterEras(rows) {
		change().passInto(table, mesh.EraOf(later[0].Revision), later)
	}
	for _, r := range rows {
		if next.isNew(&r) {
			change().put(r)
		}
	}
	return next, next != s
}

// laterEras returns the rows of each table that passes into a later era.
func (s *Set) laterEras(rows []Row) map[string][]Row {
	later := map[string][]Row{}
	for _, r := range rows {
		era := mesh.EraOf(r.Revision)
		if r.Lost || era <= s.eras[r.Table] {
			continue
		}
		if list := later[r.Table]; len(list) > 0 && mesh.EraOf(list[0].Revision) < era {
			delete(later, r.Table)
		} else if len(list) > 0 && mesh.EraOf(list[0].Revision) > era {
			continue
		}
		later[r.Table] = append(later[r.Table], r)
	}
	return later
}

// isNew reports whether a row is newer than the one held.
func (s *Set) isNew(r *Row) bool {
	if r.Lost {
		held, ok := s.lost[r.Table][r.Key]
		return !ok || held.Revision < r.Revision || (held.Revision == r.Revision && held.Over < r.Over)
	}
	held, ok := s.tables[r.Table][r.Key]
	return (!ok || held.Revision < r.Revision) && mesh.EraOf(r.Revision) >= s.eras[r.Table]
}

// ApplyListing returns the set with a complete listing of a table as of a revision.
// Rows that are not in the listing and not newer become tombstones. A listing of an
// earlier era changes nothing.
func (s *Set) ApplyListing(table string, rows []Row, revision uint64) *Set {
	if era := mesh.EraOf(revision); era < s.eras[table] {
		return s
	} else if era > s.eras[table] {
		next := s.copy()
		next.passInto(table, era, rows)
		next.listed[table] = true
		return next
	}
	next, changed := s.Merge(rows)
	if !changed {
		next = s.copy()
	}
	present := map[string]bool{}
	for _, r := range rows {
		present[r.Key] = true
	}
	for key, r := range next.tables[table] {
		if !present[key] && r.Revision <= revision && !r.Deleted {
			next.put(Row{Table: table, Key: key, Revision: revision, Deleted: true})
		}
	}
	next.listed[table] = true
	return next
}

// MarkListed marks a table as listed, after all rows of a node with a complete
// listing were merged.
func (s *Set) MarkListed(table string) *Set {
	if s.listed[table] {
		return s
	}
	next := s.copy()
	next.listed[table] = true
	return next
}

func (s *Set) copy() *Set {
	next := &Set{
		tables: make(map[string]map[string]Row, len(s.tables)), lost: maps.Clone(s.lost), seen: maps.Clone(s.seen),
		listed: maps.Clone(s.listed), eras: maps.Clone(s.eras), eraChanges: s.eraChanges,
	}
	for table, rows := range s.tables {
		next.tables[table] = maps.Clone(rows)
	}
	return next
}

func (s *Set) put(r Row) {
	if r.Lost {
		s.putLost(r)
		return
	}
	if s.tables[r.Table] == nil {
		s.tables[r.Table] = map[string]Row{}
	}
	if held, ok := s.tables[r.Table][r.Key]; ok {
		r.remember(&held)
	}
	s.tables[r.Table][r.Key] = r
	s.see(r.Table, &r)
}
