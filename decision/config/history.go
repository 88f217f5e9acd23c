package config

import (
	"slices"

	"teaselring/mesh"
)

// Bounds of a History.
const (
	MaxHistoryVersions = 64
	// maxHistoryKeys bounds memory: one version may change 10,000 records, and
	// 64 of those would take 20 MB of the node's 128 MB.
	maxHistoryKeys = 50_000
)

// History holds the keys of the records that changed in each of the last
// versions held by a node. It keeps no snapshots: a delta to the newest version
// takes the records from that version.
type History struct {
	steps []step
	keys  int
}

type step struct {
	from, to mesh.Version
	changed  []mesh.RecordKey
}

// Add records the step between two versions. A step that does not start at the
// newest version of the history clears the earlier steps.
func (h *History) Add(from, to *mesh.Snapshot) {
	if from == nil || (len(h.steps) > 0 && h.steps[len(h.steps)-1].to != from.Version) {
		h.steps, h.keys = nil, 0
	}
	if from == nil {
		return
	}
	s := step{from: from.Version, to: to.Version}
	for _, change := range Changes(from.Records, to.Records) {
		s.changed = append(s.changed, change.RecordKey)
	}
	h.steps = append(h.steps, s)
	h.keys += len(s.changed)
	for len(h.steps) > MaxHistoryVersions || (h.keys > maxHistoryKeys && len(h.steps) > 0) {
		h.keys -= len(h.steps[0].changed)
		h.steps = h.steps[1:]
	}
}

// Delta returns the delta from version base to head, the newest version of the
// history. It fails when the history does not reach back to base.
func (h *History) Delta(base mesh.Version, head *mesh.Snapshot) (Delta, bool) {
	at := slices.IndexFunc(h.steps, func(s step) bool { return s.from == base })
	if at < 0 || h.steps[len(h.steps)-1].to != head.Version {
		return Delta{}, false
	}
	seen := map[mesh.RecordKey]bool{}
	for _, s := range h.steps[at:] {
		for _, key := range s.changed {
			seen[key] = true
		}
	}
	d := Delta{Base: base, Version: head.Version, Digest: head.Digest}
	for i := range head.Records {
		if key := head.Records[i].RecordKey; seen[key] {
			d.Records = append(d.Records, head.Records[i])
			delete(seen, key)
		}
	}
	for key := range seen {
		d.Removed = append(d.Removed, key)
	}
	slices.SortFunc(d.Removed, CompareKeys)
	return d, len(d.Removed) <= MaxRecords // Apply accepts no more
}
