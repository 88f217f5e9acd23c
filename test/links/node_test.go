package links

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"fmt"
	"io"
	"log"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/fx"

	"teaselring/kernel"
	"teaselring/mesh"
	_ "teaselring/plugins/linkoverlay"
	_ "teaselring/plugins/membershipview"
	"teaselring/port"
)

// authority signs the certificates of all test nodes.
type authority struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	pool *x509.CertPool
}

var testAuthority = sync.OnceValue(func() *authority {
	a := &authority{pool: x509.NewCertPool()}
	template := certificate("authority")
	template.IsCA, template.BasicConstraintsValid = true, true
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	Expect(err).NotTo(HaveOccurred())
	a.key = key
	a.cert, err = x509.ParseCertificate(der)
	Expect(err).NotTo(HaveOccurred())
	a.pool.AddCert(a.cert)
	return a
})

func certificate(name string) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
}

// peerTLS returns the TLS configuration of a node. The certificate names the node.
func peerTLS(name string) port.PeerTLS {
	a := testAuthority()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	der, err := x509.CreateCertificate(rand.Reader, certificate(name), a.cert, &key.PublicKey, a.key)
	Expect(err).NotTo(HaveOccurred())
	own := []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}
	return port.PeerTLS{
		Server: &tls.Config{MinVersion: tls.VersionTLS13, Certificates: own, ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: a.pool},
		Client: &tls.Config{MinVersion: tls.VersionTLS13, Certificates: own, RootCAs: a.pool},
	}
}

// node is a node whose relay applies faults to its peer listener and to the
// connections that it dials.
type node struct {
	id      mesh.NodeID
	app     *fx.App
	relay   *relay
	view    *port.ViewCell
	push    *port.PushRing
	local   *port.LocalRing
	leaving *port.LeavingRing
	crashes *port.CrashInbox
	metrics metrics.Registry
	started bool
}

// startNode starts node i with the given seeds.
func startNode(i int, seeds ...string) *node {
	settings, err := kernel.Parse("test", []byte(fmt.Sprintf(
		"[membership.view]\nseeds = [%s]\njoin_wait = \"500ms\"\n", quoted(seeds))))
	Expect(err).NotTo(HaveOccurred())
	n := &node{id: mesh.NodeID(fmt.Sprintf("n%02d", i))}
	zone := i % 4
	identity := mesh.Identity{Node: n.id, Zone: mesh.Zone(fmt.Sprint("z", zone)), Region: mesh.Region(fmt.Sprint("r", zone/2))}
	address := &port.PeerAddressCell{}
	own := peerTLS(string(n.id))
	mux := http.NewServeMux()
	n.app = fx.New(
		kernel.Options(settings, kernel.NewLogger(GinkgoWriter)),
		fx.Supply(identity, address, own),
		kernel.ProvideRing[mesh.Crash]("slots.crashes", 16, kernel.Refuse),
		fx.Populate(&n.view, &n.push, &n.local, &n.leaving, &n.crashes, &n.metrics),
		fx.Invoke(func(in struct {
			fx.In
			Routes []port.PeerRoute `group:"peer_routes"`
		},
		) {
			for _, r := range in.Routes {
				mux.Handle(r.Method+" "+r.Path, identifyDialer(r.Handler))
			}
		}),
	)
	Expect(n.app.Err()).NotTo(HaveOccurred())
	server := httptest.NewUnstartedServer(mux)
	server.TLS = own.Server
	server.EnableHTTP2 = true // as edge.peers does; a link must not fail on it
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	server.StartTLS()
	n.relay = newRelay(string(n.id), server.Listener.Addr().String())
	reachable := netip.MustParseAddrPort(n.relay.address())
	address.Store(&reachable)
	Expect(n.app.Start(context.Background())).To(Succeed())
	n.started = true
	DeferCleanup(func() {
		n.relay.setMode(forward)
		n.stop()
		n.relay.close()
		server.CloseClientConnections()
		server.Close()
	})
	return n
}

func quoted(seeds []string) string {
	s := ""
	for _, a := range seeds {
		s += fmt.Sprintf("%q,", a)
	}
	return s
}

func (n *node) stop() {
	if n.started {
		n.started = false
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		Expect(n.app.Stop(ctx)).To(Succeed())
	}
}

// stateOf returns the state of a member in the node's view, 0 when unknown.
func (n *node) stateOf(id mesh.NodeID) mesh.NodeState {
	if v := n.view.Load(); v != nil {
		if m := v.Member(id); m != nil {
			return m.State
		}
	}
	return 0
}

// aliveCount returns the number of alive members in the node's view.
func (n *node) aliveCount() int {
	view := n.view.Load()
	if view == nil { // the members duty has not run yet
		return 0
	}
	count := 0
	for _, m := range view.Members {
		if m.State == mesh.NodeAlive {
			count++
		}
	}
	return count
}

func (n *node) metricValue(name string) int64 {
	switch m := n.metrics.Get(name).(type) {
	case metrics.Counter:
		return m.Count()
	case metrics.Gauge:
		return m.Value()
	}
	Fail("no metric " + name)
	return 0
}

// startNodes starts nodes with the first as their seed, and waits until each has all
// in its view.
func startNodes(count int) []*node {
	nodes := []*node{startNode(0)}
	for i := 1; i < count; i++ {
		nodes = append(nodes, startNode(i, nodes[0].relay.address()))
	}
	for _, n := range nodes {
		Eventually(n.aliveCount, "20s", "20ms").Should(Equal(count), "view of %s", n.id)
	}
	return nodes
}
