package accountlimits

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"teaselring/decision/quota"
	"teaselring/decision/replica"
	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/result"
)

func TestAccountLimits(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "account.limits")
}

// node is a node of the plug-in behind an HTTP server.
type node struct {
	in     dutyIn
	server *httptest.Server
	stop   context.CancelFunc
	asked  atomic.Int64 // asks of other nodes
}

// startNodes starts nodes that know each other and a configuration.
func startNodes(count int, accounts ...mesh.Account) []*node {
	snapshot := &mesh.Snapshot{Version: 1}
	for _, a := range accounts {
		snapshot.AddAccount(a, []string{"k-" + string(a.Name)})
	}
	view := &mesh.View{}
	nodes := make([]*node, count)
	for i := range nodes {
		n := &node{in: dutyIn{
			Identity:         mesh.Identity{Node: mesh.NodeID(fmt.Sprintf("n%d", i))},
			PlatformSettings: &port.PlatformSettings{FirstStart: true, AccountWindow: 5 * time.Second, AccountOverage: 0.1, AccountSlack: 20},
			Charges:          kernel.NewRing[kernel.Request[port.AccountCharge, struct{}]](chargeRing, 64, kernel.WaitUntilDeadline),
			Returns:          kernel.NewRing[port.AccountReturn](returnRing, 64, kernel.Refuse),
			Inbox:            kernel.NewRing[kernel.Request[quota.Ask, quota.Answer]](askRing, 64, kernel.Refuse),
			Sends:            kernel.NewRing[outgoing](sendRing, 64, kernel.Refuse),
			Answers:          kernel.NewRing[answered](answerRing, 64, kernel.WaitUntilDeadline),
			Statuses:         kernel.NewRing[kernel.Request[statusQuery, []quota.Status]](statusRing, 4, kernel.Refuse),
			Snapshot:         new(port.SnapshotCell), View: new(port.ViewCell), Rows: new(port.RowsCell),
			Logger: kernel.NewLogger(io.Discard), Metrics: metrics.NewRegistry(),
		}}
		route := newInboundRoute(n.in.Inbox, n.in.Statuses)
		n.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			n.asked.Add(1)
			route.Handler.ServeHTTP(w, r)
		}))
		DeferCleanup(n.server.Close)
		view.Members = append(view.Members, mesh.Member{Node: n.in.Identity.Node, PeerAddress: n.server.Listener.Addr().String(), State: mesh.NodeAlive})
		n.in.Snapshot.Store(snapshot)
		n.in.Rows.Store(replica.New().ApplyListing(port.NodeTable, nil, 0))
		nodes[i] = n
	}
	for _, n := range nodes {
		n.in.View.Store(view)
		ctx, cancel := context.WithCancel(context.Background())
		n.stop = cancel
		DeferCleanup(cancel)
		duties := []kernel.Duty{newDuty(n.in)}
		for range senders {
			duties = append(duties, senderIn{Sends: n.in.Sends, Answers: n.in.Answers, Client: newClient()}.duty("sender"))
		}
		for _, d := range duties {
			go func() { _ = d.Run(ctx) }()
		}
	}
	return nodes
}

func (n *node) charge(name mesh.AccountName) error {
	_, err := kernel.Do(context.Background(), n.in.Charges, port.AccountCharge{Account: name})
	return err
}

// charges sends a number of charges through the nodes in turn and returns how many were
// admitted.
func charges(nodes []*node, name mesh.AccountName, count int) (admitted int) {
	for i := range count {
		if nodes[i%len(nodes)].charge(name) == nil {
			admitted++
		}
	}
	return admitted
}

// The gauge kept its last value for good when the last limit ended.
var _ = Describe("the credits of a node", func() {
	It("are shown as zero after the last account was taken away", func() {
		nodes := startNodes(4, mesh.Account{Name: "a", Rate: 200, Burst: 200})
		n := nodes[0]
		credits := metrics.GetOrRegisterGauge("accounts.credits", n.in.Metrics)
		Eventually(func() int64 {
			_ = n.charge("a")
			return credits.Value()
		}, "10s", "10ms").Should(BeNumerically(">", 0))
		none := &mesh.Snapshot{Version: 2}
		none.RequireKeys()
		for _, other := range nodes {
			other.in.Snapshot.Store(none)
		}
		Eventually(credits.Value, "5s").Should(BeZero())
	})
})

