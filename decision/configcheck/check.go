// Package configcheck finds entries of a configuration that a node would take but that
// can't do what their author expects: entries that never match a request and limits that
// contradict each other. It also compares two configurations. It works on compiled
// snapshots, so that errors are found by the code that the nodes use themselves.
package configcheck

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"teaselring/mesh"
)

// Finding is one problem of a configuration.
type Finding struct {
	Entry string `json:"entry"` // kind and name, such as route "pay"
	Field string `json:"field"`
	Text  string `json:"text"`
}

// Mesh is what is known of the deployment. Checks that need an unknown figure are left
// out.
type Mesh struct {
	// Upstreams counts the ready upstreams of each service and their slots; nil: unknown.
	Upstreams map[mesh.ServiceID]Capacity
	// Memory is the memory of the smallest instance in bytes; 0: unknown.
	Memory int64
}

// Capacity is the capacity of a service.
type Capacity struct {
	Upstreams int
	Slots     int // of all upstreams
}

// Check returns the problems of a configuration in the order of its entries.
func Check(s *mesh.Snapshot, m Mesh) []Finding {
	c := &checker{snapshot: s, mesh: m}
	for _, text := range s.Warnings {
		c.add("configuration", "", "not understood: %s", text)
	}
	c.checkLimits()
	for _, id := range slices.Sorted(maps.Keys(s.Services)) {
		c.checkService(s.Services[id])
	}
	for i := range s.Routes {
		c.checkRoute(&s.Routes[i])
	}
	if s.RequiresKeys() && s.Keys() == 0 {
		c.add("accounts", "", "requests need the key of an account, and there is no key: only anonymous routes are served")
	}
	for _, name := range slices.Sorted(maps.Keys(s.Accounts)) {
		c.checkAccount(s.Accounts[name])
	}
	return c.findings
}

type checker struct {
	snapshot *mesh.Snapshot
	mesh     Mesh
	findings []Finding
}

func (c *checker) add(entry, field, format string, args ...any) {
	c.findings = append(c.findings, Finding{Entry: entry, Field: field, Text: fmt.Sprintf(format, args...)})
}

// minHeaderBytes is the size of a small request of an ordinary HTTP client.
const minHeaderBytes = 1 << 10

func (c *checker) checkLimits() {
	l := &c.snapshot.Limits
	if l.HeaderBytes > 0 && l.HeaderBytes < minHeaderBytes {
		c.add("limits", "header bytes", "%d bytes are less than an ordinary request has (%d)", l.HeaderBytes, minHeaderBytes)
	}
	if c.mesh.Memory > 0 && l.BodyBytes > c.mesh.Memory {
		c.add("limits", "body bytes", "%d bytes are more than the memory of an instance (%d)", l.BodyBytes, c.mesh.Memory)
	}
	if c.mesh.Memory > 0 && int64(l.HeaderBytes) > c.mesh.Memory {
		c.add("limits", "header bytes", "%d bytes are more than the memory of an instance (%d)", l.HeaderBytes, c.mesh.Memory)
	}
	if l.IdleTimeout > 0 && l.HeaderTimeout > l.IdleTimeout {
		c.add("limits", "header timeout", "%v is longer than the idle timeout of %v", l.HeaderTimeout, l.IdleTimeout)
	}
}

func (c *checker) checkService(v mesh.Service) {
	entry := fmt.Sprintf("service %q", v.ID)
	reached := slices.ContainsFunc(c.snapshot.Routes, func(r mesh.Route) bool { return slices.Contains(r.Services(), v.ID) })
	if !reached {
		c.add(entry, "", "no route leads to it")
	}
	if c.mesh.Upstreams != nil && c.mesh.Upstreams[v.ID].Upstreams == 0 && reached {
		c.add(entry, "", "it has no ready upstream; the calls of its routes are refused")
	}
	if (v.ColdRate > 0) != (v.ColdDuration > 0) {
		c.add(entry, "cold rate", "%v requests per second for %v: one without the other has no effect", v.ColdRate, v.ColdDuration)
	}
}

func (c *checker) checkAccount(a *mesh.Account) {
	entry := fmt.Sprintf("account %q", a.Name)
	if c.snapshot.KeyCount(a.Name) == 0 {
		c.add(entry, "keys", "it has no key; no request can be one of its requests")
	}
	if a.Rate == 0 && a.Burst > 0 {
		c.add(entry, "burst", "%v has no effect without a rate, which means no limit", a.Burst)
	}
	if a.Rate > 0 && a.Burst < 1 {
		c.add(entry, "burst", "%v is less than one request", a.Burst)
	}
	c.checkPriority(entry, a.Priority, a.HasPriority)
	c.checkRegions(entry, a.Regions)
	if rate, known := c.maxRate(); known && a.Rate > rate {
		c.add(entry, "rate", "%v requests per second are more than all upstreams can answer within the latency targets (%.0f)", a.Rate, rate)
	}
}

// maxRate estimates how many requests per second all upstreams can answer if each takes
// the shortest latency target of its service's routes.
func (c *checker) maxRate() (rate float64, known bool) {
	targets := map[mesh.ServiceID]time.Duration{}
	for i := range c.snapshot.Routes {
		r := &c.snapshot.Routes[i]
		for _, id := range r.Services() {
			if t, found := targets[id]; r.Target > 0 && (!found || r.Target < t) {
				targets[id] = r.Target
			}
		}
	}
	for id, capacity := range c.mesh.Upstreams {
		target, found := targets[id]
		if !found {
			return 0, false
		}
		rate += float64(capacity.Slots) / target.Seconds()
	}
	return rate, len(c.mesh.Upstreams) > 0
}

func (c *checker) checkRegions(entry string, list []mesh.Region) {
	if list != nil && len(list) == 0 {
		c.add(entry, "regions", "the list of allowed regions is empty; all its requests are refused")
	}
}

func (c *checker) checkPriority(entry string, priority int, set bool) {
	if set && (priority < 0 || priority >= mesh.PriorityLevels) {
		c.add(entry, "priority", "%d is treated as the nearest of 0 to %d", priority, mesh.PriorityLevels-1)
	}
}
