package membership

import (
	"encoding/binary"
	"hash/fnv"

	"teaselring/mesh"
)

// Buckets is the number of hash buckets of the view, which are compared and
// repaired separately (anti-entropy). With 1,200 members a bucket has about 19
// entries.
const Buckets = 64

func bucketOf(node mesh.NodeID) int {
	h := fnv.New64a()
	_, _ = h.Write([]byte(node))
	return int(mix(h.Sum64()) % Buckets)
}

// mix is a 64-bit hash finalizer: the high bits of FNV depend little on the last
// bytes.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// digestOf hashes the fields that decide which of two entries is newer. It is 0
// for tombstones, so that nodes which drop them at different times agree.
func digestOf(m *mesh.Member) uint64 {
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

// updateDigest updates the digest of the entry's bucket after a change.
func (s *State) updateDigest(e *entry) {
	b := bucketOf(e.Node)
	s.buckets[b] ^= e.hash
	e.hash = digestOf(&e.Member)
	s.buckets[b] ^= e.hash
	s.viewCurrent = false
}

// Digest returns the digest of the view. It is equal on nodes with the same live
// members.
func (s *State) Digest() uint64 {
	d := uint64(0)
	for i, b := range s.buckets {
		d ^= mix(b + uint64(i))
	}
	return d
}

// BucketDigests returns the digest of each bucket.
func (s *State) BucketDigests() []uint64 { return append([]uint64(nil), s.buckets[:]...) }

// DifferingMembers returns the entries of the buckets whose digests differ from a
// peer's, tombstones included, sorted by id. It returns all entries when the
// number of digests is not Buckets. The node's own entry is omitted until it has
// joined.
func (s *State) DifferingMembers(buckets []uint64) []mesh.Member {
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
