package main

import (
	"fmt"
	"net/http"
	"time"

	"teaselring/measure/bench"
)

const (
	moveDuration    = 20 * time.Second
	moveTargetDelay = 3 * time.Minute // later than the end of the measurement
)

// measureMove measures the load of one move on all nodes without calls: the rows,
// the empty reports of evidence and the holder's lease.
func (m *mesh) measureMove() {
	oldNode, newNode := m.cluster.Nodes[0], m.cluster.Nodes[1]
	if len(m.upstreams) == 0 {
		m.upstreams = append(m.upstreams, m.cluster.H.StartUpstream("old-of-"+oldNode.Name, "service-0", "v1", oldNode.Announce))
	} else {
		m.upstreams[1].Kill()
	}
	m.upstreams = append(m.upstreams, m.cluster.H.StartUpstream("new-of-"+newNode.Name, "service-0", "v2", newNode.Announce))
	body := fmt.Sprintf(`{"id":"move-%s","service":"service-0","old":"v1","new":"v2","target":%q}`,
		oldNode.Name, time.Now().Add(moveTargetDelay).UTC().Format(time.RFC3339))
	m.cluster.H.WaitUntil("the move to be accepted", func() error {
		if status, response := m.cluster.SendOperatorRequest(oldNode, http.MethodPost, "/v1/moves", body); status != http.StatusOK {
			return fmt.Errorf("status %d: %s", status, response)
		}
		return nil
	})
	sleep(5 * time.Second)
	bench.Emit(m.measureUsage("one move in progress, no calls", moveDuration, func() {}))
}
