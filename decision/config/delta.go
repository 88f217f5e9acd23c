package config

import (
	"reflect"

	"teaselring/mesh"
	"teaselring/result"
)

// ChangeKind classifies the change of a record between two versions.
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

// Changes lists the differences between two lists of records in order of kind
// and id. Both lists must have this order.
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

// equalRecords compares schema and content: a record differs from its conversion
// to another schema, since the operator wrote them differently.
func equalRecords(a, b *mesh.Record) bool { return reflect.DeepEqual(a, b) }

// Delta holds the changes from version Base to Version. A delta with Base 0 is
// a full version.
type Delta struct {
	Base    mesh.Version
	Version mesh.Version
	Digest  mesh.Digest // of all records of Version
	Records []mesh.Record
	Removed []mesh.RecordKey
}

// FullDelta returns a delta with all records of s.
func FullDelta(s *mesh.Snapshot) Delta {
	return Delta{Version: s.Version, Digest: s.Digest, Records: s.Records}
}

// Diff returns the delta from one version to another.
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

// Apply applies a delta and returns the resulting version; base is not
// modified. It fails unless base is the delta's base version (nil for a full
// version), the result has the delta's digest, and the result is valid as a
// whole.
func Apply(base *mesh.Snapshot, d Delta) (*mesh.Snapshot, error) {
	var held []mesh.Record
	if d.Base != 0 {
		if base == nil || base.Version != d.Base {
			return nil, result.WrongBase.Errorf("version %d: the delta has base version %d, held is version %d", d.Version, d.Base, versionOf(base))
		}
		held = base.Records
	}
	if len(d.Records) > MaxRecords || len(d.Removed) > MaxRecords {
		return nil, result.TooLarge.Errorf("version %d: the delta has more than %d records", d.Version, MaxRecords)
	}
	return BuildExpected(d.Version, d.Digest, patch(held, d.Records, d.Removed))
}

// patch returns held with the changed records added or replaced and the removed
// ones left out.
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
