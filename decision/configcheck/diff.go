package configcheck

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"teaselring/mesh"
)

// Change is a difference between two configurations.
type Change struct {
	Entry string `json:"entry"`
	Field string `json:"field,omitempty"` // empty: the whole entry was added or removed
	From  string `json:"from,omitempty"`
	To    string `json:"to,omitempty"`
	Added bool   `json:"added,omitempty"` // with an empty field: added, else removed
}

// Diff returns what to has in place of from, in the order of the entries' names. Keys of
// accounts are counted, not shown.
func Diff(from, to *mesh.Snapshot) []Change {
	before, after := entriesOf(from), entriesOf(to)
	names := slices.Collect(maps.Keys(before))
	for name := range after {
		if before[name] == nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var changes []Change
	for _, name := range names {
		switch {
		case before[name] == nil:
			changes = append(changes, Change{Entry: name, Added: true})
		case after[name] == nil:
			changes = append(changes, Change{Entry: name})
		default:
			changes = append(changes, fieldChanges(name, before[name], after[name])...)
		}
	}
	return changes
}

// field is one property of an entry as a reader sees it.
type field struct{ name, value string }

func fieldChanges(entry string, before, after []field) []Change {
	var changes []Change
	for i, f := range before {
		if f.value != after[i].value {
			changes = append(changes, Change{Entry: entry, Field: f.name, From: f.value, To: after[i].value})
		}
	}
	return changes
}

// entriesOf returns the entries of a configuration by kind and name. Entries of one kind
// have the same fields in the same order.
func entriesOf(s *mesh.Snapshot) map[string][]field {
	l := &s.Limits
	entries := map[string][]field{"limits": {
		{"header bytes", fmt.Sprint(l.HeaderBytes)},
		{"body bytes", fmt.Sprint(l.BodyBytes)},
		{"header timeout", l.HeaderTimeout.String()},
		{"idle timeout", l.IdleTimeout.String()},
	}}
	entries["accounts"] = []field{{"keys required", fmt.Sprint(s.RequiresKeys())}}
	for id, v := range s.Services {
		entries[fmt.Sprintf("service %q", id)] = []field{
			{"slots", fmt.Sprint(v.Slots)},
			{"queue", fmt.Sprint(v.Queue)},
			{"health path", v.HealthPath},
			{"cold duration", v.ColdDuration.String()},
			{"cold rate", fmt.Sprint(v.ColdRate)},
		}
	}
	for i := range s.Routes {
		entries[fmt.Sprintf("route %q", s.Routes[i].ID)] = routeFields(&s.Routes[i])
	}
	for name, a := range s.Accounts {
		entries[fmt.Sprintf("account %q", name)] = []field{
			{"rate", fmt.Sprint(a.Rate)},
			{"burst", fmt.Sprint(a.Burst)},
			{"priority", priority(a.Priority, a.HasPriority)},
			{"regions", regions(a.Regions)},
			{"keys", s.KeyText(name)},
		}
	}
	for id, c := range s.Callers {
		entries[fmt.Sprintf("caller %q", id)] = []field{
			{"in flight", fmt.Sprint(c.InFlight)}, {"retry percent", fmt.Sprint(c.RetryPercent)},
		}
	}
	return entries
}

func routeFields(r *mesh.Route) []field {
	service := string(r.Service)
	if len(r.Split) > 0 {
		parts := make([]string, len(r.Split))
		for i, part := range r.Split {
			parts[i] = fmt.Sprintf("%s %v", part.Service, part.Weight)
		}
		service = strings.Join(parts, ", ")
	}
	return []field{
		{"host", r.Host},
		{"prefix", r.PathPrefix},
		{"methods", strings.Join(r.Methods, ", ")},
		{"service", service},
		{"class", string(r.Class)},
		{"timeout", r.Timeout.String()},
		{"latency target", r.Target.String()},
		{"attempts", fmt.Sprint(r.MaxAttempts)},
		{"priority", priority(r.Priority, r.HasPriority)},
		{"anonymous", fmt.Sprint(r.Anonymous)},
		{"regions", regions(r.Regions)},
		{"understood", fmt.Sprint(!r.Unusable)},
	}
}

func regions(list []mesh.Region) string {
	switch {
	case list == nil:
		return "all"
	case len(list) == 0:
		return "none"
	}
	names := make([]string, len(list))
	for i, r := range list {
		names[i] = string(r)
	}
	return strings.Join(names, ", ")
}

func priority(level int, set bool) string {
	if !set {
		return "by class"
	}
	return fmt.Sprint(level)
}
