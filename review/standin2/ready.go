package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	readyClients = 220
	readyPause   = 150 * time.Millisecond
	readyTime    = 30 * time.Second
)

// askReady asks the question of the platform on a kept connection, again and again.
func askReady(n *node, stop <-chan struct{}) {
	for wait(stop, 100*time.Millisecond) {
		conn, err := net.Dial("tcp", n.ready)
		for reader := bufio.NewReader(conn); err == nil; {
			_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
			if _, err = fmt.Fprintf(conn, "GET /readiness HTTP/1.1\r\nHost: %s\r\n\r\n", n.ready); err != nil {
				break
			}
			var response *http.Response
			if response, err = http.ReadResponse(reader, nil); err == nil {
				_, err = io.Copy(io.Discard, response.Body)
			}
			if !wait(stop, readyPause) {
				break
			}
		}
		if conn != nil {
			_ = conn.Close()
		}
	}
}

// crowdAtReady lets a crowd ask whether one node is ready while the platform asks all nodes
// once a second.
func crowdAtReady(r *record, program, dir string, trouble bool) (bool, error) {
	m, err := newMesh(program, dir, 3, configuration(7, bodyLimit, nil, route("catalogo", "/catalogo/", "idempotent", 1.2, 0.5)), nil)
	if err != nil {
		return false, err
	}
	n := m.nodes[0]
	stop := make(chan struct{})
	var running sync.WaitGroup
	if trouble {
		r.line("%d clients ask %s whether it is ready, each on a kept connection every %v", readyClients, n.name, readyPause)
		for range readyClients {
			running.Go(func() { askReady(n, stop) })
		}
	}
	time.Sleep(2 * time.Second)
	asked, out := 0, 0
	var mu sync.Mutex
	for _, other := range m.nodes {
		running.Go(func() {
			seconds, missed := other.poll(r)
			mu.Lock()
			defer mu.Unlock()
			asked, out = asked+seconds, out+missed
			r.line("%s: of %d s it did not count as ready for %d s", other.name, seconds, missed)
		})
	}
	time.Sleep(readyTime)
	close(stop)
	running.Wait()
	r.line("all nodes: not ready for %d of %d s; allowed is an eighth", out, asked)
	return 8*out <= asked, nil
}

// poll asks the platform's question once a second, on a new connection, and counts the
// seconds after two questions in a row without a 200.
func (n *node) poll(r *record) (seconds, out int) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	row := 0
	for end := time.Now().Add(readyTime); time.Now().Before(end); time.Sleep(time.Second) {
		seconds++
		response, err := client.Get("http://" + n.ready + "/readiness")
		if err == nil {
			_ = response.Body.Close()
		}
		if err == nil && response.StatusCode == http.StatusOK {
			row = 0
			continue
		}
		if row++; row >= 2 {
			out++
		}
		if row <= 3 {
			r.line("%s: the platform's question has no 200: %v", n.name, err)
		}
	}
	return seconds, out
}
