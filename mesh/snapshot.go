package mesh

import (
	"net"
	"sort"
	"strings"
	"time"

	"teaselring/result"
)

// Digest is the SHA-256 of a configuration version's canonical content.
type Digest [32]byte

// Snapshot is a validated configuration version, compiled for use. It is immutable
// once built.
type Snapshot struct {
	Version  Version
	Digest   Digest
	Records  []Record // sorted by kind and id
	Services map[ServiceID]Service
	Routes   []Route // longest prefix first
	Callers  map[CallerID]CallerV1
	// ByHost holds the routes of each host, longest prefix first. It is nil when
	// routes are chosen by method and path alone.
	ByHost map[string][]*Route
	// Limits bound what a caller may send. The edge's defaults replace zero values.
	Limits EdgeLimits
	// RetryByService charges retries to the service called instead of the caller.
	RetryByService bool
	// Accounts holds the client accounts; nil: no request needs a key. An empty map lets
	// in requests of anonymous routes only.
	Accounts     map[AccountName]*Account
	accountByKey map[keyDigest]*Account
	// Warnings names the parts of the configuration that were not understood.
	Warnings []string
}

// EdgeLimits bound the requests and connections of callers.
type EdgeLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration // to receive the headers of a request
	IdleTimeout   time.Duration // before a connection without requests is closed
}

// Service is the compiled form of a service record.
type Service struct {
	ID    ServiceID
	Slots int
	Queue int
	// HealthPath is the path of the upstreams' health check; empty: none.
	HealthPath string
	// ColdDuration is the time for which an upstream is cold after its start.
	ColdDuration time.Duration
	// ColdRate is the number of requests per second that a cold upstream tolerates; 0:
	// no bound.
	ColdRate float64
}

// Route is the compiled form of a route record of any schema.
type Route struct {
	ID         RouteID
	PathPrefix string
	Methods    []string // empty: all
	Service    ServiceID
	Class      Class
	Timeout    time.Duration
	Host       string // empty: every host
	// Split divides the calls among services, in place of Service.
	Split []ServiceShare
	// MaxAttempts is the maximum number of upstreams that one call may be sent to;
	// 0: the policy's.
	MaxAttempts int
	// Target is the latency up to which a response has its full value; 0: Timeout.
	Target time.Duration
	// Priority ranks routes; 0 is the highest. It applies only if HasPriority is set.
	Priority    int
	HasPriority bool
	// Anonymous routes need no key of an account.
	Anonymous bool
	// Regions are the regions whose upstreams may get the route's calls; nil: all.
	Regions []Region
	// Unusable is set for a route whose entry in the configuration was not understood.
	// Its calls are refused; without it they would match a shorter prefix.
	Unusable bool
}

// ServiceShare is one service's part in the split of a route.
type ServiceShare struct {
	Service ServiceID
	Weight  float64
}

// ServiceFor selects a service by weight, and none if all weights are zero. Draw is a
// uniform random number in [0, 1).
func (r *Route) ServiceFor(draw float64) ServiceID {
	if len(r.Split) == 0 {
		return r.Service
	}
	total := 0.0
	for _, part := range r.Split {
		total += part.Weight
	}
	point := draw * total
	var last ServiceID // with a weight; sums of weights are rounded
	for _, part := range r.Split {
		if part.Weight <= 0 {
			continue
		}
		if point < part.Weight {
			return part.Service
		}
		point -= part.Weight
		last = part.Service
	}
	return last
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

// Services returns the services that may receive the route's calls.
func (r *Route) Services() []ServiceID {
	if r.Unusable {
		return nil
	}
	if len(r.Split) == 0 {
		return []ServiceID{r.Service}
	}
	ids := make([]ServiceID, len(r.Split))
	for i, part := range r.Split {
		ids[i] = part.Service
	}
	return ids
}

// IndexByHost fills ByHost from Routes. It fails with result.OverlappingRoute when two
// routes of a host share a prefix.
func (s *Snapshot) IndexByHost() error {
	s.ByHost = map[string][]*Route{}
	for i := range s.Routes {
		r := &s.Routes[i]
		host := strings.ToLower(r.Host)
		s.ByHost[host] = append(s.ByHost[host], r)
	}
	for host, routes := range s.ByHost {
		sort.Slice(routes, func(i, j int) bool {
			a, b := routes[i].PathPrefix, routes[j].PathPrefix
			return len(a) > len(b) || (len(a) == len(b) && a < b)
		})
		for i := 1; i < len(routes); i++ {
			if routes[i].PathPrefix == routes[i-1].PathPrefix {
				return result.OverlappingRoute.Errorf("routes %q and %q of host %q share the prefix %q",
					routes[i-1].ID, routes[i].ID, host, routes[i].PathPrefix)
			}
		}
	}
	return nil
}

// RouteOfHost returns the host's route with the longest prefix of the path, or nil. The
// host is compared without regard to case; it may have a port, which is ignored.
func (s *Snapshot) RouteOfHost(host, path string) *Route {
	if hostname, _, err := net.SplitHostPort(host); err == nil {
		host = hostname
	}
	for _, r := range s.ByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}
