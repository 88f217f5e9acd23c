// Package config implements the logic of configuration versions: parsing and
// validating records; compiling, comparing, merging and activating versions;
// and selecting the nodes that read the head from the platform. It is pure:
// time and random numbers are arguments, and it does no I/O.
package config

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"

	"teaselring/mesh"
	"teaselring/result"
)

// Limits of a configuration version.
const (
	MaxRecords = 10_000
	MaxContent = 4 << 20 // bytes of canonical content
)

// Ranges of record fields, from the design page.
const (
	maxSlots            = 4096
	maxQueue            = 1024
	maxInFlight         = 10_000
	maxRetryPercent     = 10
	defaultRetryPercent = 10
	maxPrefix           = 1024
	maxMethods          = 16
	maxDepartment       = 64
	minTimeout          = 10 * time.Millisecond
	maxTimeout          = time.Hour
)

// Ids appear in HTTP headers, metric names and row keys, so they are limited to
// characters that none of these escape.
var (
	idPattern     = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)
	methodPattern = regexp.MustCompile(`^[A-Z][A-Z-]{0,31}$`)
	prefixPattern = regexp.MustCompile(`^/[!-"$->@-~]*$`) // printable ASCII except space, # and ?
)

// recordError returns an error with the record, the field and the reason.
func recordError(code *result.Code, key mesh.RecordKey, field, format string, args ...any) error {
	reason := fmt.Sprintf(format, args...)
	name := recordName(key)
	return code.Errorf("%s, field %q: %s", name, field, reason).
		With("record", name).With("field", field).With("reason", reason)
}

func recordName(key mesh.RecordKey) string { return fmt.Sprintf("%s %q", key.Kind, key.ID) }

// CompareKeys orders records by kind, then id.
func CompareKeys(a, b mesh.RecordKey) int {
	if c := strings.Compare(string(a.Kind), string(b.Kind)); c != 0 {
		return c
	}
	return strings.Compare(a.ID, b.ID)
}

// normalize returns a copy of records in canonical order.
func normalize(records []mesh.Record) []mesh.Record {
	sorted := slices.Clone(records)
	slices.SortStableFunc(sorted, func(a, b mesh.Record) int { return CompareKeys(a.RecordKey, b.RecordKey) })
	return sorted
}

// checkRecord validates one record on its own.
func checkRecord(r *mesh.Record) error {
	if err := checkShape(r); err != nil {
		return err
	}
	if !idPattern.MatchString(r.ID) {
		return recordError(result.InvalidRecord, r.RecordKey, "id",
			"%q is not allowed; allowed are 1 to 64 letters, digits, '.', '_' and '-', beginning with a letter or digit", r.ID)
	}
	switch {
	case r.Service != nil:
		return checkService(r.RecordKey, r.Service)
	case r.RouteV1 != nil:
		return checkRouteV1(r.RecordKey, r.RouteV1)
	case r.RouteV2 != nil:
		return checkRouteV2(r.RecordKey, r.RouteV2)
	default:
		return checkCaller(r.RecordKey, r.Caller)
	}
}

// checkShape rejects unknown kinds and schemas, and records whose body does not
// match their kind and schema.
func checkShape(r *mesh.Record) error {
	bodies := 0
	for _, set := range []bool{r.Service != nil, r.RouteV1 != nil, r.RouteV2 != nil, r.Caller != nil} {
		if set {
			bodies++
		}
	}
	schemas, known := schemasOf[r.Kind]
	if !known {
		return recordError(result.UnknownKind, r.RecordKey, "kind", "%q is not a kind; allowed are service, route and caller", r.Kind)
	}
	if !slices.Contains(schemas, r.Schema) {
		return recordError(result.UnknownSchema, r.RecordKey, "schema", "%d is not a schema of this kind; allowed is one of %v", r.Schema, schemas)
	}
	var matches bool
	switch {
	case r.Kind == mesh.KindService:
		matches = r.Service != nil
	case r.Kind == mesh.KindCaller:
		matches = r.Caller != nil
	case r.Schema == 1:
		matches = r.RouteV1 != nil
	default:
		matches = r.RouteV2 != nil
	}
	if !matches || bodies != 1 {
		return recordError(result.InvalidRecord, r.RecordKey, "schema", "the fields are not those of schema %d", r.Schema)
	}
	return nil
}

