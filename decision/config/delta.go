package config

import (
	"reflect"

	"teaselring/mesh"
	"teaselring/result"
)

// ChangeKind says what happened to a record between two versions.
type ChangeKind string

// Kinds of changes.
const (
	Added   ChangeKind = "added"
	Changed ChangeKind = "changed"
	Removed ChangeKind = "removed"
)

// Change is the difference of one record between two versions.
type Change struct {
	mesh.RecordKey
	Kind ChangeKind   `json:"change"`
	From *mesh.Record `json:"from,omitempty"`
	To   *mesh.Record `json:"to,omitempty"`
}

// Changes lists the differences between two lists of records, each sorted by
// kind and id, in that order.
func Changes(from, to []mesh.Record) []Change {
	var changes []Change
	for len(from) > 0 || len(to) > 0 {
		switch order := compareFirst(from, to); {
		case order < 0:
			changes = append(changes, Change{RecordKey: from[0].RecordKey, Kind: Removed, From: &from[0]})
			from = from[1:]
		case order > 0:
			changes = append(changes, Change{RecordKey: to[0].RecordKey, Kind: Added, To: &to[0]})
			to = to[1:]
		default:
			if !equalRecords(&from[0], &to[0]) {
				changes = append(changes, Change{RecordKey: to[0].RecordKey, Kind: Changed, From: &from[0], To: &to[0]})
			}
			from, to = from[1:], to[1:]
		}
	}
	return changes
}

func compareFirst(from, to []mesh.Record) int {
	switch {
	case len(from) == 0:
		return 1
	case len(to) == 0:
		return -1
	}
	return CompareKeys(from[0].RecordKey, to[0].RecordKey)
}

// equalRecords reports whether two records declare the same. A record is not equal to
// its conversion to another schema: the operator wrote them differently.
func equalRecords(a, b *mesh.Record) bool { return reflect.DeepEqual(a, b) }

// Delta turns the version Base into Version. Base 0 stands for no records, so
// that a delta against it is a whole version.
type Delta struct {
	Base    mesh.Version
	Version mesh.Version
	Digest  mesh.Digest // of the whole of Version
	Records []mesh.Record
	Removed []mesh.RecordKey
}

// Whole returns the delta that carries all of s.
func Whole(s *mesh.Snapshot) Delta {
	return Delta{Version: s.Version, Digest: s.Digest, Records: s.Records}
}

// Diff returns the delta that turns from into to.
func Diff(from, to *mesh.Snapshot) Delta {
	d := Delta{Base: from.Version, Version: to.Version, Digest: to.Digest}
	for _, change := range Changes(from.Records, to.Records) {
		if change.To == nil {
			d.Removed = append(d.Removed, change.RecordKey)
			continue
		}
		d.Records = append(d.Records, *change.To)
	}
	return d
}

// Apply returns the version that the delta leads to. It succeeds only when
// base is the version that the delta was made against (nil for a whole
// version), the outcome has the delta's digest, and the outcome is valid as a
// whole. Base itself is not changed.
func Apply(base *mesh.Snapshot, d Delta) (*mesh.Snapshot, error) {
	var held []mesh.Record
	if d.Base != 0 {
		if base == nil || base.Version != d.Base {
			return nil, result.WrongBase.Errorf("version %d: the delta is against version %d, held is %d", d.Version, d.Base, versionOf(base))
		}
		held = base.Records
	}
	if len(d.Records) > MaxRecords || len(d.Removed) > MaxRecords {
		return nil, result.TooLarge.Errorf("version %d: the delta has more than %d records", d.Version, MaxRecords)
	}
	return BuildExpected(d.Version, d.Digest, patch(held, d.Records, d.Removed))
}

// patch replaces or adds changed records and leaves out removed ones.
func patch(held, changed []mesh.Record, removed []mesh.RecordKey) []mesh.Record {
	skip := make(map[mesh.RecordKey]bool, len(changed)+len(removed))
	for i := range changed {
		skip[changed[i].RecordKey] = true
	}
	for _, key := range removed {
		skip[key] = true
	}
	records := make([]mesh.Record, 0, len(held)+len(changed))
	for i := range held {
		if !skip[held[i].RecordKey] {
			records = append(records, held[i])
		}
	}
	return append(records, changed...)
}

func versionOf(s *mesh.Snapshot) mesh.Version {
	if s == nil {
		return 0
	}
	return s.Version
}
