package config

import (
	"teaselring/mesh"
	"teaselring/result"
)

// validate checks normalized records as a whole version.
func validate(records []mesh.Record) error {
	if err := checkCount(len(records)); err != nil {
		return err
	}
	for i := range records {
		if err := checkRecord(&records[i]); err != nil {
			return err
		}
	}
	if err := checkUnique(records); err != nil {
		return err
	}
	if err := checkReferences(records); err != nil {
		return err
	}
	return checkOverlaps(records)
}

func checkCount(count int) error {
	if count > MaxRecords {
		return result.TooLarge.Errorf("%d records; allowed are at most %d", count, MaxRecords)
	}
	return nil
}

// checkUnique rejects duplicate ids. The records must be sorted.
func checkUnique(records []mesh.Record) error {
	for i := 1; i < len(records); i++ {
		if records[i].RecordKey == records[i-1].RecordKey {
			return recordError(result.DuplicateID, records[i].RecordKey, "id", "another record of this kind has the same id")
		}
	}
	return nil
}

// checkReferences rejects routes to services that the version does not declare.
func checkReferences(records []mesh.Record) error {
	services := map[mesh.ServiceID]bool{}
	for i := range records {
		if records[i].Service != nil {
			services[mesh.ServiceID(records[i].ID)] = true
		}
	}
	for i := range records {
		if records[i].Kind != mesh.KindRoute {
			continue
		}
		if route := compileRoute(&records[i]); !services[route.Service] {
			return recordError(result.DanglingRef, records[i].RecordKey, serviceField(&records[i]), "service %q does not exist", route.Service)
		}
	}
	return nil
}

func serviceField(r *mesh.Record) string {
	if r.RouteV1 != nil {
		return "upstream"
	}
	return "service"
}

func prefixField(r *mesh.Record) string {
	if r.RouteV1 != nil {
		return "path"
	}
	return "path_prefix"
}

// checkOverlaps rejects two routes with the same prefix and a common method.
func checkOverlaps(records []mesh.Record) error {
	taken := map[string]map[string]mesh.RouteID{} // by prefix and method
	for i := range records {
		if records[i].Kind != mesh.KindRoute {
			continue
		}
		route := compileRoute(&records[i])
		byMethod := taken[route.PathPrefix]
		if other, overlaps := overlap(byMethod, route.Methods); overlaps {
			return recordError(result.OverlappingRoute, records[i].RecordKey, prefixField(&records[i]),
				"route %q has the same prefix %q and a method in common", other, route.PathPrefix)
		}
		if byMethod == nil {
			byMethod = map[string]mesh.RouteID{}
			taken[route.PathPrefix] = byMethod
		}
		for _, method := range methodKeys(route.Methods) {
			byMethod[method] = route.ID
		}
	}
	return nil
}

// anyMethod is the map key of an empty method list, which matches every method.
const anyMethod = ""

func methodKeys(methods []string) []string {
	if len(methods) == 0 {
		return []string{anyMethod}
	}
	return methods
}

func overlap(byMethod map[string]mesh.RouteID, methods []string) (mesh.RouteID, bool) {
	if other, all := byMethod[anyMethod]; all {
		return other, true
	}
	if len(methods) == 0 {
		for _, other := range byMethod {
			return other, true
		}
	}
	for _, method := range methods {
		if other, both := byMethod[method]; both {
			return other, true
		}
	}
	return "", false
}
