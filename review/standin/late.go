package main

import (
	"net/http"
	"syscall"
	"time"
)

// lateCase: a server that never reports draining leaves; its node is killed and starts
// again; a heartbeat that the server sent before it left arrives late. The
// acknowledgement of the leave binds the node also after its restart.
func lateCase(s *scene) {
	const (
		host, prefix = "jepu9.example", "/lepu270/"
		service      = "huvo11a"
		lateBy       = 2500 * time.Millisecond
		servesOn     = 12 * time.Second
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
		every(10*time.Millisecond, time.Now().Add(servesOn+2*time.Second), func(number int) {
			s.machines[1+number%3].send(http.MethodGet, attemptID(), host, prefix+"2f", nil, 1200*time.Millisecond)
		})
	}()
	time.Sleep(2 * time.Second)
	v := leaving.server
	id := v.id
	late, _ := v.heartbeat(id)
	s.record("%s: server %s sends heartbeat %v (ready); it will arrive %v late", leaving.name, id, v.sequence, lateBy)
	time.AfterFunc(lateBy, func() {
		ok := leaving.post("/instances/"+id+"/heartbeat", late)
		s.record("%s: the late heartbeat of server %s has arrived; acknowledged: %v", leaving.name, id, ok)
	})
	time.Sleep(100 * time.Millisecond)
	v.leave()
	if v.ackTime().IsZero() {
		s.problem = "the leave was not acknowledged"
		return
	}
	v.observe(func(r run) {
		if since := r.at.Sub(v.ackTime()); since > drainBound && leaving.inTouch(r.at) {
			s.breaks("DRAIN: %s reached server %s %.2f s after the acknowledgement that it leaves", r.id, r.server, since.Seconds())
		}
	})
	time.Sleep(500 * time.Millisecond)
	if s.trouble {
		leaving.restart(syscall.SIGKILL, time.Second)
	}
	time.Sleep(servesOn - 500*time.Millisecond)
	v.end()
	<-done
}