var _ = Describe("an account over several nodes", func() {
	It("gets its limit and no more at many times its load", func() {
		nodes := startNodes(4, mesh.Account{Name: "a", Rate: 20, Burst: 10})
		began := time.Now()
		admitted, refusals := 0, 0
		for time.Since(began) < 3*time.Second {
			err := nodes[(admitted+refusals)%len(nodes)].charge("a")
			if err == nil {
				admitted++
				continue
			}
			refusals++
			Expect(result.Of(err)).To(Equal(result.AccountLimit))
			Expect(result.AsError(err).Details).To(HaveKey(port.RetryAfterDetail))
			time.Sleep(2 * time.Millisecond)
		}
		s := quota.Settings{Window: time.Since(began), Overage: 0.1, Slack: 20}
		Expect(float64(admitted)).To(BeNumerically("<=", s.Bound(quota.Limit{Rate: 20, Burst: 10})))
		Expect(admitted).To(BeNumerically(">=", 20), "credit of another node is used")
		Expect(refusals).To(BeNumerically(">", 0))
	})

	// Guards against nodes that spend only their own share.
	It("may spend the credit of all nodes at one node, also when others have ended", func() {
		nodes := startNodes(4, mesh.Account{Name: "a", Rate: 40, Burst: 40})
		charges(nodes, "a", 4)
		for _, n := range nodes[1:2] {
			n.stop()
			n.server.CloseClientConnections()
			n.server.Close()
		}
		Eventually(func() int { return charges(nodes[:1], "a", 20) }, "20s", "1s").Should(Equal(20))
	})
})

var _ = Describe("the state of the accounts", func() {
	It("tells the limits, the credit and the granting node", func() {
		nodes := startNodes(2, mesh.Account{Name: "a", Rate: 40, Burst: 40}, mesh.Account{Name: "free"})
		Eventually(func() (granting int) {
			charges(nodes, "a", 2)
			for _, n := range nodes {
				response, err := http.Get(n.server.URL + askPath)
				Expect(err).NotTo(HaveOccurred())
				var status []quota.Status
				Expect(json.NewDecoder(response.Body).Decode(&status)).To(Succeed())
				_ = response.Body.Close()
				Expect(status).To(HaveLen(1))
				Expect(status[0].Account).To(Equal(mesh.AccountName("a")))
				Expect(status[0].Rate).To(BeEquivalentTo(40))
				if g := status[0].Granting; g != nil && g.Share == 1 && status[0].GrantingNode == n.in.Identity.Node {
					granting++
				}
			}
			return granting
		}, "10s", "100ms").Should(Equal(1))
	})
})

var _ = Describe("a configuration without limits of accounts", func() {
	It("makes nodes exchange no messages, and admits everything", func() {
		nodes := startNodes(2, mesh.Account{Name: "free"})
		Expect(charges(nodes, "free", 100)).To(Equal(100))
		Consistently(func() int64 { return nodes[0].asked.Load() + nodes[1].asked.Load() }, "700ms").Should(BeZero())
	})
})

// Guards against a peer that claims absurd figures.
var _ = DescribeTable("an odd ask of another node is refused", func(ask any) {
	n := startNodes(1, mesh.Account{Name: "a", Rate: 1})[0]
	body, err := cbor.Marshal(ask)
	Expect(err).NotTo(HaveOccurred())
	response, err := http.Post(n.server.URL+askPath, "", bytes.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	Expect(response.StatusCode).To(Equal(http.StatusBadRequest))
	Expect(n.charge("a")).To(Succeed(), "the node works on")
},
	Entry("without a node", quota.Ask{Nodes: 1}),
	Entry("of no nodes", quota.Ask{Node: "x"}),
	Entry("with a negative count", quota.Ask{Node: "x", Nodes: 1, Demands: []quota.Demand{{Account: "a", Returned: -1}}}),
	Entry("with a huge count", quota.Ask{Node: "x", Nodes: 1, Demands: []quota.Demand{{Account: "a", Returned: 1 << 40}}}),
	Entry("of another type", "text"),
)