var schemasOf = map[mesh.Kind][]int{
	mesh.KindService: {1},
	mesh.KindRoute:   {1, 2},
	mesh.KindCaller:  {1},
}

func checkService(key mesh.RecordKey, s *mesh.ServiceV1) error {
	if err := checkRange(key, "slots", s.Slots, 1, maxSlots); err != nil {
		return err
	}
	if err := checkRange(key, "queue", s.Queue, 0, maxQueue); err != nil {
		return err
	}
	return checkDepartment(key, s.Department)
}

func checkRouteV1(key mesh.RecordKey, r *mesh.RouteV1) error {
	if r.Department == "" {
		return recordError(result.InvalidRecord, key, "department", "is missing; schema 1 needs it")
	}
	if err := checkDepartment(key, r.Department); err != nil {
		return err
	}
	if err := checkPrefix(key, "path", r.Path); err != nil {
		return err
	}
	if err := checkRange(key, "timeout_ms", r.TimeoutMS, minTimeout.Milliseconds(), maxTimeout.Milliseconds()); err != nil {
		return err
	}
	if _, known := classOfCall[r.KindOfCall]; !known {
		return recordError(result.InvalidRecord, key, "kind_of_call", "%q is not allowed; allowed are filing, file and lookup", r.KindOfCall)
	}
	return nil
}

func checkRouteV2(key mesh.RecordKey, r *mesh.RouteV2) error {
	if err := checkPrefix(key, "path_prefix", r.PathPrefix); err != nil {
		return err
	}
	if err := checkMethods(key, r.Methods); err != nil {
		return err
	}
	if _, known := callOfClass[r.Class]; !known {
		return recordError(result.InvalidRecord, key, "class", "%q is not allowed; allowed are once, upload and read", r.Class)
	}
	if r.Timeout < minTimeout || r.Timeout > maxTimeout {
		return recordError(result.InvalidRecord, key, "timeout", "%v is out of range; allowed is %v to %v", r.Timeout, minTimeout, maxTimeout)
	}
	return checkDepartment(key, r.Department)
}

// checkMethods also requires sorted methods, since equal records must have equal
// content.
func checkMethods(key mesh.RecordKey, methods []string) error {
	if len(methods) > maxMethods {
		return recordError(result.InvalidRecord, key, "methods", "%d methods; allowed are at most %d", len(methods), maxMethods)
	}
	for i, m := range methods {
		if !methodPattern.MatchString(m) {
			return recordError(result.InvalidRecord, key, "methods", "%q is not a method; allowed are capital letters and '-'", m)
		}
		if i > 0 && methods[i-1] >= m {
			return recordError(result.InvalidRecord, key, "methods", "%q is repeated or out of order", m)
		}
	}
	return nil
}

func checkCaller(key mesh.RecordKey, c *mesh.CallerV1) error {
	if err := checkRange(key, "in_flight", c.InFlight, 1, maxInFlight); err != nil {
		return err
	}
	return checkRange(key, "retry_percent", c.RetryPercent, 0, maxRetryPercent)
}

func checkPrefix(key mesh.RecordKey, field, prefix string) error {
	if len(prefix) > maxPrefix || !prefixPattern.MatchString(prefix) {
		return recordError(result.InvalidRecord, key, field,
			"%q is not a path; allowed are at most %d printable ASCII characters without space, '?' and '#', beginning with '/'", prefix, maxPrefix)
	}
	return nil
}

func checkDepartment(key mesh.RecordKey, department string) error {
	hasControl := strings.ContainsFunc(department, func(c rune) bool { return c < ' ' || c == 0x7f })
	if len(department) > maxDepartment || hasControl {
		return recordError(result.InvalidRecord, key, "department", "%q is not allowed; allowed are at most %d bytes without control characters", department, maxDepartment)
	}
	return nil
}

func checkRange[T int | int64](key mesh.RecordKey, field string, value, low, high T) error {
	if value < low || value > high {
		return recordError(result.InvalidRecord, key, field, "%d is out of range; allowed is %d to %d", value, low, high)
	}
	return nil
}
