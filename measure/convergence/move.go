package main

import (
	"fmt"
	"net/http"
	"time"

	"teaselring/measure/bench"
)

const (
	moveLength = 20 * time.Second
	moveTarget = 3 * time.Minute // later than the measurement ends
)

// moveInProgress measures what one move costs all nodes while no calls are
// made: the rows, the empty reports of evidence and the holder's lease.
func (m *mesh) moveInProgress() {
	old, fresh := m.cluster.Nodes[0], m.cluster.Nodes[1]
	if len(m.upstreams) == 0 {
		m.upstreams = append(m.upstreams, m.cluster.H.StartUpstream("old-of-"+old.Name, "service-0", "v1", old.Announce))
	} else {
		m.upstreams[1].Kill()
	}
	m.upstreams = append(m.upstreams, m.cluster.H.StartUpstream("new-of-"+fresh.Name, "service-0", "v2", fresh.Announce))
	body := fmt.Sprintf(`{"id":"move-%s","service":"service-0","old":"v1","new":"v2","target":%q}`,
		old.Name, time.Now().Add(moveTarget).UTC().Format(time.RFC3339))
	m.cluster.H.Until("the move to be accepted", func() error {
		if status, answer := m.cluster.Operate(old, http.MethodPost, "/v1/moves", body); status != http.StatusOK {
			return fmt.Errorf("status %d: %s", status, answer)
		}
		return nil
	})
	wait(5 * time.Second)
	bench.Emit(m.usage("one move in progress, no calls", moveLength, func() {}))
}
