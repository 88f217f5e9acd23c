package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	crowdPerMachine = 100 // connections
	crowdTime       = 60 * time.Second
	memoryMB        = 284 // MemoryMb of the settings
	longID          = 15_600
	watchInterval   = 50 * time.Millisecond
	// A rule speaks of machines whose processes end by themselves three times, two at least.
	endsOfMachine, machinesWithEnds = 3, 2
)

// anonymousMB returns the memory of a process without the pages of its files.
func anonymousMB(pid int) int {
	content, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, line := range strings.Split(string(content), "\n") {
		if text, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(text), " kB"))
			return kb / 1024
		}
	}
	return 0
}

// watched is a node whose memory the platform watches.
type watched struct {
	ends, most int
}

// watch kills the node's process when it holds more than its memory, and starts it again
// after a short delay, as DEPLOY.md says, until stop is closed.
func (w *watched) watch(r *record, m *mesh, n *node, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(watchInterval):
		}
		used := anonymousMB(n.command.Process.Pid)
		w.most = max(w.most, used)
		if used <= memoryMB {
			continue
		}
		_ = n.command.Process.Kill()
		_ = n.command.Wait()
		w.ends++
		r.line("%s holds %d MB of its %d: the platform kills it", n.name, used, memoryMB)
		time.Sleep(500 * time.Millisecond)
		if err := m.start(n, false); err != nil {
			r.line("%s can't be started again: %v", n.name, err)
			return
		}
	}
}

// caller sends one GET after the other on a kept connection, whatever the answers are.
type caller struct {
	prefix string // of the ids
	pause  time.Duration
	counts *answers
}

// answers counts by status; 0: none.
type answers struct {
	mu     sync.Mutex
	status map[int]int
}

func (a *answers) add(status int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.status == nil {
		a.status = map[int]int{}
	}
	a.status[status]++
}

func (a *answers) String() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return fmt.Sprint(a.status)
}

var sequence atomic.Int64

func (c *caller) run(n *node, stop <-chan struct{}) {
	for {
		conn, err := net.Dial("tcp", n.outbound)
		for reader := bufio.NewReader(conn); err == nil; {
			err = c.call(conn, reader)
			if !wait(stop, c.pause) {
				_ = conn.Close()
				return
			}
		}
		if conn != nil {
			_ = conn.Close()
		}
		if !wait(stop, 20*time.Millisecond) {
			return
		}
	}
}

func (c *caller) call(conn net.Conn, reader *bufio.Reader) error {
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	_, err := fmt.Fprintf(conn, "GET /catalogo/x HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s%d\r\nDeadline-Milliseconds: 1200\r\n\r\n", host, c.prefix, sequence.Add(1))
	if err != nil {
		return err
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		c.counts.add(0)
		return err
	}
	_, err = io.Copy(io.Discard, response.Body)
	c.counts.add(response.StatusCode)
	return err
}

// wait returns false once stop is closed.
func wait(stop <-chan struct{}, d time.Duration) bool {
	select {
	case <-stop:
		return false
	case <-time.After(d):
		return true
	}
}

// longIDs lets a crowd of clients repeat at once. With the disruption, their ids are long
// and their heads still legal in size.
func longIDs(r *record, program, dir string, trouble bool) (bool, error) {
	prepare := func(s *server) { s.work = func(string) time.Duration { return 160 * time.Millisecond } }
	m, err := newMesh(program, dir, 3, configuration(7, bodyLimit, nil, route("catalogo", "/catalogo/", "idempotent", 1.2, 0.5)), prepare)
	if err != nil {
		return false, err
	}
	crowd := caller{prefix: "c", counts: new(answers)}
	if trouble {
		crowd.prefix = strings.Repeat("c", longID)
	}
	ordinary := caller{prefix: "o", pause: time.Second, counts: new(answers)}
	r.line("%d clients on each machine send GET with ids of %d characters, one after the other; HeaderBytes is 16384", crowdPerMachine, len(crowd.prefix)+8)
	stop := make(chan struct{})
	var running sync.WaitGroup
	states := make([]watched, len(m.nodes))
	for i, n := range m.nodes {
		running.Go(func() { states[i].watch(r, m, n, stop) })
		running.Go(func() { ordinary.run(n, stop) })
		for range crowdPerMachine {
			running.Go(func() { crowd.run(n, stop) })
		}
	}
	time.Sleep(crowdTime)
	close(stop)
	running.Wait()
	machines := 0
	for i, n := range m.nodes {
		r.line("%s: %d MB at most, ended %d times", n.name, states[i].most, states[i].ends)
		if states[i].ends >= endsOfMachine {
			machines++
		}
	}
	r.line("answers to the crowd by status (0: none): %v; to ordinary callers: %v", crowd.counts, ordinary.counts)
	r.line("machines whose process ended %d times or more: %d", endsOfMachine, machines)
	return machines < machinesWithEnds, nil
}
