package configcheck

import (
	"fmt"
	"slices"
	"strings"

	"golang.org/x/net/http/httpguts"

	"teaselring/mesh"
)

func (c *checker) checkRoute(r *mesh.Route) {
	entry := fmt.Sprintf("route %q", r.ID)
	if r.Unusable {
		return // reported with the parts that were not understood
	}
	c.checkMatch(entry, r)
	c.checkSplit(entry, r)
	c.checkPriority(entry, r.Priority, r.HasPriority)
	c.checkRegions(entry, r.Regions)
	if r.Target > r.Timeout {
		c.add(entry, "latency target", "%v is longer than the timeout of %v", r.Target, r.Timeout)
	}
	if c.mesh.Upstreams != nil {
		c.checkAttempts(entry, r)
	}
	if c.snapshot.RequiresKeys() && c.snapshot.Keys() == 0 && !r.Anonymous {
		c.add(entry, "anonymous", "it needs the key of an account, and there is none")
	}
}

// checkMatch finds routes that no request can match, or only some of those that their
// author expects.
func (c *checker) checkMatch(entry string, r *mesh.Route) {
	if host := r.Host; host != "" {
		switch {
		case strings.Contains(host, "*"):
			c.add(entry, "host", "%q never matches: hosts are compared whole, without patterns", host)
		case strings.ContainsAny(host, "/:@ ") || !httpguts.ValidHostHeader(host):
			c.add(entry, "host", "%q never matches: it is not the name of a host without port", host)
		}
	}
	if strings.ContainsAny(r.PathPrefix, "?#") {
		c.add(entry, "prefix", "%q never matches: a path has no query or fragment", r.PathPrefix)
	}
	if strings.Contains(r.PathPrefix, "%") {
		c.add(entry, "prefix", "%q is compared with decoded paths, so that escapes in it don't match", r.PathPrefix)
	}
	if other := c.hidden(r); other != nil {
		c.add(entry, "prefix", "%q never matches: route %q has an equal or shorter prefix of the same requests and comes first", r.PathPrefix, other.ID)
	}
}

// hidden returns a route that gets every request of r, or nil. It looks each up as the
// nodes do.
func (c *checker) hidden(r *mesh.Route) *mesh.Route {
	lookup := func(method string) *mesh.Route {
		if c.snapshot.ByHost != nil {
			return c.snapshot.RouteOfHost(r.Host, r.PathPrefix)
		}
		return c.snapshot.Route(method, r.PathPrefix)
	}
	methods := r.Methods
	if len(methods) == 0 {
		methods = []string{"GET"}
	}
	var first *mesh.Route
	for _, method := range methods {
		found := lookup(method)
		if found == nil || found.ID == r.ID {
			return nil
		}
		first = found
	}
	return first
}

func (c *checker) checkSplit(entry string, r *mesh.Route) {
	if len(r.Split) == 0 {
		return
	}
	total, seen := 0.0, []mesh.ServiceID{}
	for _, part := range r.Split {
		total += part.Weight
		if part.Weight == 0 {
			c.add(entry, "split", "service %q has weight 0 and gets no calls", part.Service)
		}
		if slices.Contains(seen, part.Service) {
			c.add(entry, "split", "service %q stands there twice", part.Service)
		}
		seen = append(seen, part.Service)
	}
	if total <= 0 {
		c.add(entry, "split", "the weights sum to zero; all its requests are refused")
	}
}

// checkAttempts compares the attempts with the upstreams of the smallest service.
func (c *checker) checkAttempts(entry string, r *mesh.Route) {
	for _, id := range r.Services() {
		if n := c.mesh.Upstreams[id].Upstreams; n > 0 && r.MaxAttempts > n {
			c.add(entry, "attempts", "%d are more than the %d upstreams of service %q", r.MaxAttempts, n, id)
		}
	}
}
