package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"

	"go.uber.org/fx"

	_ "teaselring/cmd/internal/nodeplugins"
	"teaselring/kernel"
	"teaselring/plugins/platformmemory"
	"teaselring/port"
)

const (
	changeToken = "demonstration-token"
	peerKey     = "key of the demonstration"
)

// demoNode is a node, run as an application of its own, and the upstream beside it.
type demoNode struct {
	name, zone                          string
	callers, peers, operators, announce netip.AddrPort
	app                                 *fx.App
	upstream                            *upstream
}

// upstreamSpecs lists the upstreams; each service runs an old and a new version.
var upstreamSpecs = []struct{ service, version string }{
	{"catalogue", "v1"},
	{"catalogue", "v1"},
	{"catalogue", "v2"},
	{"catalogue", "v2"},
	{"billing", "v1"},
	{"billing", "v1"},
	{"billing", "v2"},
	{"billing", "v2"},
}

// newMesh starts the platform, the nodes and the upstreams.
func newMesh(ctx context.Context) ([]*demoNode, error) {
	platform := platformmemory.New()
	go func() { _ = platform.Run(ctx) }()
	var nodes []*demoNode
	for i, spec := range upstreamSpecs {
		n, err := newNode(i, fmt.Sprintf("zone-%d", i%2))
		if err != nil {
			return nil, err
		}
		n.upstream = newUpstream(spec.service, spec.version, n.announce)
		nodes = append(nodes, n)
	}
	for _, n := range nodes {
		if err := n.start(ctx, platform, nodes[0].peers); err != nil {
			return nil, fmt.Errorf("node %s: %w", n.name, err)
		}
		if err := n.upstream.start(ctx); err != nil {
			return nil, fmt.Errorf("upstream beside %s: %w", n.name, err)
		}
	}
	return nodes, nil
}

func newNode(i int, zone string) (*demoNode, error) {
	n := &demoNode{name: fmt.Sprintf("node-%d", i), zone: zone}
	for _, address := range []*netip.AddrPort{&n.callers, &n.peers, &n.operators, &n.announce} {
		freeAddr, err := freeAddress(i)
		if err != nil {
			return nil, err
		}
		*address = freeAddr
	}
	return n, nil
}

// freeAddress returns an address whose port is unused. Each node has its own loopback
// IP: outgoing connections use 127.0.0.1, so that none takes the port before the node
// binds it.
func freeAddress(node int) (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", fmt.Sprintf("127.0.1.%d:0", node+1))
	if err != nil {
		return netip.AddrPort{}, err
	}
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).AddrPort(), nil
}

func (n *demoNode) settings(seed netip.AddrPort) string {
	lines := []string{
		"[node.identity]", fmt.Sprintf("id = %q", n.name), fmt.Sprintf("zone = %q", n.zone),
		"[edge.callers]", fmt.Sprintf("address = %q", n.callers),
		"[edge.peers]", fmt.Sprintf("address = %q", n.peers), fmt.Sprintf("key = %q", peerKey),
		"[edge.operators]", fmt.Sprintf("address = %q", n.operators), fmt.Sprintf("change_token = %q", changeToken),
		"[upstream.local]", fmt.Sprintf("listen = %q", n.announce),
		"[config.source]", `first_read_within = "500ms"`,
		"[moves.guard]", `min_watch = "5s"`,
		"[membership.view]", fmt.Sprintf("seeds = [%q]", seed),
	}
	return strings.Join(lines, "\n")
}

// start runs the node's application on the shared in-memory platform.
func (n *demoNode) start(ctx context.Context, platform *platformmemory.Store, seed netip.AddrPort) error {
	settings, err := kernel.Parse(n.name, []byte(n.settings(seed)))
	if err != nil {
		return err
	}
	n.app = fx.New(
		kernel.Options(settings, kernel.NewLogger(io.Discard)),
		fx.Decorate(func(port.Table) port.Table { return platform }),
		fx.Decorate(func(port.Objects) port.Objects { return platform }),
	)
	return n.app.Start(ctx)
}
