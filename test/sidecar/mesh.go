package sidecar

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"teaselring/test/harness"
)

// Machine is one machine of the platform: a sidecar process and its server.
type Machine struct {
	*harness.Process
	mesh     *Mesh
	name     string
	settings string // path of the settings file
	Address  struct{ Inbound, Outbound, Ready, Control string }
	Server   *Server
}

// Mesh is a store and some machines of one service.
type Mesh struct {
	h        *harness.Harness
	Store    *Store
	Machines []*Machine
	requests atomic.Int64
}

const (
	service   = "stock"
	heartbeat = 300 * time.Millisecond
)

// NewMesh starts a store with a configuration and machines in one zone.
func NewMesh(h *harness.Harness, machines int) *Mesh {
	m := &Mesh{h: h, Store: NewStore()}
	m.Configure(1, "/read/")
	for i := range machines {
		m.Machines = append(m.Machines, m.start(fmt.Sprintf("m%d", i)))
	}
	for _, machine := range m.Machines {
		h.Until(machine.name+" ready", machine.ready)
	}
	h.Until("every node knows every server", func() error { return m.allReached("/read/") })
	return m
}

// Configure writes a configuration whose idempotent route has a prefix.
func (m *Mesh) Configure(version int, prefix string) {
	route := func(name, prefix, kind string) map[string]any {
		return map[string]any{
			"Name": name, "Host": "shop.example", "Prefix": prefix, "Kind": kind, "TimeoutS": 4.0, "TargetLatencyS": 1.0,
			"Priority": 1, "Service": service, "MaxAttempts": 2,
		}
	}
	m.Store.Put("op", "config", map[string]any{
		"Version":  "r" + strconv.Itoa(version),
		"Routes":   []any{route("read", prefix, "idempotent"), route("once", "/once/", "non_idempotent")},
		"Services": []any{map[string]any{"Name": service, "HealthPath": "/health", "ConnectionLimit": 100}},
		"Limits":   map[string]any{"HeaderBytes": 16384, "BodyBytes": 1 << 24, "HeaderTimeoutS": 3, "IdleTimeoutS": 15},
	})
}

func (m *Mesh) start(name string) *Machine {
	machine := &Machine{mesh: m, name: name, Server: newServer("i-" + name)}
	a := &machine.Address
	a.Inbound, a.Outbound, a.Ready, a.Control = m.h.FreeAddress(), m.h.FreeAddress(), m.h.FreeAddress(), m.h.FreeAddress()
	settings, err := json.Marshal(map[string]any{
		"NodeName": name, "Zone": "z", "Region": "r", "Service": service, "AppAddress": machine.Server.Listener.Addr().String(),
		"HeartbeatIntervalS": heartbeat.Seconds(), "Bounds": map[string]any{"DrainS": 2, "GracePeriodS": 6},
		"ListenAddresses": map[string]any{"Inbound": a.Inbound, "Outbound": a.Outbound, "Ready": a.Ready, "Control": a.Control},
		"Platform":        map[string]any{"Address": m.Store.Listener.Addr().String()},
	})
	if err != nil {
		panic(err)
	}
	machine.settings = filepath.Join(m.h.Dir(), name+".json")
	if err := os.WriteFile(machine.settings, settings, 0o600); err != nil {
		panic(err)
	}
	machine.Process = m.h.StartWith([]string{"TEASELRING_BOOT=" + machine.settings}, name, "teasel-sidecar", "run")
	go machine.Server.announce(a.Control)
	return machine
}

// Stop ends the servers and the store. The processes end with the test.
func (m *Mesh) Stop() {
	for _, machine := range m.Machines {
		machine.Server.stop()
	}
	m.Store.Stop()
}

func (m *Machine) ready() error {
	answer, err := http.Get("http://" + m.Address.Ready + "/readiness")
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(answer.Body)
		return fmt.Errorf("status %d: %s", answer.StatusCode, body)
	}
	return nil
}

// Answer is what a client saw.
type Answer struct {
	Status int
	Server string // that answered
	Body   string
	Header http.Header
}

// Call sends a request to the machine's node as its clients do.
func (m *Machine) Call(method, path, body string) (Answer, error) {
	r, err := http.NewRequest(method, "http://"+m.Address.Outbound+path, bytes.NewBufferString(body))
	if err != nil {
		return Answer{}, err
	}
	r.Host = "shop.example"
	r.Header.Set("Attempt-Id", strconv.FormatInt(m.mesh.requests.Add(1), 16))
	r.Header.Set("Deadline-Milliseconds", "4000")
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = answer.Body.Close() }()
	content, err := io.ReadAll(answer.Body)
	return Answer{answer.StatusCode, answer.Header.Get("X-Server"), string(content), answer.Header}, err
}

// allReached reports whether each node has sent a call to each server.
func (m *Mesh) allReached(path string) error {
	for _, machine := range m.Machines {
		seen := map[string]bool{}
		for range 60 {
			if a, err := machine.Call(http.MethodGet, path+"x", ""); err == nil && a.Status == http.StatusOK {
				seen[a.Server] = true
			}
		}
		if len(seen) < len(m.Machines) {
			return fmt.Errorf("%s reaches %v", machine.name, seen)
		}
	}
	return nil
}

// Server is a stand-in of a server beside a node.
type Server struct {
	*httptest.Server
	id       string
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
}

func newServer(id string) *Server {
	s := &Server{id: id, ended: make(chan struct{})}
	s.born.Store(time.Now().UnixMilli())
	s.state.Store("ready")
	s.Server = httptest.NewUnstartedServer(http.HandlerFunc(s.serve))
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
		w.Header().Set("Instance-Id", s.id)
		if s.state.Load() != "ready" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if strings.HasSuffix(r.URL.Path, "/poison") {
		s.crash()
		panic(http.ErrAbortHandler)
	}
	s.ran.Add(1)
	s.lastRan.Store(time.Now().UnixMilli())
	body, _ := io.ReadAll(r.Body)
	time.Sleep(time.Duration(s.workMS.Load()) * time.Millisecond)
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	w.Header().Set("Response-Signature", "s")
	w.Header().Set("X-Server", s.id)
	_, _ = w.Write(body)
}

// crash ends the server with all that it runs; it comes back after a while.
func (s *Server) crash() {
	s.poisoned.Add(1)
	s.down.Store(true)
	address := s.Listener.Addr().String()
	_ = s.Listener.Close()
	s.CloseClientConnections()
	time.AfterFunc(1500*time.Millisecond, func() {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			panic(err)
		}
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
		"Information": map[string]any{"Service": service, "Version": "v1", "Zone": "z", "Slots": 8},
		"Status":      map[string]any{"State": state, "Sequence": s.sequence.Add(1), "ColdRemainingS": 0},
		"born":        s.born.Load(),
	})
	if err != nil {
		panic(err)
	}
	answer, err := http.Post("http://"+control+"/instances/"+s.id+"/heartbeat", "application/json", bytes.NewReader(body))
	if err != nil {
		return // the node is down; the next heartbeat comes soon
	}
	_ = answer.Body.Close()
	if state == "draining" && answer.StatusCode == http.StatusOK {
		s.acked.CompareAndSwap(0, time.Now().UnixMilli())
	}
}
