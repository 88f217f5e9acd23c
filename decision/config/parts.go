package config

import (
	"teaselring/mesh"
	"teaselring/result"
)

// Bounds of a delta in parts.
const (
	// maxPart keeps a message well below the limit of 1 MiB and lets
	// heartbeats pass between the parts of a large version.
	maxPart = 480 << 10 // bytes
	// maxParts covers the largest version and removals: 9 parts and 2.
	maxParts = 16
	// removedSize is an upper estimate of an encoded key: an id of 64 bytes, a
	// kind and the framing.
	removedSize = 96 // bytes
)

// Split cuts a delta into parts of less than 512 KiB each. Every part carries
// the versions and the digest.
func Split(d Delta) ([]Delta, error) {
	part := Delta{Base: d.Base, Version: d.Version, Digest: d.Digest}
	parts, size := []Delta{part}, 0
	room := func(bytes int) *Delta {
		if size += bytes; size > maxPart {
			parts, size = append(parts, part), bytes
		}
		return &parts[len(parts)-1]
	}
	for i := range d.Records {
		encoded, err := encoding.Marshal(&d.Records[i])
		if err != nil {
			return nil, refuse(result.InvalidRecord, d.Records[i].RecordKey, "id", "can't be encoded: %v", err)
		}
		to := room(len(encoded))
		to.Records = append(to.Records, d.Records[i])
	}
	for _, key := range d.Removed {
		to := room(removedSize)
		to.Removed = append(to.Removed, key)
	}
	return parts, nil
}

// Assembly joins the parts of one delta from one sender.
type Assembly struct {
	from mesh.NodeID
	sum  Delta
	next int
	of   int
}

// Add takes the next part. It returns the whole delta with the last part, and
// nil before. A part out of order is refused and ends the assembly, since
// parts arrive in order on one link.
func (a *Assembly) Add(from mesh.NodeID, part Delta, number, of int) (*Delta, error) {
	if of < 1 || of > maxParts || number < 0 || number >= of {
		return nil, result.BadMessage.Errorf("version %d: part %d of %d", part.Version, number, of)
	}
	if number == 0 {
		*a = Assembly{from: from, of: of, sum: Delta{Base: part.Base, Version: part.Version, Digest: part.Digest}}
	}
	if !a.continues(from, part, number, of) {
		*a = Assembly{}
		return nil, result.BadMessage.Errorf("version %d: part %d of %d from %s is out of order", part.Version, number, of, from)
	}
	a.sum.Records = append(a.sum.Records, part.Records...)
	a.sum.Removed = append(a.sum.Removed, part.Removed...)
	a.next++
	if len(a.sum.Records) > MaxRecords || len(a.sum.Removed) > MaxRecords {
		*a = Assembly{}
		return nil, result.TooLarge.Errorf("version %d: more than %d records", part.Version, MaxRecords)
	}
	if a.next < a.of {
		return nil, nil
	}
	whole := a.sum
	*a = Assembly{}
	return &whole, nil
}

func (a *Assembly) continues(from mesh.NodeID, part Delta, number, of int) bool {
	return a.from == from && a.next == number && a.of == of &&
		a.sum.Base == part.Base && a.sum.Version == part.Version && a.sum.Digest == part.Digest
}
