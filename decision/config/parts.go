package config

import (
	"teaselring/mesh"
	"teaselring/result"
)

// Limits of a delta that is split into parts.
const (
	// maxPart keeps a message well below the limit of 1 MiB and allows
	// heartbeats to be sent between the parts of a large version.
	maxPart = 480 << 10 // bytes
	// maxParts covers the largest version (9 parts) and its removals (2 parts).
	maxParts = 16
	// removedSize is an upper estimate of an encoded key: an id of 64 bytes, a
	// kind and the framing.
	removedSize = 96 // bytes
)

// Split splits a delta into parts of less than 512 KiB each. Each part has the
// versions and the digest.
func Split(d Delta) ([]Delta, error) {
	part := Delta{Base: d.Base, Version: d.Version, Digest: d.Digest}
	parts, size := []Delta{part}, 0
	partFor := func(bytes int) *Delta {
		if size += bytes; size > maxPart {
			parts, size = append(parts, part), bytes
		}
		return &parts[len(parts)-1]
	}
	for i := range d.Records {
		encoded, err := encMode.Marshal(&d.Records[i])
		if err != nil {
			return nil, recordError(result.InvalidRecord, d.Records[i].RecordKey, "id", "can't be encoded: %v", err)
		}
		to := partFor(len(encoded))
		to.Records = append(to.Records, d.Records[i])
	}
	for _, key := range d.Removed {
		to := partFor(removedSize)
		to.Removed = append(to.Removed, key)
	}
	return parts, nil
}

// Assembler reassembles one delta from the parts sent by one peer.
type Assembler struct {
	from   mesh.NodeID
	joined Delta
	next   int
	total  int
}

// Add appends the next part. It returns the complete delta after the last part
// and nil before. A part out of order is rejected and discards those before it,
// since parts arrive in order on one link.
func (a *Assembler) Add(from mesh.NodeID, part Delta, number, total int) (*Delta, error) {
	if total < 1 || total > maxParts || number < 0 || number >= total {
		return nil, result.BadMessage.Errorf("version %d: part %d of %d", part.Version, number, total)
	}
	if number == 0 {
		*a = Assembler{from: from, total: total, joined: Delta{Base: part.Base, Version: part.Version, Digest: part.Digest}}
	}
	if !a.continues(from, part, number, total) {
		*a = Assembler{}
		return nil, result.BadMessage.Errorf("version %d: part %d of %d from %s is out of order", part.Version, number, total, from)
	}
	a.joined.Records = append(a.joined.Records, part.Records...)
	a.joined.Removed = append(a.joined.Removed, part.Removed...)
	a.next++
	if len(a.joined.Records) > MaxRecords || len(a.joined.Removed) > MaxRecords {
		*a = Assembler{}
		return nil, result.TooLarge.Errorf("version %d: more than %d records", part.Version, MaxRecords)
	}
	if a.next < a.total {
		return nil, nil
	}
	full := a.joined
	*a = Assembler{}
	return &full, nil
}

func (a *Assembler) continues(from mesh.NodeID, part Delta, number, total int) bool {
	return a.from == from && a.next == number && a.total == total &&
		a.joined.Base == part.Base && a.joined.Version == part.Version && a.joined.Digest == part.Digest
}
