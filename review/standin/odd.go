package main

import (
	"net/http"
	"time"
)

// oddCase: another writer sends one heartbeat that lacks fields, the server's address
// among them. It names no server to use, and what the server says of itself holds.
func oddCase(s *scene) {
	const (
		host, prefix = "jepu9.example", "/lepu270/"
		service      = "huvo11a"
		servesOn     = 8 * time.Second
	)
	s.configure(7, []string{service}, route("r-read", host, prefix, "idempotent", service, 1.2, 2))
	for _, zone := range []string{"cam-a", "cam-a", "cam-a", "cam-b"} {
		s.addMachine(zone, service, 40*time.Millisecond)
	}
	s.begin()
	leaving := s.machines[0]
	done := make(chan struct{})
	go func() {
		defer close(done)
		every(10*time.Millisecond, time.Now().Add(servesOn+6*time.Second), func(number int) {
			s.machines[1+number%3].send(http.MethodGet, attemptID(), host, prefix+"2f", nil, 1200*time.Millisecond)
		})
	}()
	time.Sleep(2 * time.Second)
	v := leaving.server
	if s.trouble {
		ok := leaving.post("/instances/"+v.id+"/heartbeat", map[string]any{
			"Information": map[string]any{"Service": service, "Version": "v1", "Zone": leaving.zone, "Slots": slots},
			"Status":      map[string]any{"State": "ready", "Sequence": 1},
			"born":        time.Now().UnixMilli(),
		})
		s.record("%s: a heartbeat without an address came from another writer; acknowledged: %v", leaving.name, ok)
	}
	time.Sleep(2 * time.Second)
	v.drain()
	for end := time.Now().Add(3 * time.Second); v.ackTime().IsZero(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			s.problem = "draining was not acknowledged"
			return
		}
	}
	v.observe(func(r run) {
		if since := r.at.Sub(v.ackTime()); since > drainBound {
			s.breaks("DRAIN: %s reached server %s %.2f s after the acknowledgement that it drains", r.id, r.server, since.Seconds())
		}
	})
	time.Sleep(servesOn)
	v.leave()
	v.end()
	<-done
}
