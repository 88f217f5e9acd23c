package config

import (
	"bytes"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/pelletier/go-toml/v2"

	"teaselring/mesh"
	"teaselring/result"
)

// document is a file of records. Its tables are decoded as maps, so that errors
// name the record and field rather than a Go type.
type document struct {
	Record []map[string]any `toml:"record"`
}

// Parse reads records from TOML. It rejects unknown kinds, schemas and fields,
// missing fields and values out of range; the error names the record, the field
// and the reason. References between records are not checked, since a change
// may refer to existing records.
func Parse(text []byte) ([]mesh.Record, error) {
	if len(text) > MaxContent {
		return nil, result.TooLarge.Errorf("%d bytes of records; allowed are at most %d", len(text), MaxContent)
	}
	var doc document
	if err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(&doc); err != nil {
		return nil, syntaxError(err)
	}
	if len(doc.Record) > MaxRecords {
		return nil, result.TooLarge.Errorf("%d records; allowed are at most %d", len(doc.Record), MaxRecords)
	}
	records := make([]mesh.Record, 0, len(doc.Record))
	for i, table := range doc.Record {
		record, err := parseRecord(i, table)
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	records = normalize(records)
	return records, checkUnique(records)
}

func syntaxError(err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		first := strict.Errors[0]
		line, _ := first.Position()
		key := strings.Join(first.Key(), ".")
		return result.InvalidRecord.Errorf("line %d: unknown key %q; only [[record]] tables are allowed", line, key).
			With("line", fmt.Sprint(line)).With("field", key)
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		line, _ := decode.Position()
		return result.InvalidRecord.Errorf("line %d: %v", line, decode).With("line", fmt.Sprint(line))
	}
	return result.InvalidRecord.Errorf("%v", err)
}

func parseRecord(index int, table map[string]any) (mesh.Record, error) {
	f := &fields{table: table, used: map[string]bool{}}
	f.key.ID = fmt.Sprintf("#%d", index+1) // placeholder until the id is read
	kind := f.text("kind", true)
	f.key.Kind = mesh.Kind(kind)
	if id := f.text("id", true); id != "" {
		f.key.ID = id
	}
	r := mesh.Record{RecordKey: f.key, Schema: int(f.integer("schema", true, 0))}
	if f.err != nil {
		return r, f.err
	}
	switch {
	case r.Kind == mesh.KindService && r.Schema == 1:
		r.Service = f.service()
	case r.Kind == mesh.KindRoute && r.Schema == 1:
		r.RouteV1 = f.routeV1()
	case r.Kind == mesh.KindRoute && r.Schema == 2:
		r.RouteV2 = f.routeV2()
	case r.Kind == mesh.KindCaller && r.Schema == 1:
		r.Caller = f.caller()
	default:
		return r, checkShape(&r)
	}
	f.checkUnused()
	if f.err != nil {
		return r, f.err
	}
	return r, checkRecord(&r)
}

// fields reads the values of one record table and keeps the first error.
type fields struct {
	key   mesh.RecordKey
	table map[string]any
	used  map[string]bool
	err   error
}

func (f *fields) service() *mesh.ServiceV1 {
	return &mesh.ServiceV1{
		Slots:      f.int("slots", true, 0),
		Queue:      f.int("queue", true, 0),
		Department: f.text("department", false),
	}
}

func (f *fields) routeV1() *mesh.RouteV1 {
	return &mesh.RouteV1{
		Department: f.text("department", true),
		Path:       f.text("path", true),
		Upstream:   f.text("upstream", true),
		TimeoutMS:  f.integer("timeout_ms", true, 0),
		KindOfCall: f.text("kind_of_call", true),
	}
}

func (f *fields) routeV2() *mesh.RouteV2 {
	return &mesh.RouteV2{
		PathPrefix: f.text("path_prefix", true),
		Methods:    f.methods("methods"),
		Service:    mesh.ServiceID(f.text("service", true)),
		Class:      mesh.Class(f.text("class", true)),
		Timeout:    f.duration("timeout"),
		Department: f.text("department", false),
	}
}

func (f *fields) caller() *mesh.CallerV1 {
	return &mesh.CallerV1{
		InFlight:     f.int("in_flight", true, 0),
		RetryPercent: f.int("retry_percent", false, defaultRetryPercent),
	}
}

func (f *fields) fail(field, format string, args ...any) {
	if f.err == nil {
		f.err = recordError(result.InvalidRecord, f.key, field, format, args...)
	}
}

// lookup returns a field's value and whether it is present.
func (f *fields) lookup(field string, required bool) (any, bool) {
	f.used[field] = true
	value, present := f.table[field]
	if !present && required {
		f.fail(field, "is missing")
	}
	return value, present
}

func (f *fields) text(field string, required bool) string {
	value, present := f.lookup(field, required)
	if !present {
		return ""
	}
	text, ok := value.(string)
	if !ok {
		f.fail(field, "%v is not a string", value)
	}
	if ok && text == "" {
		f.fail(field, "is empty")
	}
	return text
}

func (f *fields) integer(field string, required bool, fallback int64) int64 {
	value, present := f.lookup(field, required)
	if !present {
		return fallback
	}
	number, ok := value.(int64)
	if !ok {
		f.fail(field, "%v is not an integer", value)
	}
	return number
}

// int clamps the value to 32 bits, so that it does not wrap on 32-bit platforms.
// The valid ranges of all fields are narrower.
func (f *fields) int(field string, required bool, fallback int64) int {
	return int(max(min(f.integer(field, required, fallback), math.MaxInt32), math.MinInt32))
}

func (f *fields) duration(field string) time.Duration {
	text := f.text(field, true)
	if text == "" {
		return 0
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		f.fail(field, "%q is not a duration; allowed is a number with a unit such as \"500ms\" or \"2s\"", text)
	}
	return d
}

// methods returns the list sorted; its order in the file has no meaning.
func (f *fields) methods(field string) []string {
	value, present := f.lookup(field, false)
	if !present {
		return nil
	}
	list, ok := value.([]any)
	if !ok || len(list) == 0 {
		f.fail(field, "%v is not a list of methods; leave the field out to allow all", value)
		return nil
	}
	methods := make([]string, 0, len(list))
	for _, item := range list {
		method, ok := item.(string)
		if !ok {
			f.fail(field, "%v is not a string", item)
			return nil
		}
		methods = append(methods, method)
	}
	slices.Sort(methods)
	return methods
}

func (f *fields) checkUnused() {
	var unknown []string
	for field := range f.table {
		if !f.used[field] {
			unknown = append(unknown, field)
		}
	}
	if len(unknown) > 0 {
		f.fail(slices.Min(unknown), "is not a field of this kind and schema")
	}
}
