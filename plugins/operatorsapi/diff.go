package operatorsapi

import (
	"sort"

	"github.com/pelletier/go-toml/v2"

	"teaselring/decision/config"
	"teaselring/mesh"
	"teaselring/operator"
)

// diffOf lists the records that differ between two versions. The fields of changed
// records are TOML values.
func diffOf(from, to *mesh.Snapshot) operator.DiffResponse {
	d := operator.DiffResponse{From: from.Version, To: to.Version}
	for _, c := range config.Changes(from.Records, to.Records) {
		switch c.Kind {
		case config.Added:
			d.Added = append(d.Added, c.RecordKey)
		case config.Removed:
			d.Removed = append(d.Removed, c.RecordKey)
		default:
			d.Changed = append(d.Changed, operator.RecordChange{RecordKey: c.RecordKey, Fields: changedFields(c.From, c.To)})
		}
	}
	return d
}

func changedFields(from, to *mesh.Record) []operator.FieldChange {
	before, after := fieldsOf(from), fieldsOf(to)
	var names []string
	for name := range before {
		names = append(names, name)
	}
	for name := range after {
		if _, inBoth := before[name]; !inBoth {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	var changes []operator.FieldChange
	for _, name := range names {
		if before[name] != after[name] {
			changes = append(changes, operator.FieldChange{Field: name, From: before[name], To: after[name]})
		}
	}
	return changes
}

// fieldsOf returns the fields of a record as TOML values.
func fieldsOf(r *mesh.Record) map[string]string {
	text, err := config.Print([]mesh.Record{*r})
	if err != nil {
		return nil
	}
	var printed struct {
		Record []map[string]any `toml:"record"`
	}
	if toml.Unmarshal(text, &printed) != nil || len(printed.Record) != 1 {
		return nil
	}
	fields := make(map[string]string, len(printed.Record[0]))
	for name, value := range printed.Record[0] {
		encoded, _ := toml.Marshal(map[string]any{"v": value})
		fields[name] = string(encoded[len("v = ") : len(encoded)-1])
	}
	return fields
}
