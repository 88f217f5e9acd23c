package sidecar

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strconv"
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
		h.WaitUntil(machine.name+" ready", machine.Ready)
	}
	if o.Zones <= 1 { // else calls stay in their zone
		h.WaitUntil("every node knows every server", func() error { return m.AllReached("/read/") })
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

// OrderKey is the key of the order to move the service, and of its status.
const OrderKey = "rollout/" + Service

// Order asks for a move of the service to a version within a time.
func (m *Mesh) Order(version string, span time.Duration) {
	m.Store.Put("op", OrderKey, map[string]any{"Service": Service, "Target": version, "DurationS": span.Seconds()})
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
