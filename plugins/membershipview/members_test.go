package membershipview

import (
	"context"
	"net/netip"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/fx"

	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/result"
	"teaselring/wire"
)

// table is a platform table with injected failures.
type table struct {
	stall        bool         // operations block until their context ends
	failuresLeft atomic.Int32 // writes to fail before one succeeds
	writes       atomic.Int32
	scans        atomic.Int32
	rows         []port.Row
}

func (t *table) Get(context.Context, string, string) (port.Row, error) { return port.Row{}, nil }

func (t *table) Scan(ctx context.Context, _, _, after string, limit int) ([]port.Row, error) {
	if t.stall {
		<-ctx.Done()
		return nil, result.PlatformDown.Err()
	}
	if after == "z" { // the first scan of a refresh
		t.scans.Add(1)
	}
	var rows []port.Row
	for _, r := range t.rows {
		if r.Key > after && len(rows) < limit {
			rows = append(rows, r)
		}
	}
	return rows, nil
}

func (t *table) Commit(_ context.Context, txn port.Txn) error {
	if t.failuresLeft.Add(-1) >= 0 {
		return result.PlatformUnknown.Err()
	}
	t.writes.Add(1)
	Expect(txn.Puts).To(HaveExactElements(HaveField("Key", "z/me")))
	return nil
}

