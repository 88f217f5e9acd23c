package callforward

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/result"
	"teaselring/test/rings"
)

func TestCallForward(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "call.forward")
}

// scriptedRing returns a ring whose requests a function handles until the test ends.
func scriptedRing[Q, R any](name string, respond func(Q) (R, error)) *kernel.Ring[kernel.Request[Q, R]] {
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	return rings.Responder(ctx, name, respond)
}

// pair is an entry node and an owner node whose duties are scripted.
type pair struct {
	upstream    string        // IP:port that admitted attempts are sent to
	targets     []mesh.Target // of the next picks; empty: no endpoint
	retry       bool          // verdict on failed attempts
	fenced      bool          // response to settle requests
	settles     chan mesh.AttemptID
	settlements chan port.Settlement

	owner *owner
	entry *entry
	peers string // IP:port of the owner node's peers' listener
	url   string // of the entry node
}

const (
	entryNode = mesh.NodeID("entry")
	ownerNode = mesh.NodeID("owner")
)

func newPair(upstream string) *pair {
	p := &pair{upstream: upstream, settles: make(chan mesh.AttemptID, 16), settlements: make(chan port.Settlement, 16)}
	logger := kernel.NewLogger(io.Discard)
	p.owner = newOwner(&Settings{UpstreamConnections: 4}, ownerIn{
		Identity: mesh.Identity{Node: ownerNode}, Logger: logger,
		Admit: scriptedRing("admit", func(port.Admit) (port.Admission, error) {
			return port.Admission{Upstream: netip.MustParseAddrPort(p.upstream), Load: mesh.Load{Limit: 4}}, nil
		}),
		Release: kernel.NewRing[port.SlotRelease]("release", 64, kernel.WaitUntilDeadline),
		Settle: scriptedRing("settle", func(s port.Settle) (port.Settled, error) {
			p.settles <- s.Attempt
			return port.Settled{NotRun: p.fenced}, nil
		}),
		Claims: scriptedRing("claims", func(port.Claim) (port.Claimed, error) { return port.Claimed{}, nil }),
		// The owner node hands over a status without waiting, so that a response may be
		// there before the claims duty, which is busy here, has taken the settlement.
		Settlements: scriptedRing("settlements", func(s port.Settlement) (struct{}, error) {
			time.Sleep(20 * time.Millisecond)
			p.settlements <- s
			return struct{}{}, nil
		}),
	})
	mux := http.NewServeMux()
	mux.Handle(callPrefix+"/", p.owner)
	mux.HandleFunc("POST "+settlePath, p.owner.settle)
	peers := httptest.NewUnstartedServer(mux)
	peers.EnableHTTP2 = true
	peers.StartTLS()
	DeferCleanup(peers.Close)
	p.peers = peers.Listener.Addr().String()
	snapshot := new(port.SnapshotCell)
	snapshot.Store(&mesh.Snapshot{Routes: []mesh.Route{
		{ID: "r", PathPrefix: "/read", Service: "s", Class: mesh.ClassRead, Timeout: 30 * time.Second},
		{ID: "u", PathPrefix: "/upload", Service: "s", Class: mesh.ClassUpload, Timeout: 30 * time.Second},
		{ID: "o", PathPrefix: "/once", Service: "s", Class: mesh.ClassOnce, Timeout: 30 * time.Second},
	}})
	p.entry = newEntry(&Settings{SettleTimeout: kernel.Span(10 * time.Second)}, entryIn{
		Identity: mesh.Identity{Node: entryNode}, Logger: logger, Snapshot: snapshot,
		Picks: scriptedRing("picks", func(port.Pick) (mesh.Target, error) {
			if len(p.targets) == 0 {
				return mesh.Target{}, result.NoEndpoint.Err()
			}
			target := p.targets[0]
			p.targets = p.targets[1:]
			return target, nil
		}),
		Outcomes: kernel.NewRing[port.OutcomeReport]("outcomes", 64, kernel.WaitUntilDeadline),
		Retries:  scriptedRing("retries", func(port.RetryRequest) (port.RetryDecision, error) { return port.RetryDecision{Retry: p.retry}, nil }),
		Peers:    port.PeerClient{Client: peers.Client()},
		Owner:    p.owner,
	})
	callers := httptest.NewUnstartedServer(p.entry)
	callers.Config.ConnContext = port.ConnContext
	callers.Start()
	DeferCleanup(callers.Close)
	p.url = callers.URL
	return p
}

// remote returns the owner node as target; local returns the entry node itself, with
// the same upstream.
func (p *pair) remote() mesh.Target {
	return mesh.Target{Node: ownerNode, PeerAddress: p.peers, Service: "s", Version: "v1"}
}

func (p *pair) local() mesh.Target {
	return mesh.Target{Node: entryNode, Service: "s", Version: "v1"}
}

// serveUpstream runs an upstream and returns its IP:port.
func serveUpstream(handler http.HandlerFunc) string {
	server := httptest.NewServer(handler)
	DeferCleanup(server.Close)
	return server.Listener.Addr().String()
}

func (p *pair) request(method, path, body string, header map[string]string) *http.Request {
	request, err := http.NewRequest(method, p.url+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	for name, value := range header {
		request.Header.Set(name, value)
	}
	return request
}

// send returns the response, its body and the error of reading the body.
func send(request *http.Request) (*http.Response, string, error) {
	GinkgoHelper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return response, string(content), err
}
