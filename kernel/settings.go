package kernel

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"teaselring/result"
)

// Duration is a time span in a settings file, written as "500ms" or "2s".
type Duration struct{ time.Duration }

// Span returns d as a Duration.
func Span(d time.Duration) Duration { return Duration{d} }

// UnmarshalText parses a number with a unit.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration; allowed is a number with a unit such as \"500ms\" or \"2s\"", text)
	}
	d.Duration = v
	return nil
}

// MarshalText writes the shortest exact form.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// FieldError is returned by Validate for a value that is not allowed.
type FieldError struct {
	Key     string // as written in the file
	Value   any
	Allowed string // what would be accepted
}

// Error states the value and what is allowed.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s = %v is not allowed; allowed is %s", e.Key, e.Value, e.Allowed)
}

// InRange returns a FieldError unless low <= value <= high.
func InRange[T int | int64 | float64](key string, value, low, high T) error {
	if value >= low && value <= high {
		return nil
	}
	return &FieldError{Key: key, Value: value, Allowed: fmt.Sprintf("%v to %v", low, high)}
}

// SpanInRange returns a FieldError unless low <= value <= high.
func SpanInRange(key string, value Duration, low, high time.Duration) error {
	if value.Duration >= low && value.Duration <= high {
		return nil
	}
	return &FieldError{Key: key, Value: value, Allowed: fmt.Sprintf("%v to %v", low, high)}
}

// Settings holds the settings of every registered plug-in that has any.
type Settings struct {
	byName   map[string]Validator
	combined reflect.Value // one struct with a field for each table
}

// Defaults returns the settings of all registered plug-ins with no file applied.
func Defaults() *Settings {
	s := &Settings{byName: map[string]Validator{}}
	for _, p := range Plugins() {
		if p.Settings != nil {
			s.byName[p.Name] = p.Settings()
		}
	}
	s.combined = s.combine()
	return s
}

// ForPlugin returns the settings of a plug-in, or nil when it has none.
func (s *Settings) ForPlugin(plugin string) Validator { return s.byName[plugin] }

// Load applies a settings file to the defaults and validates the settings of every
// plug-in. Errors name the file and, where known, the line.
func Load(path string) (*Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, result.SettingInvalid.Errorf("settings file: %v", err)
	}
	return Parse(path, content)
}

// Parse is Load for content that is already in memory.
func Parse(path string, content []byte) (*Settings, error) {
	s := Defaults()
	var document map[string]any
	if err := toml.Unmarshal(content, &document); err != nil {
		return nil, decodeError(path, result.SettingSyntax, err)
	}
	decoder := toml.NewDecoder(bytes.NewReader(content)).DisallowUnknownFields()
	if err := decoder.Decode(s.combined.Addr().Interface()); err != nil {
		return nil, decodeError(path, result.SettingInvalid, err)
	}
	for _, p := range Plugins() {
		if err := s.validate(p.Name, path, content); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// Encode writes the settings as a TOML file.
func (s *Settings) Encode() ([]byte, error) { return toml.Marshal(s.combined.Interface()) }

// combine builds a struct type with nested fields for the dotted names of the
// plug-ins, so that one strict decode covers the whole file and reports lines.
func (s *Settings) combine() reflect.Value {
	groups := map[string][]reflect.StructField{}
	var order []string
	for _, p := range Plugins() {
		if p.Settings == nil {
			continue
		}
		group, leaf := splitName(p.Name)
		if groups[group] == nil {
			order = append(order, group)
		}
		groups[group] = append(groups[group], tableField(leaf, reflect.TypeOf(s.byName[p.Name])))
	}
	var fields []reflect.StructField
	for _, group := range order {
		fields = append(fields, tableField(group, reflect.StructOf(groups[group])))
	}
	root := reflect.New(reflect.StructOf(fields)).Elem()
	for name, value := range s.byName {
		group, leaf := splitName(name)
		root.FieldByName(fieldName(group)).FieldByName(fieldName(leaf)).Set(reflect.ValueOf(value))
	}
	return root
}

func splitName(plugin string) (group, leaf string) {
	group, leaf, _ = strings.Cut(plugin, ".")
	return group, leaf
}

func tableField(name string, t reflect.Type) reflect.StructField {
	tag := reflect.StructTag(fmt.Sprintf(`toml:"%s"`, name))
	return reflect.StructField{Name: fieldName(name), Type: t, Tag: tag}
}

func fieldName(table string) string { return "T" + strings.ReplaceAll(table, "-", "_") }

func (s *Settings) validate(plugin, path string, content []byte) error {
	value := s.byName[plugin]
	if value == nil {
		return nil
	}
	err := value.Validate()
	if err == nil {
		return nil
	}
	var field *FieldError
	if !errors.As(err, &field) {
		return result.SettingInvalid.Errorf("%s: [%s]: %v", path, plugin, err)
	}
	line := lineOf(content, plugin, field.Key)
	return result.SettingInvalid.Errorf("%s:%d: [%s] %v", path, line, plugin, field).
		With("line", fmt.Sprint(line)).With("key", plugin+"."+field.Key)
}

// decodeError returns an error that names the file, line and key. Its code is
// SettingUnknown for an unknown key and the given one otherwise.
func decodeError(path string, code *result.Code, err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		first := strict.Errors[0]
		line, _ := first.Position()
		key := strings.Join(first.Key(), ".")
		return result.SettingUnknown.Errorf("%s:%d: unknown key %q; see teasel-node check-config --defaults", path, line, key).
			With("line", fmt.Sprint(line)).With("key", key)
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		line, _ := decode.Position()
		key := strings.Join(decode.Key(), ".")
		return code.Errorf("%s:%d: %s: %v", path, line, key, decode).
			With("line", fmt.Sprint(line)).With("key", key)
	}
	return code.Errorf("%s: %v", path, err)
}

// lineOf returns the line of a key within a table, the line of the table when
// the key is absent, or 0 when the table is absent too.
func lineOf(content []byte, table, key string) int {
	tableLine, current := 0, ""
	for i, line := range strings.Split(string(content), "\n") {
		line = strings.TrimSpace(line)
		if name, ok := strings.CutPrefix(line, "["); ok {
			current = strings.TrimSpace(strings.SplitN(name, "]", 2)[0])
			if current == table {
				tableLine = i + 1
			}
			continue
		}
		name, _, ok := strings.Cut(line, "=")
		if ok && current == table && strings.TrimSpace(name) == key {
			return i + 1
		}
	}
	return tableLine
}
