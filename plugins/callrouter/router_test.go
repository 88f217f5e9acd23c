package callrouter

import (
	"context"
	"io"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/fx"

	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/result"
)

// node runs the plug-in alone in an application.
type node struct {
	Picks    *port.PickRing
	Outcomes *port.OutcomeRing
	Retries  *port.RetryRing
	Samples  *port.SampleRing
}

func startNode(ctx context.Context, settings string) *node {
	parsed, err := kernel.Parse("test.toml", []byte(settings))
	Expect(err).NotTo(HaveOccurred())
	view, snapshot := new(port.ViewCell), new(port.SnapshotCell)
	view.Store(&mesh.View{Self: "a", Members: []mesh.Member{{
		Node: "a", Incarnation: 7, Zone: "z", State: mesh.NodeAlive, PeerAddress: "127.0.0.1:1",
		Endpoint: mesh.Endpoint{Service: "stock", Version: "v1", Slots: 4, State: mesh.EndpointReady},
	}}})
	snapshot.Store(&mesh.Snapshot{Callers: map[mesh.CallerID]mesh.CallerV1{"billing": {InFlight: 2, RetryPercent: 10}}})
	n := &node{}
	app := fx.New(
		kernel.Options(parsed, kernel.NewLogger(io.Discard)),
		fx.Supply(view, snapshot),
		kernel.ProvideRing[mesh.Outcome]("guard.samples", 8, kernel.ReplaceOldest),
		fx.Populate(&n.Picks, &n.Outcomes, &n.Retries, &n.Samples),
	)
	Expect(app.Start(ctx)).To(Succeed())
	DeferCleanup(func() { Expect(app.Stop(context.Background())).To(Succeed()) })
	return n
}

func call(caller mesh.CallerID) mesh.Call {
	return mesh.Call{Method: "GET", Service: "stock", Class: mesh.ClassRead, Caller: caller, Deadline: time.Now().Add(time.Minute)}
}

var _ = Describe("call.router", func() {
	ctx := context.Background()
	var n *node
	BeforeEach(func() { n = startNode(ctx, "") })
	pick := func(p port.Pick) (mesh.Target, error) { return kernel.Do(ctx, n.Picks, p) }

	It("limits a caller's calls in flight until they end, and forwards outcomes as samples", func() {
		var target mesh.Target
		for range 2 {
			var err error
			target, err = pick(port.Pick{Call: call("billing"), FirstAttempt: true})
			Expect(err).NotTo(HaveOccurred())
			Expect(target.Incarnation).To(BeEquivalentTo(7))
		}
		_, err := pick(port.Pick{Call: call("billing"), FirstAttempt: true})
		Expect(result.Of(err)).To(Equal(result.CallerLimit))
		finished := port.OutcomeReport{Outcome: mesh.Outcome{Target: target, Caller: "billing", Status: 200}, CallEnded: true}
		Expect(n.Outcomes.Send(ctx, finished)).To(Succeed())
		Eventually(n.Samples.C()).Should(Receive(Equal(finished.Outcome)))
		_, err = pick(port.Pick{Call: call("billing"), FirstAttempt: true})
		Expect(err).NotTo(HaveOccurred())
	})

	It("holds no reservation for a pick that failed or was cancelled", func() {
		unknownService := call("billing")
		unknownService.Service = "none"
		cancelled, cancel := context.WithCancel(ctx)
		cancel()
		for range 5 {
			_, err := pick(port.Pick{Call: unknownService, FirstAttempt: true})
			Expect(result.Of(err)).To(Equal(result.NoEndpoint))
			_, _ = kernel.Do(cancelled, n.Picks, port.Pick{Call: call("shop"), FirstAttempt: true})
		}
		for range 2 {
			_, err := pick(port.Pick{Call: call("billing"), FirstAttempt: true})
			Expect(err).NotTo(HaveOccurred())
		}
	})

	It("refuses a call whose deadline has passed", func() {
		expired := call("shop")
		expired.Deadline = time.Now()
		_, err := pick(port.Pick{Call: expired, FirstAttempt: true})
		Expect(result.Of(err)).To(Equal(result.DeadlineBefore))
	})

	It("allows retries until the budget is spent", func() {
		failed := port.RetryRequest{Call: call("shop"), Outcome: mesh.Outcome{Code: result.ConnectFailed.Number}, Attempts: 1}
		for range 3 {
			v, err := kernel.Do(ctx, n.Retries, failed)
			Expect(err).NotTo(HaveOccurred())
			Expect(v.Retry).To(BeTrue(), v.Reason)
			_, err = pick(port.Pick{Call: call("shop"), Retried: true})
			Expect(err).NotTo(HaveOccurred())
		}
		v, _ := kernel.Do(ctx, n.Retries, failed)
		Expect([]bool{v.Retry, v.MarkRetried}).To(Equal([]bool{false, true}))
		_, err := pick(port.Pick{Call: call("shop"), Retried: true})
		Expect(result.Of(err)).To(Equal(result.RetryBudgetSpent))
	})

	It("names the line of a setting that is out of range", func() {
		_, err := kernel.Parse("test.toml", []byte("[call.router]\nmax_attempts = 0\n"))
		Expect(result.Of(err)).To(Equal(result.SettingInvalid))
		Expect(err.Error()).To(ContainSubstring("test.toml:2"))
	})
})
