package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"teaselring/measure/bench"
	"teaselring/test/harness"
)

const (
	zones             = 4
	serversPerService = 4 // servers, one in each zone
)

var services = []string{"shop", "billing", "photos"}

// mesh is a cluster of one size. Node i is in zone i mod 4, beside an upstream
// of service i / 4.
type mesh struct {
	slots     int
	cluster   *harness.Cluster
	upstreams []harness.Upstream
	process   map[string]int // index of the upstream by the process id in its responses
}

func startMesh(h *harness.Harness, slots int) *mesh {
	var names []string
	for i := range zones * len(services) {
		names = append(names, fmt.Sprintf("slots%d-n%d", slots, i))
	}
	m := &mesh{slots: slots, cluster: harness.NewCluster(h, zones, names...), process: map[string]int{}}
	m.cluster.Start()
	for i, n := range m.cluster.Nodes {
		m.upstreams = append(m.upstreams, h.StartUpstream("upstream-of-"+n.Name, services[i/serversPerService], "v1",
			n.Announce, "-slots", strconv.Itoa(slots)))
	}
	m.applyRecords()
	m.cluster.WaitReady()
	for i, u := range m.upstreams {
		r := request{method: http.MethodGet, url: "http://" + u.Address + "/process"}.send(time.Now())
		m.process[r.process] = i
	}
	return m
}

// applyRecords publishes the records and waits until every node serves all
// services.
func (m *mesh) applyRecords() {
	bench.Publish(m.cluster, "measure", m.records())
	for _, n := range m.cluster.Nodes {
		m.cluster.H.WaitUntil("calls and members at "+n.Name, func() error {
			if alive := bench.Metrics(n)["members.alive"]; int(alive) != len(m.cluster.Nodes) {
				return fmt.Errorf("%v members alive", alive)
			}
			for _, service := range services {
				r := request{method: http.MethodGet, url: "http://" + n.Callers + "/" + service + "/read"}.send(time.Now())
				if r.status != http.StatusOK {
					return fmt.Errorf("status %d, code %s, %v", r.status, r.code, r.err)
				}
			}
			return nil
		})
	}
}

// timeouts are those of the routes, by class. A response after the timeout is
// not useful.
var timeouts = map[string]time.Duration{"read": time.Second, "upload": 5 * time.Second, "once": 5 * time.Second}

func (m *mesh) records() string {
	text := ""
	for _, service := range services {
		text += fmt.Sprintf("[[record]]\nkind = \"service\"\nid = %q\nschema = 1\nslots = %d\nqueue = %d\n",
			service, m.slots, m.slots)
		for class, timeout := range timeouts {
			text += routeRecord(service, class, "/"+service+"/"+class, timeout)
		}
	}
	return text + routeRecord(services[0], "upload", "/digest", time.Minute) + routeRecord(services[0], "read", "/stream", time.Minute)
}

func routeRecord(service, class, prefix string, timeout time.Duration) string {
	return fmt.Sprintf("[[record]]\nkind = \"route\"\nid = %q\nschema = 2\npath_prefix = %q\nservice = %q\nclass = %q\ntimeout = %q\n",
		strings.ReplaceAll(prefix[1:], "/", "-"), prefix, service, class, timeout)
}

func (m *mesh) stop() {
	for _, u := range m.upstreams {
		u.Kill()
	}
	for _, n := range m.cluster.Nodes {
		n.Kill()
	}
	m.cluster.Platform.Kill()
}

// setServiceTime sets the time that each upstream takes for a call.
func (m *mesh) setServiceTime(d time.Duration) {
	for _, u := range m.upstreams {
		u.Control(map[string]any{"service_ms": d.Milliseconds()})
	}
}
