package main

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// strayCase: a server sends additional bytes after some of its answers, late, where the
// next answer on the connection is due. They look like a rejection, but bear no id. A
// request that must run once runs at that server, and they are taken for its answer.
func strayCase(s *scene) {
	const (
		host, prefix = "hulo84.example", "/xapu221/ny95/"
		service      = "wuno96b"
		phase        = 5 * time.Second // for_s of the disruption
	)
	s.configure(7, []string{service}, route("r-once", host, prefix, "non_idempotent", service, 1.5, 2))
	for _, zone := range []string{"cam-a", "cam-b", "cam-c", "cam-d"} {
		s.addMachine(zone, service, 120*time.Millisecond)
	}
	s.begin()
	if s.trouble {
		// x = 0.03 of the answers of half of the servers (share 0.5).
		for _, m := range s.machines[:2] {
			m.server.disturb(func(number int) bool { return number%34 == 4 })
		}
	}
	var mu sync.Mutex
	statuses := map[string]int{}
	every(20*time.Millisecond, time.Now().Add(phase), func(number int) {
		m, id := s.machines[number%len(s.machines)], attemptID()
		status := m.send(http.MethodPost, id, host, prefix+"2f", bytes.Repeat([]byte("box "), 75), 1500*time.Millisecond)
		mu.Lock()
		defer mu.Unlock()
		statuses[id] = status
	})
	time.Sleep(2 * time.Second)
	s.mu.Lock()
	runs := append([]run{}, s.runs...)
	s.mu.Unlock()
	seen := map[string]run{}
	for _, r := range runs {
		if first, again := seen[r.id]; again {
			s.breaks("TWICE: %s %s ran on %s and again on %s", r.method, r.id, first.server, r.server)
		}
		seen[r.id] = r
		if promisesNotRun(statuses[r.id]) {
			s.breaks("REFUSED: %s %s ran on %s, and its client got %d", r.method, r.id, r.server, statuses[r.id])
		}
	}
	s.record("%d runs of %d requests", len(runs), len(seen))
	if len(runs) < 100 {
		s.problem = fmt.Sprintf("only %d requests ran", len(runs))
	}
}

// promisesNotRun reports whether a status promises that the request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
