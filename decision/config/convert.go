package config

import (
	"time"

	"teaselring/mesh"
	"teaselring/result"
)

var classOfCall = map[string]mesh.Class{
	"filing": mesh.ClassOnce,
	"file":   mesh.ClassUpload,
	"lookup": mesh.ClassRead,
}

var callOfClass = map[mesh.Class]string{
	mesh.ClassOnce:   "filing",
	mesh.ClassUpload: "file",
	mesh.ClassRead:   "lookup",
}

// Convert converts the record to another schema of its kind. It fails with
// result.NotConvertible when the other schema can't represent the record, and
// with result.UnknownSchema when the kind has no such schema.
func Convert(r mesh.Record, schema int) (mesh.Record, error) {
	if err := checkShape(&r); err != nil {
		return mesh.Record{}, err
	}
	if r.Schema == schema {
		return r, nil
	}
	to := mesh.Record{RecordKey: r.RecordKey, Schema: schema}
	switch {
	case r.RouteV1 != nil && schema == 2:
		v2 := routeV2(r.RouteV1)
		to.RouteV2 = &v2
	case r.RouteV2 != nil && schema == 1:
		v1, err := routeV1(r.RecordKey, r.RouteV2)
		if err != nil {
			return mesh.Record{}, err
		}
		to.RouteV1 = v1
	default:
		return mesh.Record{}, recordError(result.UnknownSchema, r.RecordKey, "schema", "%d is not a schema of this kind; allowed is one of %v", schema, schemasOf[r.Kind])
	}
	return to, nil
}

func routeV2(r *mesh.RouteV1) mesh.RouteV2 {
	return mesh.RouteV2{
		PathPrefix: r.Path,
		Service:    mesh.ServiceID(r.Upstream),
		Class:      classOfCall[r.KindOfCall],
		Timeout:    time.Duration(r.TimeoutMS) * time.Millisecond,
		Department: r.Department,
	}
}

func routeV1(key mesh.RecordKey, r *mesh.RouteV2) (*mesh.RouteV1, error) {
	switch {
	case r.Department == "":
		return nil, recordError(result.NotConvertible, key, "department", "is missing; schema 1 needs it")
	case len(r.Methods) > 0:
		return nil, recordError(result.NotConvertible, key, "methods", "schema 1 can't limit methods")
	case r.Timeout%time.Millisecond != 0:
		return nil, recordError(result.NotConvertible, key, "timeout", "%v is not a whole number of milliseconds", r.Timeout)
	}
	return &mesh.RouteV1{
		Department: r.Department,
		Path:       r.PathPrefix,
		Upstream:   string(r.Service),
		TimeoutMS:  r.Timeout.Milliseconds(),
		KindOfCall: callOfClass[r.Class],
	}, nil
}
