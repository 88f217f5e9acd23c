package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	doorClients = 1_700
	doorPause   = 200 * time.Millisecond
	doorTime    = 25 * time.Second
	newClients  = 10
	// stableWindow is StableWindowS; RECOVER speaks of that time without a new connection.
	stableWindow = 3 * time.Second
)

// noDescriptors is set if this process can't open the connections of the case.
var noDescriptors atomic.Bool

// askNothing sends GET for a path without a route on a kept connection, again and again.
func askNothing(n *node, stop <-chan struct{}) {
	for wait(stop, 100*time.Millisecond) {
		conn, err := net.Dial("tcp", n.outbound)
		if errors.Is(err, syscall.EMFILE) {
			noDescriptors.Store(true)
		}
		for reader := bufio.NewReader(conn); err == nil; {
			_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
			if _, err = fmt.Fprintf(conn, "GET /no/route HTTP/1.1\r\nHost: %s\r\nAttempt-Id: n%d\r\n\r\n", host, sequence.Add(1)); err != nil {
				break
			}
			var response *http.Response
			if response, err = http.ReadResponse(reader, nil); err == nil {
				_, err = io.Copy(io.Discard, response.Body)
			}
			if !wait(stop, doorPause) {
				break
			}
		}
		if conn != nil {
			_ = conn.Close()
		}
	}
}

// newCaller is an ordinary client that opens a connection for each request.
type newCaller struct {
	mu       sync.Mutex
	tried    int
	taken    int
	lastTime time.Time     // of the last new connection that was taken
	longest  time.Duration // without one
}

func (c *newCaller) run(n *node, stop <-chan struct{}) {
	for wait(stop, doorPause) {
		status, _, err := getPath(n, fmt.Sprintf("new%d", sequence.Add(1)), "/catalogo/x")
		if errors.Is(err, syscall.EMFILE) {
			noDescriptors.Store(true)
		}
		c.mu.Lock()
		c.tried++
		now := time.Now()
		c.longest = max(c.longest, now.Sub(c.lastTime))
		if status != 0 {
			c.taken++
			c.lastTime = now
		}
		c.mu.Unlock()
	}
}

// crowdAtDoor fills the door of one node with clients that ask for a path without a route.
func crowdAtDoor(r *record, program, dir string, trouble bool) (bool, error) {
	m, err := newMesh(program, dir, 3, configuration(7, bodyLimit, nil, route("catalogo", "/catalogo/", "idempotent", 1.2, 0.5)), nil)
	if err != nil {
		return false, err
	}
	n := m.nodes[0]
	stop := make(chan struct{})
	var running sync.WaitGroup
	if trouble {
		r.line("%d clients of %s ask for a path without a route, each on a kept connection every %v", doorClients, n.name, doorPause)
		for range doorClients {
			running.Go(func() { askNothing(n, stop) })
		}
		time.Sleep(5 * time.Second)
	}
	c := &newCaller{lastTime: time.Now()}
	for range newClients {
		running.Go(func() { c.run(n, stop) })
	}
	ready := 0
	for end := time.Now().Add(doorTime); time.Now().Before(end); time.Sleep(time.Second) {
		if n.awaitReady(500*time.Millisecond) == nil {
			ready++
		}
	}
	close(stop)
	running.Wait()
	r.line("%d ordinary clients opened %d connections, %d were answered; the longest time without one was %.1f s; the node said it is ready in %d of %.0f s",
		newClients, c.tried, c.taken, c.longest.Seconds(), ready, doorTime.Seconds())
	if noDescriptors.Load() {
		return false, fmt.Errorf("the limit on descriptors of this process is too low for %d connections", doorClients)
	}
	return c.longest <= stableWindow, nil
}
