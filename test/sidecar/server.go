package sidecar

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"
)

// Server is a stand-in of a server beside a node.
type Server struct {
	*httptest.Server
	zone     string
	id       atomic.Value // string
	version  atomic.Value // string
	failing  atomic.Bool  // answers every second call with a failure
	born     atomic.Int64
	down     atomic.Bool  // has crashed
	poisoned atomic.Int64 // requests that crashed it
	state    atomic.Value // string
	paused   atomic.Bool  // sends no heartbeats
	workMS   atomic.Int64
	ran      atomic.Int64
	lastRan  atomic.Int64 // Unix time in ms
	acked    atomic.Int64 // Unix time in ms of the acknowledgement of draining
	sequence atomic.Int64
	ended    chan struct{}
	listener atomic.Pointer[net.Listener] // of the present start
	// OnRun is called for each request that runs; set before the first one.
	OnRun func(s *Server, r *http.Request)
}

func newServer(address, id, zone string) *Server {
	s := &Server{zone: zone, ended: make(chan struct{})}
	s.id.Store(id)
	s.version.Store("v1")
	s.born.Store(time.Now().UnixMilli())
	s.state.Store("ready")
	listener, err := net.Listen("tcp", address)
	if err != nil {
		panic(err)
	}
	s.Server = &httptest.Server{Listener: listener, Config: &http.Server{Handler: http.HandlerFunc(s.serve)}}
	s.listener.Store(&listener)
	s.Start()
	return s
}

func (s *Server) stop() {
	close(s.ended)
	s.CloseClientConnections()
	s.Close()
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", s.ID())
		if s.state.Load() != "ready" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != s.ID() {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if strings.HasSuffix(r.URL.Path, "/poison") {
		s.Crash()
		panic(http.ErrAbortHandler)
	}
	s.ran.Add(1)
	s.lastRan.Store(time.Now().UnixMilli())
	if s.OnRun != nil {
		s.OnRun(s, r)
	}
	fails := s.FailsNext()
	body, _ := io.ReadAll(r.Body)
	time.Sleep(time.Duration(s.workMS.Load()) * time.Millisecond)
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	w.Header().Set("Response-Signature", "s")
	w.Header().Set("X-Server", s.ID())
	w.Header().Set("X-Path", r.URL.Path)
	if fails {
		w.WriteHeader(http.StatusInternalServerError)
	}
	_, _ = w.Write(body)
}

// ID returns the id of the server's present start.
func (s *Server) ID() string { return s.id.Load().(string) }

// Set changes what the server says of its state: "ready" or "draining".
func (s *Server) Set(state string) { s.state.Store(state) }

// SetVersion changes the version of the server's software.
func (s *Server) SetVersion(v string) { s.version.Store(v) }

// Version returns the version of the server's software.
func (s *Server) Version() string { return s.version.Load().(string) }

// FailsNext reports whether the request that runs now will fail.
func (s *Server) FailsNext() bool { return s.failing.Load() && s.ran.Load()%2 == 0 }

// Fail makes the server answer every second call with a failure.
func (s *Server) Fail(failing bool) { s.failing.Store(failing) }

// Work sets the time that a request takes.
func (s *Server) Work(d time.Duration) { s.workMS.Store(d.Milliseconds()) }

// Ran returns the number of requests that have run.
func (s *Server) Ran() int64 { return s.ran.Load() }

// Acked returns when the node acknowledged that the server leaves; zero: not yet.
func (s *Server) Acked() time.Time {
	if ms := s.acked.Load(); ms != 0 {
		return time.UnixMilli(ms)
	}
	return time.Time{}
}

// Replace makes the server one of another id that has just started.
func (s *Server) Replace(id string) {
	s.id.Store(id)
	s.born.Store(time.Now().UnixMilli())
	s.sequence.Store(0)
	s.acked.Store(0)
	s.state.Store("ready")
}

// Crash ends the server with all that it runs; it comes back after a while.
func (s *Server) Crash() {
	s.poisoned.Add(1)
	s.down.Store(true)
	address := s.Listener.Addr().String()
	_ = (*s.listener.Load()).Close()
	s.CloseClientConnections()
	time.AfterFunc(1500*time.Millisecond, func() {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			panic(err)
		}
		s.listener.Store(&listener)
		s.born.Store(time.Now().UnixMilli())
		s.sequence.Store(0)
		s.down.Store(false)
		_ = s.Config.Serve(listener)
	})
}

// announce sends heartbeats until the server is stopped.
func (s *Server) announce(control string) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		if !s.paused.Load() && !s.down.Load() {
			s.beat(control)
		}
		select {
		case <-ticker.C:
		case <-s.ended:
			return
		}
	}
}

func (s *Server) beat(control string) {
	state := s.state.Load().(string)
	body, err := json.Marshal(map[string]any{
		"Address":     s.Listener.Addr().String(),
		"Information": map[string]any{"Service": Service, "Version": s.version.Load(), "Zone": s.zone, "Slots": 8},
		"Status":      map[string]any{"State": state, "Sequence": s.sequence.Add(1), "ColdRemainingS": 0},
		"born":        s.born.Load(),
	})
	if err != nil {
		panic(err)
	}
	answer, err := http.Post("http://"+control+"/instances/"+s.ID()+"/heartbeat", "application/json", bytes.NewReader(body))
	if err != nil {
		return // the node is down; the next heartbeat comes soon
	}
	_ = answer.Body.Close()
	if state == "draining" && answer.StatusCode == http.StatusOK {
		s.acked.CompareAndSwap(0, time.Now().UnixMilli())
	}
}
