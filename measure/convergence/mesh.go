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

// serviceCount is the number of services at design scale. It is the same at every
// size, so the size of a version does not depend on the number of nodes.
const serviceCount = 45

// mesh is a cluster of one size.
type mesh struct {
	cluster      *harness.Cluster
	logs         []*nodeLog
	upstreams    []harness.Upstream
	publications int // count of publications so far
}

func startMesh(h *harness.Harness, size int) *mesh {
	var names []string
	for i := range size {
		names = append(names, fmt.Sprintf("of%d-n%d", size, i))
	}
	m := &mesh{cluster: harness.NewCluster(h, zones, names...)}
	started := time.Now()
	m.cluster.Start()
	for i, n := range m.cluster.Nodes {
		m.logs = append(m.logs, &nodeLog{path: h.Dir() + "/" + n.Name + ".log"})
		if size <= *upstreams {
			m.upstreams = append(m.upstreams, h.StartUpstream("upstream-of-"+n.Name,
				fmt.Sprintf("service-%d", i%serviceCount), "v1", n.Announce))
		}
	}
	bench.Publish(m.cluster, m.nextPublication(), allRecords())
	m.cluster.WaitReady()
	m.waitMembers(size)
	bench.Emit(map[string]any{"kind": "start", "nodes": size, "seconds_to_all_ready_and_known": bench.Round(time.Since(started).Seconds(), 2)})
	sleep(*settle)
	return m
}

// waitMembers waits until every node's view has the given number of alive members.
func (m *mesh) waitMembers(alive int) {
	for _, n := range m.cluster.Nodes {
		m.cluster.H.WaitUntil(fmt.Sprintf("%d members at %s", alive, n.Name), func() error {
			if count := bench.Metrics(n)["members.alive"]; int(count) != alive {
				return fmt.Errorf("%v members alive", count)
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

func (m *mesh) nextPublication() string {
	m.publications++
	return fmt.Sprintf("%s-%d", m.cluster.Nodes[0].Name, m.publications)
}

// allRecords returns the records of all services, with three routes each.
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

// acceptedChange is a change that the system accepted.
type acceptedChange struct {
	version uint64
	sentAt  time.Time // the operator sent the request
	at      time.Time // the operator received the response
}

// applyChange changes one record through the given node.
func (m *mesh) applyChange(n *harness.Node) (acceptedChange, error) {
	records := serviceRecord(m.publications%serviceCount, 17+m.publications%100)
	a := acceptedChange{sentAt: time.Now()}
	status, body := m.cluster.Apply(n, m.nextPublication(), records)
	a.at = time.Now()
	if status != http.StatusOK {
		return a, errors.New(body)
	}
	var response struct {
		Version uint64 `json:"version"`
	}
	err := json.Unmarshal([]byte(body), &response)
	a.version = response.Version
	return a, err
}