var _ = Describe("the plug-in", func() {
	var (
		view  *port.ViewCell
		seeds *port.SeedsCell
		inbox port.MembersInbox
		push  *port.PushRing
	)
	start := func(settings string, t port.Table) {
		parsed, err := kernel.Parse("test", []byte("[membership.view]\n"+settings))
		Expect(err).NotTo(HaveOccurred())
		address := &port.PeerAddressCell{}
		own := netip.MustParseAddrPort("127.0.0.1:2")
		address.Store(&own)
		options := []fx.Option{
			kernel.Options(parsed, kernel.NewLogger(GinkgoWriter)),
			fx.Supply(mesh.Identity{Node: "me", Zone: "z"}, address),
			kernel.ProvideRing[port.Push]("links.push", 64, kernel.ReplaceOldest),
			fx.Populate(&view, &seeds, &inbox, &push),
		}
		if t != nil {
			options = append(options, fx.Provide(func() port.Table { return t }))
		}
		app := fx.New(options...)
		Expect(app.Start(context.Background())).To(Succeed())
		DeferCleanup(func() { Expect(app.Stop(context.Background())).To(Succeed()) })
	}
	joined := func() bool {
		v := view.Load()
		return v != nil && v.Member("me") != nil && v.Member("me").PeerAddress != ""
	}
	send := func(from mesh.NodeID, m wire.Message) {
		Expect(inbox.Send(context.Background(), port.MembersMessage{From: from, Message: m})).To(Succeed())
	}
	// next returns the next push.
	next := func() port.Push {
		var p port.Push
		Eventually(push.C(), "5s").Should(Receive(&p))
		return p
	}
	up := func(peer mesh.NodeID) {
		e := &port.LinkEvent{Up: true, Hello: wire.Hello{Node: peer}}
		Expect(inbox.Send(context.Background(), port.MembersMessage{From: peer, Event: e})).To(Succeed())
	}

	It("joins while the platform stalls", func() {
		start("scan_jitter = \"0s\"\njoin_wait = \"100ms\"\n", &table{stall: true})
		Eventually(joined, "3s").Should(BeTrue())
	})

	It("reads seeds from settings and rows, and writes its own row once", func() {
		t := &table{rows: []port.Row{
			{Key: "a/n1", Value: []byte(`{"peer_address":"127.0.0.1:11"}`)},
			{Key: "z/me", Value: []byte(`{"peer_address":"127.0.0.1:12"}`)},
			{Key: "z/n2", Value: []byte(`{"peer_address":"127.0.0.1:13"}`)},
			{Key: "z/n3", Value: []byte(`{"peer_address":"not an address"}`)},
		}}
		t.failuresLeft.Store(1) // a lost response: the write is retried
		start("scan_jitter = \"0s\"\njoin_wait = \"100ms\"\nseeds = [\"127.0.0.1:10\"]\n", t)
		Eventually(seeds.Load, "3s").ShouldNot(BeNil())
		Eventually(func() []string { return seeds.Load().Addresses }, "3s").
			Should(Equal([]string{"127.0.0.1:10", "127.0.0.1:11", "127.0.0.1:13"}))
		Eventually(t.writes.Load, "10s").Should(BeEquivalentTo(1))
		// The second refresh finds nodes that wrote their rows after the first.
		Eventually(t.scans.Load, "3s").Should(BeEquivalentTo(2))
		Consistently(t.writes.Load, "200ms").Should(BeEquivalentTo(1))
	})

	It("raises its incarnation above the last one that a peer reports", func() {
		start("join_wait = \"1m\"\nseeds = [\"127.0.0.1:10\"]\n", nil)
		up("q")
		Expect(next()).To(HaveField("Message", BeAssignableToTypeOf(wire.MembersRequest{})))
		const last = mesh.Incarnation(1) << 60
		send("q", wire.Members{Full: true, Members: []mesh.Member{{Node: "me", Incarnation: last, State: mesh.NodeLeft}}})
		Eventually(joined, "3s").Should(BeTrue())
		Expect(view.Load().Member("me").Incarnation).To(Equal(last + 1))
	})

	Context("when joined", func() {
		BeforeEach(func() {
			start("", nil)
			Eventually(joined, "3s").Should(BeTrue())
			next() // the own entry
		})

		It("forwards updates to all but their sender, and a refutation to all", func() {
			update := mesh.Member{Node: "p", Incarnation: 1, State: mesh.NodeAlive}
			send("q", wire.Members{Members: []mesh.Member{update}})
			Expect(next()).To(Equal(port.Push{Except: "q", Message: wire.Members{Members: []mesh.Member{update}}}))
			own := *view.Load().Member("me")
			own.State, own.SuspectedBy = mesh.NodeSuspect, []mesh.NodeID{"q"}
			send("q", wire.Members{Members: []mesh.Member{own}})
			refutation := next()
			Expect(refutation.Except).To(BeEmpty())
			Expect(refutation.Message.(wire.Members).Members).To(HaveExactElements(
				And(HaveField("Sequence", own.Sequence+1), HaveField("State", mesh.NodeAlive))))
		})

		// Without a minimum time between requests, a changing view would be
		// transferred with every heartbeat.
		It("requests entries from a peer whose view stays different, at a limited rate", func() {
			up("q")
			Expect(next()).To(HaveField("To", mesh.NodeID("q"))) // the hello's digest differs
			for range 4 {
				send("q", wire.Heartbeat{ViewDigest: 1})
			}
			Consistently(push.C(), "300ms").ShouldNot(Receive())
			again := func() int {
				send("q", wire.Heartbeat{ViewDigest: 1})
				return len(push.C())
			}
			Eventually(again, "10s", "100ms").Should(Equal(1))
			Expect(next().Message.(wire.MembersRequest).Buckets).To(HaveLen(64))
		})

		It("sends no request to a peer with an equal view", func() {
			up("q")
			next()
			equal := func() int {
				send("q", wire.Heartbeat{ViewDigest: view.Load().Digest})
				return len(push.C())
			}
			Consistently(equal, "5s", "100ms").Should(BeZero())
		})

		It("responds to a request with the peer's own entry first", func() {
			send("q", wire.Members{Members: []mesh.Member{
				{Node: "a", Incarnation: 1, State: mesh.NodeAlive}, {Node: "q", Incarnation: 5, State: mesh.NodeAlive},
			}})
			next()
			send("q", wire.MembersRequest{})
			response := next().Message.(wire.Members)
			Expect(response.Full).To(BeTrue())
			Expect(response.Members).To(HaveLen(3))
			Expect(response.Members[0].Node).To(Equal(mesh.NodeID("q")))
		})
	})
})
