package membership

import (
	"encoding/binary"
	"hash/fnv"

	"teaselring/mesh"
)

// Buckets is the number of parts of the view that are compared and repaired
// separately. With 1,200 members a part holds about 19 entries.
const Buckets = 64

func bucketOf(node mesh.NodeID) int {
	h := fnv.New64a()
	_, _ = h.Write([]byte(node))
	return int(mix(h.Sum64()) % Buckets)
}

// mix spreads the entropy of FNV, whose high bits depend little on the last
// bytes, over the whole word.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// hashOf covers what decides which of two entries is newer. Tombstones count
// as nothing, so that nodes which drop them at different times agree.
func hashOf(m *mesh.Member) uint64 {
	if m.State >= mesh.NodeDead {
		return 0
	}
	h := fnv.New64a()
	var b [17]byte
	binary.BigEndian.PutUint64(b[0:], uint64(m.Incarnation))
	binary.BigEndian.PutUint64(b[8:], m.Sequence)
	b[16] = byte(m.State)
	_, _ = h.Write(b[:])
	_, _ = h.Write([]byte(m.Node))
	if m.State == mesh.NodeSuspect {
		for _, by := range m.SuspectedBy {
			_, _ = h.Write([]byte{0})
			_, _ = h.Write([]byte(by))
		}
	}
	return mix(h.Sum64())
}

// rehash updates the digest after a change of the entry.
func (s *State) rehash(e *entry) {
	b := bucketOf(e.Node)
	s.buckets[b] ^= e.hash
	e.hash = hashOf(&e.Member)
	s.buckets[b] ^= e.hash
	s.viewDone = false
}

// Digest is equal on two nodes with the same live members.
func (s *State) Digest() uint64 {
	d := uint64(0)
	for i, b := range s.buckets {
		d ^= mix(b + uint64(i))
	}
	return d
}

// BucketDigests returns the digest of each part of the view.
func (s *State) BucketDigests() []uint64 { return append([]uint64(nil), s.buckets[:]...) }

// Differing returns the entries of the parts whose digests differ from a
// peer's, tombstones included, sorted by id. All entries are returned when the
// number of digests is not Buckets. The node's own entry is left out until it
// has joined.
func (s *State) Differing(buckets []uint64) []mesh.Member {
	all := len(buckets) != Buckets
	var list []mesh.Member
	for _, e := range s.order {
		node := e.Node
		if node == s.self && !s.joined {
			continue
		}
		b := bucketOf(node)
		if all || buckets[b] != s.buckets[b] {
			list = append(list, e.Member)
		}
	}
	return list
}
