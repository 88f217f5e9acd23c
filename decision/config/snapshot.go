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

// content is the canonical form of a version. The version number is not part
// of it, so that equal records have equal objects.
type content struct {
	Records []mesh.Record `cbor:"1,keyasint"`
}

var (
	encoding = must(cbor.CoreDetEncOptions().EncMode())
	decoding = must(cbor.DecOptions{
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

// Encode returns the canonical content of a version with the given records:
// CBOR in core deterministic encoding, records in order of kind and id.
func Encode(records []mesh.Record) ([]byte, error) {
	encoded, err := encoding.Marshal(content{Records: normalize(records)})
	if err != nil {
		return nil, result.InvalidRecord.Errorf("content can't be encoded: %v", err)
	}
	return encoded, nil
}

// Decode reads canonical content. It does not validate the records. Unknown
// fields are refused: a version is never applied in part.
func Decode(encoded []byte) ([]mesh.Record, error) {
	var c content
	if err := decoding.Unmarshal(encoded, &c); err != nil {
		return nil, result.InvalidRecord.Errorf("content can't be decoded: %v", err)
	}
	return c.Records, nil
}

// DigestOf returns the digest of canonical content.
func DigestOf(encoded []byte) mesh.Digest { return sha256.Sum256(encoded) }

// ObjectKey names the object that holds the content with the given digest.
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

// Build validates the records as a whole and compiles them.
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

// BuildExpected is Build for a version whose digest is known. Records that do
// not have the digest are not those of the version, whatever else is wrong
// with them, and are refused with result.DigestMismatch.
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
		add(s, &records[i])
	}
	slices.SortFunc(s.Routes, compareRoutes)
	return s, nil
}

func add(s *mesh.Snapshot, r *mesh.Record) {
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

// compareRoutes puts longer prefixes first, so that the first match is the
// most specific one.
func compareRoutes(a, b mesh.Route) int {
	if len(a.PathPrefix) != len(b.PathPrefix) {
		return len(b.PathPrefix) - len(a.PathPrefix)
	}
	if c := strings.Compare(a.PathPrefix, b.PathPrefix); c != 0 {
		return c
	}
	return strings.Compare(string(a.ID), string(b.ID))
}
