package harness

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"strings"
)

// Credentials in the settings of a Cluster's nodes.
const (
	ReadToken   = "read-token-of-the-cluster"
	ChangeToken = "change-token-of-the-cluster"
	PeerKey     = "key shared by all nodes of the cluster"
)

// fastStartSettings lets nodes read the head soon after they start. The
// default spreads these reads for a mesh of 1,200 nodes.
const fastStartSettings = "[config.source]\nfirst_read_within = \"500ms\"\n"

// Cluster is a platform stand-in with nodes and upstreams.
type Cluster struct {
	H             *Harness
	Platform      Platform
	Nodes         []*Node
	ExtraSettings string // appended to the settings of every node
	zones         map[string]string
}

// NewCluster starts the platform and reserves the addresses of the named
// nodes. Node i is in zone z<i mod zones>.
func NewCluster(h *Harness, zones int, names ...string) *Cluster {
	c := &Cluster{H: h, Platform: h.StartPlatform(), zones: map[string]string{}, ExtraSettings: fastStartSettings}
	for i, name := range names {
		n := h.NewNode(name)
		c.Nodes = append(c.Nodes, n)
		c.zones[name] = fmt.Sprintf("z%d", i%zones)
	}
	return c
}

// Proxy puts a proxy in front of a node's peer listener. Call it before Start.
func (c *Cluster) Proxy(n *Node) *Proxy {
	c.H.tb.Helper()
	proxy := c.H.StartProxy(n.Peers)
	n.Advertise = proxy.Address
	return proxy
}

// maxSeeds is the number of nodes listed as seeds.
const maxSeeds = 3

// Settings returns the content of a node's settings file.
func (c *Cluster) Settings(n *Node) string {
	var seeds []string
	for _, seed := range c.Nodes[:min(maxSeeds, len(c.Nodes))] {
		seeds = append(seeds, fmt.Sprintf("%q", seed.Advertise))
	}
	return fmt.Sprintf(`
[node.identity]
id = %q
zone = %q
region = "r0"
[platform.http]
address = %q
[edge.callers]
address = %q
[edge.peers]
address = %q
advertise = %q
key = %q
[edge.operators]
address = %q
read_token = %q
change_token = %q
[upstream.local]
listen = %q
[membership.view]
seeds = [%s]
%s`, n.Name, c.zones[n.Name], c.Platform.Address, n.Callers, n.Peers, n.Advertise, PeerKey, n.Operators,
		ReadToken, ChangeToken, n.Announce, strings.Join(seeds, ", "), c.ExtraSettings)
}

// Start starts every node.
func (c *Cluster) Start() {
	c.H.tb.Helper()
	for _, n := range c.Nodes {
		n.Start(c.Settings(n))
	}
}

// WaitListening waits until every node accepts operators' requests. A node without
// a configuration listens, but is not ready.
func (c *Cluster) WaitListening() {
	c.H.tb.Helper()
	for _, n := range c.Nodes {
		c.H.WaitListening(n.Operators)
	}
}

// WaitReady waits until every node is ready.
func (c *Cluster) WaitReady() {
	c.H.tb.Helper()
	for _, n := range c.Nodes {
		n.WaitReady()
	}
}

// Apply applies TOML records through a node and returns the status and body of the
// response.
func (c *Cluster) Apply(n *Node, publication, records string) (int, string) {
	c.H.tb.Helper()
	return c.SendOperatorRequest(n, http.MethodPost, "/v1/apply?publication="+publication, records)
}

// SendOperatorRequest sends an operator's request with the change token and
// returns the status and body of the response.
func (c *Cluster) SendOperatorRequest(n *Node, method, path, body string) (int, string) {
	c.H.tb.Helper()
	request, err := http.NewRequest(method, "http://"+n.Operators+path, bytes.NewBufferString(body))
	if err != nil {
		c.H.tb.Fatalf("%s %s: %v", method, path, err)
	}
	request.Header.Set("Authorization", "Bearer "+ChangeToken)
	request.Header.Set("X-Operator", "test")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	content, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(content)
}

// RunTeaselctl runs teaselctl against a node and returns its exit code and output.
func (c *Cluster) RunTeaselctl(n *Node, args ...string) (code int, stdout, stderr string) {
	c.H.tb.Helper()
	command := exec.Command(c.H.binary("teaselctl"), append(args, "--address", n.Operators, "--token", ChangeToken)...)
	var out, errOut bytes.Buffer
	command.Stdout, command.Stderr = &out, &errOut
	if err := command.Run(); err != nil && command.ProcessState == nil {
		c.H.tb.Fatalf("teaselctl %v: %v", args, err)
	}
	return command.ProcessState.ExitCode(), out.String(), errOut.String()
}
