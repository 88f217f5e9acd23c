package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	slots             = 6
	queueLength       = 24
)

// run is a request that a server began to run.
type run struct {
	id, method, path, server, machine string
	bytes                             int
	at                                time.Time
}

// server is a stand-in for the application server beside a node. Each start of it is
// an incarnation with an id of its own.
type server struct {
	s       *scene
	m       *machine
	service string
	work    time.Duration
	// loseAnswer decides for a request that has run whether its answer is lost; nil:
	// never.
	loseAnswer func(number int) bool
	// crashes decides whether a request ends the server as it begins to run; nil: none.
	crashes func(r *http.Request) bool
	// onRun is called for each request that begins to run; it may be nil.
	onRun func(run)
	// addsBytes decides for a request, by its number, whether bytes that belong to no
	// request follow its answer, late; nil: never.
	addsBytes func(number int) bool

	mu       sync.Mutex
	listener *http.Server
	id       string
	version  string
	state    string // ready or draining; empty: it has left or is down
	born     int64  // Unix time in ms
	sequence int64
	starts   int
	running  int
	waiting  int
	count    int // requests that ran
	asked    int // requests
	slot     chan struct{}
	ackedAt  time.Time // acknowledgement of its leaving
}

func newServer(s *scene, m *machine, service string, work time.Duration) *server {
	return &server{s: s, m: m, service: service, work: work, version: "v1"}
}

// disturb sets the function that decides which answers are followed by other bytes.
func (v *server) disturb(addsBytes func(number int) bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.addsBytes, v.asked = addsBytes, 0
}

// kept is the state of a connection that may carry further requests.
type kept struct {
	conn net.Conn
	late bool // other bytes are to be sent where the next answer is due
}

type keptKey struct{}

// observe sets the function that is called for each request that begins to run.
func (v *server) observe(f func(run)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.onRun = f
}

// start starts an incarnation.
func (v *server) start() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.starts++
	v.id = fmt.Sprintf("i-%s-%d", v.m.name, v.starts)
	v.born, v.sequence, v.state, v.ackedAt = time.Now().UnixMilli(), 0, "ready", time.Time{}
	v.running, v.waiting, v.slot = 0, 0, make(chan struct{}, slots)
	listener, err := net.Listen("tcp", v.m.app)
	if err != nil {
		panic(err)
	}
	id := v.id
	h := &http.Server{
		IdleTimeout: 10 * time.Second,
		Handler:     http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { v.serve(id, w, r) }),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, keptKey{}, &kept{conn: c})
		},
	}
	v.listener = h
	go func() { _ = h.Serve(listener) }()
	go v.beat(id)
	v.s.record("%s: server %s starts", v.m.name, id)
}

// end ends the server at once, with all its connections.
func (v *server) end() {
	v.mu.Lock()
	h := v.listener
	v.listener, v.state = nil, ""
	v.mu.Unlock()
	if h != nil {
		_ = h.Close()
	}
}

