package mesh

import (
	"strings"
	"time"
)

// Digest is the SHA-256 of a configuration version's canonical content.
type Digest [32]byte

// Snapshot is one checked configuration version, compiled for use. It is
// never changed after it was built.
type Snapshot struct {
	Version  Version
	Digest   Digest
	Records  []Record // sorted by kind and id
	Services map[ServiceID]Service
	Routes   []Route // longest prefix first
	Callers  map[CallerID]CallerV1
}

// Service is the compiled form of a service record.
type Service struct {
	ID    ServiceID
	Slots int
	Queue int
}

// Route is the compiled form of a route record of any schema.
type Route struct {
	ID         RouteID
	PathPrefix string
	Methods    []string // empty: all
	Service    ServiceID
	Class      Class
	Timeout    time.Duration
}

// Matches reports whether the route serves the request.
func (r *Route) Matches(method, path string) bool {
	return r.matchesPath(path) && r.matchesMethod(method)
}

// matchesPath accepts the prefix itself and paths below it, so that /stock
// does not serve /stockings.
func (r *Route) matchesPath(path string) bool {
	rest, ok := strings.CutPrefix(path, r.PathPrefix)
	if !ok {
		return false
	}
	return rest == "" || strings.HasSuffix(r.PathPrefix, "/") || rest[0] == '/'
}

func (r *Route) matchesMethod(method string) bool {
	if len(r.Methods) == 0 {
		return true
	}
	for _, m := range r.Methods {
		if m == method {
			return true
		}
	}
	return false
}

// Route returns the route with the longest prefix that matches, or nil.
func (s *Snapshot) Route(method, path string) *Route {
	for i := range s.Routes {
		if s.Routes[i].Matches(method, path) {
			return &s.Routes[i]
		}
	}
	return nil
}
