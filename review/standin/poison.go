package main

import (
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// poisonCase: a request that crashes each server that begins to run it comes again and
// again, while the nodes are stopped and started in turn.
func poisonCase(s *scene) {
	const (
		host, prefix = "jepu9.example", "/lepu270/"
		oncePrefix   = "/xapu221/ny95/"
		service      = "huvo11a"
		downFor      = 3 * time.Second // until a crashed server is back
		interval     = 2 * time.Second // of the request
		gap          = 9 * time.Second // between two restarts
		allowed      = 3
	)
	s.configure(7, []string{service}, route("r-read", host, prefix, "idempotent", service, 1.2, 2),
		route("r-once", host, oncePrefix, "non_idempotent", service, 1.5, 2))
	for _, zone := range []string{"cam-a", "cam-b", "cam-c", "cam-d", "cam-a", "cam-b"} {
		s.addMachine(zone, service, 120*time.Millisecond)
	}
	type arrival struct {
		run
		counted bool
	}
	var arrivals []arrival
	for _, m := range s.machines {
		v := m.server
		v.crashes = func(r *http.Request) bool { return strings.HasSuffix(r.URL.Path, "/poison") }
		v.onRun = func(r run) {
			if !strings.HasSuffix(r.path, "/poison") {
				return
			}
			entry := s.entryOf(r.id)
			s.mu.Lock()
			a := arrival{run: r, counted: len(arrivals) >= 3 && r.at.Sub(arrivals[2].at) > stableWindow && m.inTouch(r.at) && entry.inTouch(r.at)}
			arrivals = append(arrivals, a)
			s.mu.Unlock()
			s.record("%s: crash %d; it counts: %v", m.name, len(arrivals), a.counted)
			time.AfterFunc(downFor, v.start)
		}
	}
	s.begin()
	end := time.Now().Add(10*time.Second + time.Duration(len(s.machines))*gap + 6*time.Second)
	done := make(chan struct{}, 2)
	var lost atomic.Int64 // requests of others that ran on a server when it crashed
	go func() {
		every(interval, end, func(number int) {
			m := s.machines[number%len(s.machines)]
			id := attemptID()
			s.setEntry(id, m)
			m.send(http.MethodGet, id, host, prefix+"poison", nil, 1200*time.Millisecond)
		})
		done <- struct{}{}
	}()
	go func() {
		every(30*time.Millisecond, end, func(number int) {
			m := s.machines[number%len(s.machines)]
			if m.isDown() {
				return // its clients are elsewhere
			}
			status := m.send(http.MethodPost, attemptID(), host, oncePrefix+"2f", []byte("box"), 1500*time.Millisecond)
			if status == http.StatusBadGateway {
				lost.Add(1)
			}
		})
		done <- struct{}{}
	}()
	time.Sleep(10 * time.Second)
	if s.trouble {
		for _, m := range s.machines {
			begun := time.Now()
			m.restart(syscall.SIGTERM, 6*time.Second)
			time.Sleep(gap - time.Since(begun))
		}
	}
	<-done
	<-done
	counted := 0
	for _, a := range arrivals {
		if a.counted {
			counted++
		}
	}
	s.record("%d crashes, %d of them count; %d requests of other clients got 502", len(arrivals), counted, lost.Load())
	if len(arrivals) < 2 {
		s.problem = "the request crashed no servers"
	}
	if counted > allowed {
		s.breaks("BUDGET: a request that crashes servers reached servers %d times later than StableWindowS after the third crash", counted)
	}
}
