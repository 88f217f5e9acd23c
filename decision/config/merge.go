package config

import (
	"fmt"
	"strings"

	"github.com/juju/errors"

	"teaselring/mesh"
	"teaselring/result"
)

// Edit is an operator's change: records to add or replace, and records to
// remove.
type Edit struct {
	Records []mesh.Record
	Remove  []mesh.RecordKey
}

// Merge applies an edit that was made against base to the newer version head.
// It returns the records of the outcome, validated as a whole, and whether
// head holds changes that base does not. An edit that is invalid against its
// own base fails with the reason; one that overlaps with the changes since
// base, or that is invalid together with them, fails with result.Conflict,
// which lists what changed.
func Merge(base, head *mesh.Snapshot, edit Edit) ([]mesh.Record, bool, error) {
	if err := checkEdit(base, edit); err != nil {
		return nil, false, err
	}
	edited := normalize(patch(recordsOf(base), edit.Records, edit.Remove))
	if _, err := Build(versionOf(base)+1, edited); err != nil {
		return nil, false, err
	}
	since := Changes(recordsOf(base), recordsOf(head))
	if len(since) == 0 {
		return edited, false, nil
	}
	if key, overlaps := firstOverlap(Changes(recordsOf(base), edited), since); overlaps {
		return nil, false, conflict(base, head, since, fmt.Sprintf("%s was changed by both", nameOf(key)))
	}
	merged := normalize(patch(recordsOf(head), edit.Records, edit.Remove))
	merged = keepUntouched(merged, edit, base, head)
	if _, err := Build(versionOf(head)+1, merged); err != nil {
		return nil, false, conflict(base, head, since, "together they are invalid: "+result.From(err).Message)
	}
	return merged, true, nil
}

func recordsOf(s *mesh.Snapshot) []mesh.Record {
	if s == nil {
		return nil
	}
	return s.Records
}

// checkEdit refuses an edit that contradicts itself or removes what its base
// does not have.
func checkEdit(base *mesh.Snapshot, edit Edit) error {
	if err := checkUnique(normalize(edit.Records)); err != nil {
		return err
	}
	held := map[mesh.RecordKey]bool{}
	for _, r := range recordsOf(base) {
		held[r.RecordKey] = true
	}
	for _, r := range edit.Records {
		held[r.RecordKey] = false
	}
	for _, key := range edit.Remove {
		if !held[key] {
			return refuse(result.InvalidRecord, key, "id", "can't be removed: version %d does not have it, or the same change declares it", versionOf(base))
		}
	}
	return nil
}

// firstOverlap finds a record that both sides changed to different outcomes.
func firstOverlap(mine, theirs []Change) (mesh.RecordKey, bool) {
	byKey := make(map[mesh.RecordKey]Change, len(theirs))
	for _, change := range theirs {
		byKey[change.RecordKey] = change
	}
	for _, change := range mine {
		other, both := byKey[change.RecordKey]
		if both && !sameOutcome(change, other) {
			return change.RecordKey, true
		}
	}
	return mesh.RecordKey{}, false
}

func sameOutcome(a, b Change) bool {
	if a.To == nil || b.To == nil {
		return a.To == b.To
	}
	return equalRecords(a.To, b.To)
}

// keepUntouched restores the newer form of records that the edit repeats
// unchanged from its base: an operator who sends a whole file has changed only
// what differs from the base.
func keepUntouched(merged []mesh.Record, edit Edit, base, head *mesh.Snapshot) []mesh.Record {
	inBase, inHead := index(recordsOf(base)), index(recordsOf(head))
	untouched := map[mesh.RecordKey]bool{}
	for i := range edit.Records {
		key := edit.Records[i].RecordKey
		if old := inBase[key]; old != nil && equalRecords(old, &edit.Records[i]) {
			untouched[key] = true
		}
	}
	kept := make([]mesh.Record, 0, len(merged))
	for _, r := range merged {
		if !untouched[r.RecordKey] {
			kept = append(kept, r)
		} else if newer := inHead[r.RecordKey]; newer != nil {
			kept = append(kept, *newer)
		}
	}
	return kept
}

func index(records []mesh.Record) map[mesh.RecordKey]*mesh.Record {
	byKey := make(map[mesh.RecordKey]*mesh.Record, len(records))
	for i := range records {
		byKey[records[i].RecordKey] = &records[i]
	}
	return byKey
}

// maxListed bounds the changes that a conflict lists.
const maxListed = 20

func conflict(base, head *mesh.Snapshot, since []Change, why string) error {
	var listed []string
	for _, change := range since[:min(len(since), maxListed)] {
		listed = append(listed, fmt.Sprintf("%s %s", nameOf(change.RecordKey), change.Kind))
	}
	if more := len(since) - len(listed); more > 0 {
		listed = append(listed, fmt.Sprintf("and %d more", more))
	}
	changed := strings.Join(listed, ", ")
	return result.Conflict.Errorf("%s; changed between versions %d and %d: %s", why, versionOf(base), versionOf(head), changed).
		With("changed", changed).With("head", fmt.Sprint(versionOf(head)))
}

// IsConflict reports whether err is a conflict between operators.
func IsConflict(err error) bool { return errors.Is(err, result.Conflict.Err()) }
