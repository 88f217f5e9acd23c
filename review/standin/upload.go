package main

import (
	"bytes"
	"net/http"
	"time"
)

// uploadCase: servers lose the answers of some uploads that they ran. An upload may run
// once at most, whatever its method.
func uploadCase(s *scene) {
	const (
		host, prefix = "jepu9.example", "/fiti832/ti23/"
		service      = "gowu98c"
		phase        = 4 * time.Second // for_s of the disruption
		lostEvery    = 9               // x = 0.11 of the requests of half of the servers (share 0.5)
	)
	s.configure(7, []string{service}, route("r-upload", host, prefix, "upload", service, 1.5, 2))
	for _, zone := range []string{"cam-a", "cam-b", "cam-c", "cam-d"} {
		s.addMachine(zone, service, 150*time.Millisecond)
	}
	s.begin()
	if s.trouble {
		for _, m := range s.machines[:2] {
			m.server.loseAnswer = func(number int) bool { return number%lostEvery == 0 }
		}
	}
	body := bytes.Repeat([]byte("photo "), 10_000)
	every(30*time.Millisecond, time.Now().Add(phase), func(number int) {
		method := http.MethodPut
		if number%2 == 1 {
			method = http.MethodPost
		}
		m := s.machines[number/2%len(s.machines)]
		m.send(method, attemptID(), host, prefix+"2f", body, 1500*time.Millisecond)
	})
	time.Sleep(2 * time.Second)
	s.mu.Lock()
	runs := append([]run{}, s.runs...)
	s.mu.Unlock()
	seen := map[string]run{}
	total := map[string]int{}
	for _, r := range runs {
		total[r.method]++
		if first, again := seen[r.id]; again {
			s.breaks("TWICE: upload %s %s ran on %s and again on %s", r.method, r.id, first.server, r.server)
		}
		seen[r.id] = r
	}
	s.record("runs by method: %v", total)
	if len(runs) < 40 {
		s.problem = "too few uploads ran"
	}
}
