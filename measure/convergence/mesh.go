package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"teaselring/measure/bench"
	"teaselring/test/harness"
)

const zones = 4

// serviceCount is that of the design scale, at every size: the size of a
// version does not change with the number of nodes.
const serviceCount = 45

// mesh is the cluster of one size.
type mesh struct {
	cluster   *harness.Cluster
	logs      []*nodeLog
	upstreams []harness.Upstream
	applied   int // publications so far
}

func startMesh(h *harness.Harness, size int) *mesh {
	var names []string
	for i := range size {
		names = append(names, fmt.Sprintf("of%d-n%d", size, i))
	}
	m := &mesh{cluster: harness.NewCluster(h, zones, names...)}
	began := time.Now()
	m.cluster.Start()
	for i, n := range m.cluster.Nodes {
		m.logs = append(m.logs, &nodeLog{path: h.Dir() + "/" + n.Name + ".log"})
		if size <= *upstreams {
			m.upstreams = append(m.upstreams, h.StartUpstream("upstream-of-"+n.Name,
				fmt.Sprintf("service-%d", i%serviceCount), "v1", n.Announce))
		}
	}
	bench.Publish(m.cluster, m.publication(), allRecords())
	m.cluster.WaitReady()
	m.waitMembers(size)
	bench.Emit(map[string]any{"kind": "start", "nodes": size, "seconds_to_all_ready_and_known": bench.Round(time.Since(began).Seconds(), 2)})
	wait(*settle)
	return m
}

// waitMembers waits until every node sees so many others alive.
func (m *mesh) waitMembers(alive int) {
	for _, n := range m.cluster.Nodes {
		m.cluster.H.Until(fmt.Sprintf("%d members at %s", alive, n.Name), func() error {
			if seen := bench.Metrics(n)["members.alive"]; int(seen) != alive {
				return fmt.Errorf("%v members alive", seen)
			}
			return nil
		})
	}
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

func (m *mesh) publication() string {
	m.applied++
	return fmt.Sprintf("%s-%d", m.cluster.Nodes[0].Name, m.applied)
}

// allRecords are three routes for each service.
func allRecords() string {
	text := ""
	for i := range serviceCount {
		text += serviceRecord(i, 16)
		for _, class := range []string{"read", "upload", "once"} {
			text += fmt.Sprintf("[[record]]\nkind = \"route\"\nid = \"service-%d-%s\"\nschema = 2\npath_prefix = \"/service-%d/%s\"\nservice = \"service-%d\"\nclass = %q\ntimeout = \"2s\"\n",
				i, class, i, class, i, class)
		}
	}
	return text
}

func serviceRecord(i, queue int) string {
	return fmt.Sprintf("[[record]]\nkind = \"service\"\nid = \"service-%d\"\nschema = 1\nslots = 6\nqueue = %d\n", i, queue)
}

// accepted is a change that the system accepted.
type accepted struct {
	version uint64
	sent    time.Time // by the operator
	at      time.Time // the operator had the answer
}

// apply changes one record through one node.
func (m *mesh) apply(n *harness.Node) (accepted, error) {
	records := serviceRecord(m.applied%serviceCount, 17+m.applied%100)
	a := accepted{sent: time.Now()}
	status, body := m.cluster.Apply(n, m.publication(), records)
	a.at = time.Now()
	if status != http.StatusOK {
		return a, errors.New(body)
	}
	var answer struct {
		Version uint64 `json:"version"`
	}
	err := json.Unmarshal([]byte(body), &answer)
	a.version = answer.Version
	return a, err
}
