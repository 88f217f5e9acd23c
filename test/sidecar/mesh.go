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

// Machine is one machine of the platform: a sidecar process and its local server.
type Machine struct {
	*harness.Process
	mesh     *Mesh
	name     string
	zone     string
	settings string // path of the settings file
	Address  struct{ Inbound, Outbound, Ready, Control string }
	Server   *Server
}

// Mesh is a store and the machines of one service.
type Mesh struct {
	h        *harness.Harness
	Store    *Store
	Machines []*Machine
	// ColdRate is the number of requests per second that a cold server tolerates, from the
	// next configuration on; 0: no bound.
	ColdRate float64
	// Accounts returns the client accounts of a version of the configuration; nil: it has none.
	Accounts func(version int) []any
	// ClientKey is the key that Call sends; "": none.
	ClientKey string
	requests  atomic.Int64
}

// Service is the service of all servers, Host the host of all routes.
const (
	Service = "stock"
	Host    = "shop.example"
)

// Target returns the target of a request for a path.
func Target(path string) *url.URL { return &url.URL{Scheme: "http", Host: Host, Path: path} }

const (
	heartbeatInterval = 300 * time.Millisecond
)

// Link names the connections of a machine that a test can route through one proxy.
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
	Zones    int // machines are assigned in turn; 0: one
	// ProxyAddress returns the address to use in place of another; nil: no proxies.
	ProxyAddress func(link Link, machine int, address string) string
	// MemoryMB and FileDescriptors are the limits of each machine; 0: none.
	MemoryMB, FileDescriptors int
	// Prepare is called for each machine before its process starts; nil: nothing.
	Prepare func(i int, m *Machine)
	// Configure is called before the first configuration is written; nil: nothing.
	Configure func(m *Mesh)
}

// NewMesh starts a store with a configuration, and machines in one zone.
func NewMesh(h *harness.Harness, machines int) *Mesh {
	return NewMeshWithOptions(h, Options{Machines: machines})
}

// NewMeshWithOptions starts a store with a configuration, and machines.
func NewMeshWithOptions(h *harness.Harness, o Options) *Mesh {
	m := &Mesh{h: h, Store: NewStore()}
	if o.ProxyAddress == nil {
		o.ProxyAddress = func(_ Link, _ int, address string) string { return address }
	}
	proxyAddresses := map[string]string{} // by row of a node; the address that other nodes get
	m.Store.Rewrite = func(key string, value []byte) []byte { return rewriteAddress(value, proxyAddresses[key]) }
	if o.Configure != nil {
		o.Configure(m)
	}
	m.Configure(1, "/read/")
	for i := range o.Machines {
		machine := m.prepare(i, &o)
		proxyAddresses["node/"+machine.name] = o.ProxyAddress(Inbound, i, machine.Address.Inbound)
		m.Machines = append(m.Machines, machine)
		if o.Prepare != nil {
			o.Prepare(i, machine)
		}
	}
	for _, machine := range m.Machines {
		machine.Process = h.StartWith([]string{"TEASELRING_BOOT=" + machine.settings}, machine.name, "teasel-sidecar", "run")
		go machine.Server.sendHeartbeats(machine.Address.Control)
	}
	for _, machine := range m.Machines {
		h.WaitUntil(machine.name+" to be ready", machine.Ready)
	}
	if o.Zones <= 1 { // with more zones, calls stay in their zone
		h.WaitUntil("every node to reach every server", func() error { return m.CheckReachability("/read/") })
	}
	return m
}

// rewriteAddress returns the row of a node with its address replaced; an empty
// address changes nothing.
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

// EvacuationKey returns the key of the order to evacuate a zone.
func EvacuationKey(zone string) string { return "evacuate/" + zone }

