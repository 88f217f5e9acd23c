package replica

import (
	"bytes"
	"hash/fnv"
	"maps"
	"slices"

	"teaselring/mesh"
)

// lostSuffix marks the revisions of the lost rows of a table in Seen.
const lostSuffix = "@lost"

// Condition returns the revision that the store has for the row, 0 if it has no such row:
// the one to make a write conditional on.
func (r *Row) Condition() uint64 {
	if r.Lost {
		return r.Over
	}
	return r.Revision
}

// pastRow identifies a content that a row had.
type pastRow struct{ version, sum uint64 }

// maxPast bounds the contents that are remembered of a row. A copy is some seconds old.
const maxPast = 8

func (r *Row) identity() pastRow {
	h := fnv.New64a()
	_, _ = h.Write(r.Value)
	return pastRow{mesh.VersionOf(r.Revision), h.Sum64()}
}

// remember adds a content that the row had before, and what it remembers.
func (r *Row) remember(before *Row) {
	past := slices.Clone(before.past)
	if !before.Deleted {
		past = append(past, before.identity())
	}
	r.past = past[max(0, len(past)-maxPast):]
}

// isCopyOf reports whether a row has a content that another had in an earlier era.
func (r *Row) isCopyOf(known *Row) bool {
	id := r.identity()
	return !known.Deleted && id == known.identity() || slices.Contains(known.past, id)
}

// Era returns the highest era of any table.
func (s *Set) Era() (era uint64) {
	for _, e := range s.eras {
		era = max(era, e)
	}
	return era
}

// EraChanges returns how often a table with rows has passed into a later era.
func (s *Set) EraChanges() int { return s.eraChanges }

// LostCount returns the number of rows that are lost and not replaced in the store.
func (s *Set) LostCount() (n int) {
	for table, rows := range s.lost {
		for key := range rows {
			if r, _ := s.current(table, key); r.Lost {
				n++
			}
		}
	}
	return n
}

// current returns the row of a key as it was last known: the one in the store, or a lost
// one that the store's does not replace.
func (s *Set) current(table, key string) (Row, bool) {
	stored, inStore := s.tables[table][key]
	if lost, ok := s.lost[table][key]; ok && lost.Over == stored.Revision {
		return lost, true
	}
	return stored, inStore
}

// passInto moves a table into a later era, with all rows that the store has then. A row
// that it has no longer, or in an earlier content, is lost: it stays current until the
// store has a newer one. So does a deletion.
func (s *Set) passInto(table string, era uint64, rows []Row) {
	held := s.tables[table]
	known := map[string]Row{}
	for key := range held {
		known[key], _ = s.current(table, key)
	}
	for key := range s.lost[table] {
		if r, ok := s.current(table, key); ok {
			known[key] = r
		}
	}
	stored := make(map[string]Row, len(rows))
	copied := uint64(0) // lower bound of the version up to which the store has the earlier changes
	for _, r := range rows {
		if h, ok := held[r.Key]; ok {
			if r.isCopyOf(&h) {
				copied = max(copied, mesh.VersionOf(r.Revision))
			}
			r.remember(&h)
		}
		stored[r.Key] = r
		s.see(table, &r)
	}
	s.tables[table], s.eras[table] = stored, era
	if len(held) > 0 {
		s.eraChanges++
	}
	lost := maps.Clone(s.lost[table])
	if lost == nil {
		lost = map[string]Row{}
	}
	for key, r := range known {
		h, now := held[key], stored[key]
		if !outranks(&r, &h, &now, copied) {
			if lost[key].Over != now.Revision {
				delete(lost, key)
			}
			continue
		}
		r.Lost, r.Over, r.past = true, now.Revision, nil
		lost[key] = r
		s.see(table+lostSuffix, &r)
	}
	s.lost[table] = lost
}

// outranks reports whether a row of an earlier era is newer than the one that the store
// has now, which is the zero Row if there is none. Held is the one that the store had.
func outranks(known, held, now *Row, copied uint64) bool {
	switch {
	case now.Key == "":
		return !known.Deleted
	case now.Deleted:
		return false
	case !known.Deleted && mesh.VersionOf(now.Revision) == mesh.VersionOf(known.Revision) && bytes.Equal(now.Value, known.Value):
		return false
	}
	version := mesh.VersionOf(now.Revision)
	return now.isCopyOf(held) || now.isCopyOf(known) || (version <= copied && version < mesh.VersionOf(known.Revision))
}

// putLost adds a lost row of another node.
func (s *Set) putLost(r Row) {
	rows := maps.Clone(s.lost[r.Table])
	if rows == nil {
		rows = map[string]Row{}
	}
	rows[r.Key] = r
	s.lost[r.Table] = rows
	s.see(r.Table+lostSuffix, &r)
}

func (s *Set) see(name string, r *Row) { s.seen[name] = max(s.seen[name], r.Revision) }
