package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	stoppedClients = 120
	stoppedBody    = 1_000_000 // bytes; 10 of them are not sent
	stoppedPart    = 20_000
	stoppedPace    = 20 * time.Millisecond // between two parts: 1 s for a body
	stoppedStay    = 9 * time.Second
	stoppedTime    = 40 * time.Second

	download        = 90_000 // bytes of an answer
	downloadCallers = 6
	downloadPause   = 200 * time.Millisecond
	downloadLimit   = 6 * time.Second // deadline of the callers
	allowedLosses   = 3
)

// stopShort sends an upload that ends just short of its end, and stays open until the node
// closes the connection or the client has waited for long.
func stopShort(n *node, stop <-chan struct{}) {
	part := strings.Repeat("u", stoppedPart)
	for wait(stop, 100*time.Millisecond) {
		conn, err := net.Dial("tcp", n.outbound)
		if err != nil {
			continue
		}
		_, err = fmt.Fprintf(conn, "POST /upload/x HTTP/1.1\r\nHost: %s\r\nAttempt-Id: stop%d\r\nDeadline-Milliseconds: 6000\r\nContent-Length: %d\r\n\r\n", host, sequence.Add(1), stoppedBody)
		for left := stoppedBody - 10; left > 0 && err == nil; left -= stoppedPart {
			_, err = io.WriteString(conn, part[:min(left, stoppedPart)])
			if !wait(stop, stoppedPace) {
				break
			}
		}
		if err == nil {
			_ = conn.SetReadDeadline(time.Now().Add(stoppedStay))
			_, _ = conn.Read(make([]byte, 1)) // an answer, the end of the connection or the time
		}
		_ = conn.Close()
	}
}

// passedOn records which requests servers have run to their end.
type passedOn struct{ ids sync.Map }

// losses counts how requests ended.
type losses struct {
	mu             sync.Mutex
	r              *record
	answered       int
	refused        int
	lost, lostRead int // closed by the node without a whole answer: run by a server, not run
}

// downloads sends one GET after the other on kept connections.
func downloads(n *node, p *passedOn, l *losses, stop <-chan struct{}) {
	for wait(stop, 10*time.Millisecond) {
		conn, err := net.Dial("tcp", n.outbound)
		if err != nil {
			continue
		}
		for reader := bufio.NewReader(conn); err == nil; {
			id := fmt.Sprintf("down%d", sequence.Add(1))
			var status int
			status, err = downloadOnce(conn, reader, id)
			l.add(n, p, id, status, err)
			if !wait(stop, downloadPause) {
				break
			}
		}
		_ = conn.Close()
	}
}

func downloadOnce(conn net.Conn, reader *bufio.Reader, id string) (status int, err error) {
	_ = conn.SetDeadline(time.Now().Add(downloadLimit))
	if _, err = fmt.Fprintf(conn, "GET /download/x HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Milliseconds: %d\r\n\r\n", host, id, downloadLimit.Milliseconds()); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	if err == nil && response.Close {
		err = io.EOF // the node says that it closes the connection
	}
	return response.StatusCode, err
}

func (l *losses) add(n *node, p *passedOn, id string, status int, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ran := p.ids.Load(id)
	switch {
	case status == http.StatusOK && (err == nil || err == io.EOF):
		l.answered++
	case status != 0:
		l.refused++
	case ran:
		if l.lost++; l.lost <= 10 {
			l.r.line("%s: %s was run by a server that answered it whole, and the node closed the connection: %v", n.name, id, err)
		}
	default:
		l.lostRead++
	}
}

// stoppedBodies lets a crowd of uploads stop short of their end at one node, whose ordinary
// callers download. LOST is broken if requests that were passed on to a server end with a
// closed connection.
func stoppedBodies(r *record, program, dir string, trouble bool) (bool, error) {
	p := new(passedOn)
	answer := strings.Repeat("d", download)
	prepare := func(s *server) {
		s.slots = 18
		s.serve = func(s *server, w http.ResponseWriter, q *http.Request) {
			if _, err := io.Copy(io.Discard, q.Body); err != nil {
				panic(http.ErrAbortHandler)
			}
			time.Sleep(210 * time.Millisecond)
			w.Header().Set("Response-Signature", "signed-by-"+s.id)
			w.Header().Set("Content-Length", fmt.Sprint(len(answer)))
			if _, err := io.WriteString(w, answer); err == nil {
				p.ids.Store(q.Header.Get("Attempt-Id"), true)
			}
		}
	}
	routes := []any{route("subida", "/upload/", "upload", 3, 0.8), route("recon-export", "/download/", "download", 3, 0.8)}
	m, err := newMesh(program, dir, 3, configuration(7, bodyLimit, nil, routes...), prepare)
	if err != nil {
		return false, err
	}
	n := m.nodes[0]
	l := &losses{r: r}
	stop := make(chan struct{})
	var running sync.WaitGroup
	var most atomic.Int64
	for range downloadCallers {
		running.Go(func() { downloads(n, p, l, stop) })
	}
	if trouble {
		r.line("%d clients of %s send uploads of %d bytes, stop 10 bytes short of the end and stay open", stoppedClients, n.name, stoppedBody)
		for range stoppedClients {
			running.Go(func() { stopShort(n, stop) })
		}
	}
	for end := time.Now().Add(stoppedTime); time.Now().Before(end); time.Sleep(watchInterval) {
		most.Store(max(most.Load(), int64(anonymousMB(n.command.Process.Pid))))
	}
	close(stop)
	running.Wait()
	r.line("downloads: %d answered whole, %d refused or failed with a status, %d run and lost, %d lost and not run; the node held %d MB at most",
		l.answered, l.refused, l.lost, l.lostRead, most.Load())
	return l.lost <= allowedLosses, nil
}