func (v *server) serve(id string, w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Keep-Alive", "timeout=10")
	v.mu.Lock()
	state := v.state
	h.Set("Server-Load", fmt.Sprintf("%d,%d,%d", v.running, v.waiting, slots))
	v.mu.Unlock()
	if r.URL.Path == "/health" {
		h.Set("Instance-Id", id)
		if state != "ready" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	request := r.Header.Get("Attempt-Id")
	if request != "" {
		h.Set("Attempt-Id", request)
	}
	switch expected := r.Header.Get("Expected-Instance"); {
	case request == "":
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	case expected != "" && expected != id:
		h.Set("Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the body was cut: the request has not begun to run
	}
	k := r.Context().Value(keptKey{}).(*kept)
	if k.late {
		v.s.record("%s: server %s sends additional bytes on the connection of %s", v.m.name, id, request)
		_, _ = io.WriteString(k.conn, additionalBytes)
	}
	k.late = v.nextAddsBytes()
	deadline := time.Now().Add(time.Minute)
	if ms, err := strconv.Atoi(r.Header.Get("Deadline-Milliseconds")); err == nil {
		deadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	if !v.enter(deadline) {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer v.leaveSlot()
	v.mu.Lock()
	v.count++
	number := v.count
	v.mu.Unlock()
	one := run{id: request, method: r.Method, path: r.RequestURI, server: id, machine: v.m.name, bytes: len(body), at: time.Now()}
	v.s.addRun(one)
	v.mu.Lock()
	onRun := v.onRun
	v.mu.Unlock()
	if onRun != nil {
		onRun(one)
	}
	if v.crashes != nil && v.crashes(r) {
		v.s.record("%s: server %s crashes on %s", v.m.name, id, request)
		v.end()
		panic(http.ErrAbortHandler)
	}
	time.Sleep(min(v.work, time.Until(deadline)))
	h.Set("Response-Signature", "s."+id+"."+request)
	if time.Now().After(deadline) {
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	if v.loseAnswer != nil && v.loseAnswer(number) {
		v.s.record("%s: server %s ran %s %s, its answer is lost (the connection is reset)", v.m.name, id, r.Method, request)
		reset(w)
		return
	}
	_, _ = fmt.Fprintf(w, "%s by %s: %d bytes", request, id, len(body))
}

// additionalBytes belong to no request: they look like a rejection, but bear no id.
const additionalBytes = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"

// nextAddsBytes reports whether additional bytes follow the answer to the next request.
func (v *server) nextAddsBytes() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.asked++
	return v.addsBytes != nil && v.addsBytes(v.asked)
}

// reset resets the connection of a request.
func reset(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// enter waits for a slot. It reports false if the queue is full or the deadline passes.
func (v *server) enter(deadline time.Time) bool {
	v.mu.Lock()
	slot := v.slot
	if v.waiting >= queueLength {
		v.mu.Unlock()
		return false
	}
	v.waiting++
	v.mu.Unlock()
	entered := false
	select {
	case slot <- struct{}{}:
		entered = true
	case <-time.After(time.Until(deadline)):
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.waiting--
	if entered {
		v.running++
	}
	return entered
}

func (v *server) leaveSlot() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.running--
	<-v.slot
}

// beat sends heartbeats as long as the incarnation says of itself that it is ready or
// draining.
func (v *server) beat(id string) {
	for {
		body, state := v.heartbeat(id)
		if state == "" {
			return
		}
		if v.m.post("/instances/"+id+"/heartbeat", body) && state == "draining" {
			v.acknowledged("draining")
		}
		time.Sleep(heartbeatInterval)
	}
}

// heartbeat returns the next heartbeat, and the state in it: empty if the incarnation
// sends none.
func (v *server) heartbeat(id string) (body map[string]any, state string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.id != id || v.state == "" || v.state == "left" {
		return nil, ""
	}
	v.sequence++
	return map[string]any{
		"Address":     v.m.app,
		"Information": map[string]any{"Service": v.service, "Version": v.version, "Zone": v.m.zone, "Slots": slots},
		"Status":      map[string]any{"State": v.state, "Sequence": v.sequence, "ColdRemainingS": 0},
		"born":        v.born,
	}, v.state
}

func (v *server) acknowledged(what string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.ackedAt.IsZero() {
		v.ackedAt = time.Now()
		v.s.record("%s: the node has acknowledged (200) that server %s is %s", v.m.name, v.id, what)
	}
}

func (v *server) ackTime() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.ackedAt
}

// drain lets the server report draining, at once and with each heartbeat.
func (v *server) drain() {
	v.mu.Lock()
	v.state = "draining"
	id := v.id
	v.mu.Unlock()
	body, _ := v.heartbeat(id)
	if v.m.post("/instances/"+id+"/heartbeat", body) {
		v.acknowledged("draining")
	}
}

// leave sends the notice that the server leaves. It goes on serving.
func (v *server) leave() {
	v.mu.Lock()
	v.state = "left"
	id, born := v.id, v.born
	v.mu.Unlock()
	if v.m.post("/instances/"+id+"/leave", map[string]any{"born": born}) {
		v.acknowledged("leaving")
	}
}

var beats = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// post sends a message to the control address of the machine's node, and reports
// whether it was acknowledged within a second.
func (m *machine) post(path string, body any) bool {
	content, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	response, err := beats.Post("http://"+m.control+path, "application/json", bytes.NewReader(content))
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode/100 == 2
}
