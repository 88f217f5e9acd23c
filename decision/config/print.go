package config

import (
	"bytes"

	"github.com/pelletier/go-toml/v2"

	"teaselring/mesh"
	"teaselring/result"
)

// printedHead holds the fields that begin every printed record.
type printedHead struct {
	Kind   mesh.Kind `toml:"kind"`
	ID     string    `toml:"id"`
	Schema int       `toml:"schema"`
}

type printedService struct {
	printedHead
	Slots      int    `toml:"slots"`
	Queue      int    `toml:"queue"`
	Department string `toml:"department,omitempty"`
}

type printedRouteV1 struct {
	printedHead
	Department string `toml:"department"`
	Path       string `toml:"path"`
	Upstream   string `toml:"upstream"`
	TimeoutMS  int64  `toml:"timeout_ms"`
	KindOfCall string `toml:"kind_of_call"`
}

type printedRouteV2 struct {
	printedHead
	PathPrefix string         `toml:"path_prefix"`
	Methods    []string       `toml:"methods,omitempty"`
	Service    mesh.ServiceID `toml:"service"`
	Class      mesh.Class     `toml:"class"`
	Timeout    string         `toml:"timeout"`
	Department string         `toml:"department,omitempty"`
}

type printedCaller struct {
	printedHead
	InFlight     int `toml:"in_flight"`
	RetryPercent int `toml:"retry_percent"`
}

// Print formats valid records as TOML. Parse of the output returns equal records.
func Print(records []mesh.Record) ([]byte, error) {
	var out bytes.Buffer
	for i := range records {
		if err := checkShape(&records[i]); err != nil {
			return nil, err
		}
		text, err := toml.Marshal(map[string][]any{"record": {printed(&records[i])}})
		if err != nil {
			return nil, recordError(result.InvalidRecord, records[i].RecordKey, "id", "can't be printed: %v", err)
		}
		if i > 0 {
			out.WriteByte('\n')
		}
		out.Write(text)
	}
	return out.Bytes(), nil
}

func printed(r *mesh.Record) any {
	head := printedHead{Kind: r.Kind, ID: r.ID, Schema: r.Schema}
	switch {
	case r.Service != nil:
		return printedService{head, r.Service.Slots, r.Service.Queue, r.Service.Department}
	case r.RouteV1 != nil:
		v := r.RouteV1
		return printedRouteV1{head, v.Department, v.Path, v.Upstream, v.TimeoutMS, v.KindOfCall}
	case r.RouteV2 != nil:
		v := r.RouteV2
		return printedRouteV2{head, v.PathPrefix, v.Methods, v.Service, v.Class, v.Timeout.String(), v.Department}
	default:
		return printedCaller{head, r.Caller.InFlight, r.Caller.RetryPercent}
	}
}
