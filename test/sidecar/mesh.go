package sidecar

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"teaselring/mesh"
	"teaselring/test/harness"
)

// Machine is one machine of the platform: a sidecar process and its server.
type Machine struct {
	*harness.Process
	mesh     *Mesh
	name     string
	zone     string
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

// Service is the service of all servers, Host that of all routes.
const (
	Service = "stock"
	Host    = "shop.example"
)

// Target returns the target of a request for a path.
func Target(path string) *url.URL { return &url.URL{Scheme: "http", Host: Host, Path: path} }

const (
	heartbeat = 300 * time.Millisecond
)

// Link is a connection of a machine that a test may lead through a proxy.
type Link string

// Links of a machine.
const (
	ToStore  Link = "store"
	ToServer Link = "server"
	Inbound  Link = "inbound" // from other machines
)

// Options describe a mesh.
type Options struct {
	Machines int
	Zones    int // the machines take turns; 0: one
	// Through returns the address to use in place of another one; nil: the same.
	Through func(link Link, machine int, address string) string
	// Prepare is called for each machine before its process starts; nil: nothing.
	Prepare func(i int, m *Machine)
}

// NewMesh starts a store with a configuration and machines in one zone.
func NewMesh(h *harness.Harness, machines int) *Mesh {
	return NewMeshOf(h, Options{Machines: machines})
}

// NewMeshOf starts a store with a configuration and machines.
func NewMeshOf(h *harness.Harness, o Options) *Mesh {
	m := &Mesh{h: h, Store: NewStore()}
	if o.Through == nil {
		o.Through = func(_ Link, _ int, address string) string { return address }
	}
	proxied := map[string]string{} // row of a node to the address that others get
	m.Store.Rewrite = func(key string, value []byte) []byte { return rewriteAddress(value, proxied[key]) }
	m.Configure(1, "/read/")
	for i := range o.Machines {
		machine := m.prepare(i, &o)
		proxied["node/"+machine.name] = o.Through(Inbound, i, machine.Address.Inbound)
		m.Machines = append(m.Machines, machine)
		if o.Prepare != nil {
			o.Prepare(i, machine)
		}
	}
	for _, machine := range m.Machines {
		machine.Process = h.StartWith([]string{"TEASELRING_BOOT=" + machine.settings}, machine.name, "teasel-sidecar", "run")
		go machine.Server.announce(machine.Address.Control)
	}
	for _, machine := range m.Machines {
		h.Until(machine.name+" ready", machine.Ready)
	}
	if o.Zones <= 1 { // else calls stay in their zone
		h.Until("every node knows every server", func() error { return m.AllReached("/read/") })
	}
	return m
}

// rewriteAddress replaces the address in the row of a node.
func rewriteAddress(value []byte, address string) []byte {
	var member mesh.Member
	if address == "" || cbor.Unmarshal(value, &member) != nil {
		return value
	}
	member.PeerAddress = address
	changed, err := cbor.Marshal(member)
	if err != nil {
		panic(err)
	}
	return changed
}

// Configure writes a configuration with idempotent routes of some prefixes.
func (m *Mesh) Configure(version int, prefixes ...string) {
	route := func(name, prefix, kind string) map[string]any {
		return map[string]any{
			"Name": name, "Host": Host, "Prefix": prefix, "Kind": kind, "TimeoutS": 4.0, "TargetLatencyS": 1.0,
			"Priority": 1, "Service": Service, "MaxAttempts": 2,
		}
	}
	routes := []any{route("once", "/once/", "non_idempotent")}
	for i, prefix := range prefixes {
		routes = append(routes, route(fmt.Sprintf("read-%d", i), prefix, "idempotent"))
	}
	m.Store.Put("op", "config", map[string]any{
		"Version":  "r" + strconv.Itoa(version),
		"Routes":   routes,
		"Services": []any{map[string]any{"Name": Service, "HealthPath": "/health", "ConnectionLimit": 100}},
		"Limits":   map[string]any{"HeaderBytes": 16384, "BodyBytes": 1 << 24, "HeaderTimeoutS": 3, "IdleTimeoutS": 15},
	})
}

// prepare reserves the addresses of a machine and writes its settings.
func (m *Mesh) prepare(i int, o *Options) *Machine {
	name, zone := fmt.Sprintf("m%d", i), fmt.Sprintf("z%d", i%max(o.Zones, 1))
	machine := &Machine{mesh: m, name: name, zone: zone, Server: newServer(m.h.FreeAddress(), "i-"+name, zone)}
	a := &machine.Address
	a.Inbound, a.Outbound, a.Ready, a.Control = m.h.FreeAddress(), m.h.FreeAddress(), m.h.FreeAddress(), m.h.FreeAddress()
	settings, err := json.Marshal(map[string]any{
		"NodeName": name, "Zone": zone, "Region": "r", "Service": Service,
		"AppAddress":         o.Through(ToServer, i, machine.Server.Listener.Addr().String()),
		"HeartbeatIntervalS": heartbeat.Seconds(), "Bounds": map[string]any{"DrainS": 2, "GracePeriodS": 6},
		"ListenAddresses": map[string]any{"Inbound": a.Inbound, "Outbound": a.Outbound, "Ready": a.Ready, "Control": a.Control},
		"Platform":        map[string]any{"Address": o.Through(ToStore, i, m.Store.Serve(name))},
	})
	if err != nil {
		panic(err)
	}
	machine.settings = filepath.Join(m.h.Dir(), name+".json")
	if err := os.WriteFile(machine.settings, settings, 0o600); err != nil {
		panic(err)
	}
	return machine
}

// Stop ends the servers and the store. The processes end with the test.
func (m *Mesh) Stop() {
	for _, machine := range m.Machines {
		machine.Server.stop()
	}
	m.Store.Stop()
}

// String returns the name of the machine.
func (m *Machine) String() string { return m.name }

// Ready reports whether the platform would send clients to the machine.
func (m *Machine) Ready() error {
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

// CallPrefix begins the ids of the requests of Call.
const CallPrefix = "call-"

// Call sends a request to the machine's node as its clients do.
func (m *Machine) Call(method, path, body string) (Answer, error) {
	r, err := http.NewRequest(method, "http://"+m.Address.Outbound+path, bytes.NewBufferString(body))
	if err != nil {
		return Answer{}, err
	}
	r.Host = Host
	r.Header.Set("Attempt-Id", CallPrefix+strconv.FormatInt(m.mesh.requests.Add(1), 16))
	r.Header.Set("Deadline-Milliseconds", "4000")
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = answer.Body.Close() }()
	content, err := io.ReadAll(answer.Body)
	return Answer{answer.StatusCode, answer.Header.Get("X-Server"), string(content), answer.Header}, err
}

// AllReached reports whether each node has sent a call to each server.
func (m *Mesh) AllReached(path string) error {
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
