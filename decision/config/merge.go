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

// Merge performs a three-way merge: it applies an edit that was made against
// base to the newer version head. It returns the merged records, validated as a
// whole, and whether head differs from base. An edit that is invalid against
// its own base fails with the reason. One that overlaps with the changes since
// base, or is invalid together with them, fails with result.Conflict, which
// lists those changes.
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
		return nil, false, conflictError(base, head, since, fmt.Sprintf("%s was changed on both sides", recordName(key)))
	}
	merged := normalize(patch(recordsOf(head), edit.Records, edit.Remove))
	merged = restoreUnchanged(merged, edit, base, head)
	if _, err := Build(versionOf(head)+1, merged); err != nil {
		return nil, false, conflictError(base, head, since, "both changes together are invalid: "+result.AsError(err).Message)
	}
	return merged, true, nil
}

func recordsOf(s *mesh.Snapshot) []mesh.Record {
	if s == nil {
		return nil
	}
	return s.Records
}

// checkEdit rejects an edit that declares a record twice, both declares and
// removes it, or removes one that its base lacks.
func checkEdit(base *mesh.Snapshot, edit Edit) error {
	if err := checkUnique(normalize(edit.Records)); err != nil {
		return err
	}
	removable := map[mesh.RecordKey]bool{}
	for _, r := range recordsOf(base) {
		removable[r.RecordKey] = true
	}
	for _, r := range edit.Records {
		removable[r.RecordKey] = false
	}
	for _, key := range edit.Remove {
		if !removable[key] {
			return recordError(result.InvalidRecord, key, "id", "can't be removed: version %d does not have it, or the same change declares it", versionOf(base))
		}
	}
	return nil
}

// firstOverlap returns a record that both sides changed differently.
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

// restoreUnchanged takes records that the edit repeats unchanged from its base
// from head instead: an operator who sends a whole file has changed only what
// differs from the base.
func restoreUnchanged(merged []mesh.Record, edit Edit, base, head *mesh.Snapshot) []mesh.Record {
	inBase, inHead := indexByKey(recordsOf(base)), indexByKey(recordsOf(head))
	unchanged := map[mesh.RecordKey]bool{}
	for i := range edit.Records {
		key := edit.Records[i].RecordKey
		if old := inBase[key]; old != nil && equalRecords(old, &edit.Records[i]) {
			unchanged[key] = true
		}
	}
	kept := make([]mesh.Record, 0, len(merged))
	for _, r := range merged {
		if !unchanged[r.RecordKey] {
			kept = append(kept, r)
		} else if newer := inHead[r.RecordKey]; newer != nil {
			kept = append(kept, *newer)
		}
	}
	return kept
}

func indexByKey(records []mesh.Record) map[mesh.RecordKey]*mesh.Record {
	byKey := make(map[mesh.RecordKey]*mesh.Record, len(records))
	for i := range records {
		byKey[records[i].RecordKey] = &records[i]
	}
	return byKey
}

// maxListedChanges bounds the list of changes in a conflict error.
const maxListedChanges = 20

func conflictError(base, head *mesh.Snapshot, since []Change, reason string) error {
	var listed []string
	for _, change := range since[:min(len(since), maxListedChanges)] {
		listed = append(listed, fmt.Sprintf("%s %s", recordName(change.RecordKey), change.Kind))
	}
	if more := len(since) - len(listed); more > 0 {
		listed = append(listed, fmt.Sprintf("and %d more", more))
	}
	changed := strings.Join(listed, ", ")
	return result.Conflict.Errorf("%s; changed between versions %d and %d: %s", reason, versionOf(base), versionOf(head), changed).
		With("changed", changed).With("head", fmt.Sprint(versionOf(head)))
}

// IsConflict reports whether err is a conflict between concurrent edits.
func IsConflict(err error) bool { return errors.Is(err, result.Conflict.Err()) }