// Configure writes a configuration with an idempotent route for each prefix, one
// non-idempotent route and one for uploads.
func (m *Mesh) Configure(version int, prefixes ...string) {
	route := func(name, prefix, kind string) map[string]any {
		return map[string]any{
			"Name": name, "Host": Host, "Prefix": prefix, "Kind": kind, "TimeoutS": 4.0, "TargetLatencyS": 1.0,
			"Priority": 1, "Service": Service, "MaxAttempts": 2,
		}
	}
	routes := []any{route("once", "/once/", "non_idempotent"), route("upload", "/upload/", "upload")}
	for i, prefix := range prefixes {
		routes = append(routes, route(fmt.Sprintf("read-%d", i), prefix, "idempotent"))
	}
	content := map[string]any{
		"Version":  "r" + strconv.Itoa(version),
		"Routes":   routes,
		"Services": []any{map[string]any{"Name": Service, "HealthPath": "/health", "ConnectionLimit": 100, "ColdStartS": 3, "ColdPerS": m.ColdRate}},
		"Limits":   map[string]any{"HeaderBytes": 16384, "BodyBytes": 1 << 24, "HeaderTimeoutS": 3, "IdleTimeoutS": 15},
	}
	if m.Accounts != nil {
		content["Tenants"] = m.Accounts(version)
	}
	m.Store.Put("op", "config", content)
}

// OrderKey is the key of the order for a move of the service, and of its status.
const OrderKey = "rollout/" + Service

// OrderMove orders a move of the service to a version within a duration.
func (m *Mesh) OrderMove(version string, duration time.Duration) {
	m.Store.Put("op", OrderKey, map[string]any{"Service": Service, "Target": version, "DurationS": duration.Seconds()})
}

// prepare reserves the addresses of a machine and writes its settings.
func (m *Mesh) prepare(i int, o *Options) *Machine {
	name, zone := fmt.Sprintf("m%d", i), fmt.Sprintf("z%d", i%max(o.Zones, 1))
	machine := &Machine{mesh: m, name: name, zone: zone, Server: newServer(m.h.FreeAddress(), "i-"+name, zone)}
	a := &machine.Address
	a.Inbound, a.Outbound, a.Ready, a.Control = m.h.FreeAddress(), m.h.FreeAddress(), m.h.FreeAddress(), m.h.FreeAddress()
	machine.Server.appAddress = o.ProxyAddress(ToServer, i, machine.Server.Listener.Addr().String())
	settings, err := json.Marshal(map[string]any{
		"NodeName": name, "Zone": zone, "Region": "r", "Service": Service,
		"AppAddress":         machine.Server.appAddress,
		"HeartbeatIntervalS": heartbeatInterval.Seconds(), "Bounds": map[string]any{"DrainS": 2, "GracePeriodS": 6, "ColdOverage": 1.5, "ColdSlack": 8},
		"ListenAddresses": map[string]any{"Inbound": a.Inbound, "Outbound": a.Outbound, "Ready": a.Ready, "Control": a.Control},
		"Limits":          map[string]any{"MemoryMb": o.MemoryMB, "FileDescriptors": o.FileDescriptors},
		"Platform":        map[string]any{"Address": o.ProxyAddress(ToStore, i, m.Store.Serve(name))},
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

// Stop stops the servers and the store. The harness ends the processes.
func (m *Mesh) Stop() {
	for _, machine := range m.Machines {
		machine.Server.stop()
	}
	m.Store.Stop()
}

// String returns the name of the machine.
func (m *Machine) String() string { return m.name }

func (m *Machine) kill()      { m.Kill() }
func (m *Machine) terminate() { m.Stop() }

// Ready returns an error unless the machine is ready, so that the platform would
// send clients to it.
func (m *Machine) Ready() error {
	response, err := http.Get("http://" + m.Address.Ready + "/readiness")
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(response.Body)
		return fmt.Errorf("status %d: %s", response.StatusCode, body)
	}
	return nil
}

// Response is the response that a client got.
type Response struct {
	Status int
	Server string // id of the server that responded
	Body   string
	Header http.Header
}

// CallIDPrefix is the prefix of the request ids that Call sets.
const CallIDPrefix = "call-"

// Call sends a request to the node of the machine, as a client on it does.
func (m *Machine) Call(method, path, body string) (Response, error) {
	r, err := http.NewRequest(method, "http://"+m.Address.Outbound+path, bytes.NewBufferString(body))
	if err != nil {
		return Response{}, err
	}
	r.Host = Host
	r.Header.Set("Attempt-Id", CallIDPrefix+strconv.FormatInt(m.mesh.requests.Add(1), 16))
	r.Header.Set("Deadline-Milliseconds", "4000")
	if m.mesh.ClientKey != "" {
		r.Header.Set("Key", m.mesh.ClientKey)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return Response{}, err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return Response{response.StatusCode, response.Header.Get("X-Server"), string(content), response.Header}, err
}

// CheckReachability returns an error unless calls through each node reach each server.
func (m *Mesh) CheckReachability(path string) error {
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
