package config

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"teaselring/mesh"
	"teaselring/result"
)

// content is the canonical form of a version. It excludes the version number,
// so that equal records have equal objects.
type content struct {
	Records []mesh.Record `cbor:"1,keyasint"`
}

var (
	encMode = must(cbor.CoreDetEncOptions().EncMode())
	decMode = must(cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode())
)

func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}

// Encode returns the canonical content of a version: its records in order of
// kind and id, in CBOR core deterministic encoding.
func Encode(records []mesh.Record) ([]byte, error) {
	encoded, err := encMode.Marshal(content{Records: normalize(records)})
	if err != nil {
		return nil, result.InvalidRecord.Errorf("content can't be encoded: %v", err)
	}
	return encoded, nil
}

// Decode decodes canonical content without validating the records. It rejects
// unknown fields: a version is never applied in part.
func Decode(encoded []byte) ([]mesh.Record, error) {
	var c content
	if err := decMode.Unmarshal(encoded, &c); err != nil {
		return nil, result.InvalidRecord.Errorf("content can't be decoded: %v", err)
	}
	return c.Records, nil
}

// DigestOf returns the digest of canonical content.
func DigestOf(encoded []byte) mesh.Digest { return sha256.Sum256(encoded) }

// ObjectKey returns the key of the object with the content of the given digest.
func ObjectKey(d mesh.Digest) string { return hex.EncodeToString(d[:]) }

// ParseObjectKey is the inverse of ObjectKey.
func ParseObjectKey(key string) (mesh.Digest, error) {
	var d mesh.Digest
	raw, err := hex.DecodeString(key)
	if err != nil || len(raw) != len(d) {
		return d, result.StaleObject.Errorf("object key %q is not a SHA-256 digest", key)
	}
	copy(d[:], raw)
	return d, nil
}

// Build validates the records as a whole and compiles them into a snapshot.
func Build(version mesh.Version, records []mesh.Record) (*mesh.Snapshot, error) {
	records = normalize(records)
	if err := checkCount(len(records)); err != nil {
		return nil, err
	}
	encoded, err := Encode(records)
	if err != nil {
		return nil, err
	}
	return compile(version, records, encoded)
}

// BuildExpected is Build for a version with a known digest. The digest is checked
// first: records with another digest are not those of the version, so they fail
// with result.DigestMismatch even when they are invalid too.
func BuildExpected(version mesh.Version, digest mesh.Digest, records []mesh.Record) (*mesh.Snapshot, error) {
	records = normalize(records)
	encoded, err := Encode(records)
	if err != nil {
		return nil, err
	}
	if DigestOf(encoded) != digest {
		return nil, result.DigestMismatch.Errorf("version %d: the records have digest %.8x, expected is %.8x", version, DigestOf(encoded), digest)
	}
	return compile(version, records, encoded)
}

func compile(version mesh.Version, records []mesh.Record, encoded []byte) (*mesh.Snapshot, error) {
	if len(encoded) > MaxContent {
		return nil, result.TooLarge.Errorf("version %d has %d bytes; allowed are at most %d", version, len(encoded), MaxContent)
	}
	if err := validate(records); err != nil {
		return nil, err
	}
	s := &mesh.Snapshot{
		Version:  version,
		Digest:   DigestOf(encoded),
		Records:  records,
		Services: map[mesh.ServiceID]mesh.Service{},
		Callers:  map[mesh.CallerID]mesh.CallerV1{},
	}
	for i := range records {
		addRecord(s, &records[i])
	}
	slices.SortFunc(s.Routes, compareRoutes)
	return s, nil
}

func addRecord(s *mesh.Snapshot, r *mesh.Record) {
	switch {
	case r.Service != nil:
		id := mesh.ServiceID(r.ID)
		s.Services[id] = mesh.Service{ID: id, Slots: r.Service.Slots, Queue: r.Service.Queue}
	case r.Caller != nil:
		s.Callers[mesh.CallerID(r.ID)] = *r.Caller
	default:
		s.Routes = append(s.Routes, compileRoute(r))
	}
}

func compileRoute(r *mesh.Record) mesh.Route {
	v2 := r.RouteV2
	if v2 == nil {
		converted := routeV2(r.RouteV1)
		v2 = &converted
	}
	return mesh.Route{
		ID:         mesh.RouteID(r.ID),
		PathPrefix: v2.PathPrefix,
		Methods:    v2.Methods,
		Service:    v2.Service,
		Class:      v2.Class,
		Timeout:    v2.Timeout,
	}
}

// compareRoutes orders routes by descending prefix length, so that the first
// match is the most specific one.
func compareRoutes(a, b mesh.Route) int {
	if len(a.PathPrefix) != len(b.PathPrefix) {
		return len(b.PathPrefix) - len(a.PathPrefix)
	}
	if c := strings.Compare(a.PathPrefix, b.PathPrefix); c != 0 {
		return c
	}
	return strings.Compare(string(a.ID), string(b.ID))
}
