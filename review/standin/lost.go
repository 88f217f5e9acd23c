package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// lostCase: most machines of a zone are lost for good, without a SIGTERM, so that their
// rows stay in the store and their addresses don't answer. The others, which nothing
// disturbs, must have each configuration in force within ConfigApplyS.
func lostCase(s *scene) {
	const (
		host, service = "jepu9.example", "huvo11a"
		machines      = 18 // of one zone of the grown deployment
		survivors     = 2
		configBound   = 2500 * time.Millisecond // ConfigApplyS of the grown site
		phase         = 65 * time.Second
	)
	s.grown = true
	routes := []map[string]any{route("r-0", host, "/c0/", "idempotent", service, 1.2, 2)}
	s.configure(7, []string{service}, routes...)
	for range machines {
		s.addMachine("cam-b", service, 5*time.Millisecond)
	}
	s.begin()
	if s.trouble {
		for _, m := range s.machines[survivors:] {
			<-m.signal(syscall.SIGKILL)
			m.server.end()
			silence(m.inbound)
		}
		s.record("%d of %d machines of the zone are lost", machines-survivors, machines)
	}
	var polls sync.WaitGroup
	begun := time.Now()
	for v := 1; time.Since(begun) < phase; v++ {
		prefix := fmt.Sprintf("/c%d/", v)
		routes = append(routes, route(fmt.Sprintf("r-%d", v), host, prefix, "idempotent", service, 1.2, 2))
		s.configure(7+v, []string{service}, routes...)
		acked := time.Now()
		for _, m := range s.machines[:survivors] {
			polls.Go(func() {
				var sent time.Time
				for status := http.StatusNotFound; status == http.StatusNotFound; time.Sleep(50 * time.Millisecond) {
					sent = time.Now()
					status = m.send(http.MethodGet, attemptID(), host, prefix+"2f", nil, 1200*time.Millisecond)
					if late := sent.Sub(acked); status == http.StatusNotFound && late > configBound {
						s.breaks("CONFIG: %s answered 404 on a route %.2f s after the acknowledgement of r%d", m.name, late.Seconds(), 7+v)
					}
				}
				s.record("%s: r%d in force %.2f s after its acknowledgement, %.1f s after the loss", m.name, 7+v, sent.Sub(acked).Seconds(), acked.Sub(begun).Seconds())
			})
		}
		time.Sleep(1500 * time.Millisecond)
	}
	polls.Wait()
}

// silence takes an address whose process has ended, so that nothing answers there: the
// queue of new connections is full, and further ones are dropped.
func silence(address string) {
	a, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		panic(err)
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		panic(err)
	}
	_ = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	target := &syscall.SockaddrInet4{Port: a.Port}
	copy(target.Addr[:], a.IP.To4())
	if err := syscall.Bind(fd, target); err != nil {
		panic(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		panic(err)
	}
	for full := false; !full; { // until a connection gets no answer
		_, err := net.DialTimeout("tcp", address, 20*time.Millisecond)
		full = err != nil
	}
}
