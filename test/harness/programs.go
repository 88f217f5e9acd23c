package harness

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"teaselring/test/standin"
)

// controlClient sends control requests, to which no faults apply.
var controlClient = &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{}}

// Server is a stand-in process that serves HTTP.
type Server struct {
	*Process
	Address string // IP:port, the same after a restart
}

// startServer runs a stand-in and waits until it listens.
func (h *Harness) startServer(name, binary string, args ...string) Server {
	h.tb.Helper()
	s := Server{Address: h.FreeAddress()}
	args = append(args, "-listen", s.Address, "-journal", filepath.Join(h.dir, name+".journal"))
	s.Process = h.Start(name, binary, args...)
	h.WaitListening(s.Address)
	return s
}

// WaitListening waits until an address accepts connections.
func (h *Harness) WaitListening(address string) {
	h.tb.Helper()
	h.WaitUntil("a listener at "+address, func() error {
		c, err := dial(address)
		if err == nil {
			_ = c.Close()
		}
		return err
	})
}

// Restart kills the process, starts it at the same address and waits until it
// listens. Its memory is lost.
func (s Server) Restart() {
	s.h.tb.Helper()
	s.Process.Restart()
	s.h.WaitListening(s.Address)
}

// Control sets options at run time. Options that are absent keep their value.
func (s Server) Control(options map[string]any) {
	s.h.tb.Helper()
	body, err := json.Marshal(options)
	if err == nil {
		err = sendRequest(http.MethodPost, "http://"+s.Address+"/control", body, nil)
	}
	if err != nil {
		s.h.tb.Fatalf("control of %s: %v", s.Name, err)
	}
}

func sendRequest(method, url string, body []byte, into any) error {
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := controlClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode >= 300 {
		err = fmt.Errorf("status %d: %s", response.StatusCode, content)
	}
	if err == nil && into != nil {
		err = json.Unmarshal(content, into)
	}
	return err
}

func journal[T any](s Server) []T {
	s.h.tb.Helper()
	lines, err := ReadJournal[T](filepath.Join(s.h.dir, s.Name+".journal"))
	if err != nil {
		s.h.tb.Fatalf("journal of %s: %v", s.Name, err)
	}
	return lines
}

// Platform is a process of test/platform.
type Platform struct{ Server }

// StartPlatform runs the platform stand-in with additional arguments.
func (h *Harness) StartPlatform(args ...string) Platform {
	h.tb.Helper()
	return Platform{h.startServer("platform", "platform", args...)}
}

// Stats returns the counters reads, writes, refused, stalled and lost.
func (p Platform) Stats() map[string]int {
	p.h.tb.Helper()
	stats := map[string]int{}
	if err := sendRequest(http.MethodGet, "http://"+p.Address+"/control/stats", nil, &stats); err != nil {
		p.h.tb.Fatalf("stats of the platform: %v", err)
	}
	return stats
}

// Writes returns the journal.
func (p Platform) Writes() []standin.Write { p.h.tb.Helper(); return journal[standin.Write](p.Server) }

// Upstream is a process of test/upstream.
type Upstream struct{ Server }

// StartUpstream runs a stand-in for a back-end process. It announces itself to the
// listener at announce (IP:port); when that is empty, it sends no announcements.
func (h *Harness) StartUpstream(name, service, version, announce string, args ...string) Upstream {
	h.tb.Helper()
	args = append([]string{"-service", service, "-version", version}, args...)
	if announce != "" {
		args = append(args, "-announce", "http://"+announce+"/announce")
	}
	return Upstream{h.startServer(name, "upstream", args...)}
}

// Calls returns the journal, over all runs of the process.
func (u Upstream) Calls() []standin.Call { u.h.tb.Helper(); return journal[standin.Call](u.Server) }

// CountBegan counts the calls that began and that match selects.
func (u Upstream) CountBegan(match func(standin.Call) bool) int {
	u.h.tb.Helper()
	n := 0
	for _, c := range u.Calls() {
		if c.Event == "began" && match(c) {
			n++
		}
	}
	return n
}

// Node is a process of teasel-node and the addresses reserved for it.
type Node struct {
	*Process
	Callers, Peers, Operators, Announce string // IP:port
	Advertise                           string // address announced to other nodes; default Peers
	settingsPath                        string
}

// NewNode reserves the addresses of a node without starting it, so that the
// settings of other nodes can name them.
func (h *Harness) NewNode(name string) *Node {
	h.tb.Helper()
	n := &Node{
		Process: &Process{Name: name, h: h},
		Callers: h.FreeAddress(), Peers: h.FreeAddress(), Operators: h.FreeAddress(), Announce: h.FreeAddress(),
		settingsPath: filepath.Join(h.dir, name+".toml"),
	}
	n.Advertise = n.Peers
	return n
}

// WriteSettings replaces the node's settings file. The next start reads it.
func (n *Node) WriteSettings(content string) {
	n.h.tb.Helper()
	if err := os.WriteFile(n.settingsPath, []byte(content), 0o600); err != nil {
		n.h.tb.Fatalf("settings of %s: %v", n.Name, err)
	}
}

// Start writes the settings and runs the node. It does not wait until the node
// is ready.
func (n *Node) Start(settings string) {
	n.h.tb.Helper()
	n.WriteSettings(settings)
	args := append(append([]string{}, n.h.NodeCommand...), n.settingsPath)
	n.Process = n.h.Start(n.Name, "teasel-node", args...)
}

// WaitReady waits until /readyz of the operators' listener returns 200.
func (n *Node) WaitReady() {
	n.h.tb.Helper()
	n.h.WaitUntil(n.Name+" to be ready", func() error {
		return sendRequest(http.MethodGet, "http://"+n.Operators+"/readyz", nil, nil)
	})
}
