package callslots

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/fx"

	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/result"
	"teaselring/wire"
)

const incarnation = mesh.Incarnation(7)

// node runs the plug-in alone in an application.
type node struct {
	Admits   *port.AdmitRing
	Releases *port.ReleaseRing
	Settles  *port.SettleRing
	Crashes  *port.CrashInbox
	Load     *port.LoadCell
	Pushes   *port.PushRing
	Audit    *port.AuditRing
	local    port.LocalCell
	snapshot *port.SnapshotCell
	zones    *port.EvacuationsCell
}

func startNode(queueWait string) *node {
	settings := "[call.slots]\ndrain_grace = \"0s\"\nqueue_wait = \"" + queueWait + "\"\n"
	parsed, err := kernel.Parse("test.toml", []byte(settings))
	Expect(err).NotTo(HaveOccurred())
	n := &node{}
	view := new(port.ViewCell)
	n.snapshot, n.zones = new(port.SnapshotCell), new(port.EvacuationsCell)
	view.Store(&mesh.View{Self: "a", Members: []mesh.Member{{Node: "a", Incarnation: incarnation}}})
	n.snapshot.Store(&mesh.Snapshot{Services: map[mesh.ServiceID]mesh.Service{"stock": {Slots: 1, Queue: 1}}})
	app := fx.New(
		kernel.Options(parsed, kernel.NewLogger(io.Discard)),
		fx.Supply(view, n.snapshot, n.zones, mesh.Identity{Zone: "z"}, &n.local),
		fx.Supply(&port.PlatformSettings{ColdOverage: 1, ColdSlack: 8}),
		kernel.ProvideRing[port.Push]("links.push", 8, kernel.ReplaceOldest),
		kernel.ProvideRing[port.AuditEntry]("audit.entries", 8, kernel.WaitUntilDeadline),
		fx.Populate(&n.Admits, &n.Releases, &n.Settles, &n.Crashes, &n.Load, &n.Pushes, &n.Audit),
	)
	Expect(app.Start(context.Background())).To(Succeed())
	DeferCleanup(func() { Expect(app.Stop(context.Background())).To(Succeed()) })
	return n
}

func (n *node) announce(process string, state mesh.EndpointState) {
	n.local.Store(&port.Local{
		Endpoint: mesh.Endpoint{Service: "stock", Version: "v1", Slots: 6, State: state, Process: process},
		Address:  netip.MustParseAddrPort("127.0.0.1:9000"),
	})
}

func admitOf(id mesh.AttemptID) port.Admit {
	return port.Admit{Attempt: id, Incarnation: incarnation, Version: "v1", Call: mesh.Call{
		Service: "stock", Class: mesh.ClassRead, Deadline: time.Now().Add(time.Minute), Fingerprint: 99,
	}}
}

var _ = Describe("call.slots", func() {
	ctx := context.Background()
	var n *node
	BeforeEach(func() {
		n = startNode("10s")
		n.announce("p1", mesh.EndpointReady)
	})
	admit := func(ctx context.Context, a port.Admit) error {
		_, err := kernel.Do(ctx, n.Admits, a)
		return err
	}
	release := func(r port.SlotRelease) { Expect(n.Releases.Send(ctx, r)).To(Succeed()) }
	// enqueue sends an Admit that has to queue and returns the channel of its error.
	enqueue := func(ctx context.Context, a port.Admit) chan error {
		done := make(chan error, 1)
		go func() { done <- admit(ctx, a) }()
		Eventually(func(g Gomega) {
			load := n.Load.Load()
			g.Expect(load).NotTo(BeNil(), "the duty has published no load yet")
			g.Expect(load.Queued).To(Equal(1))
		}).Should(Succeed())
		return done
	}
	settle := func(id mesh.AttemptID, inc mesh.Incarnation) bool {
		s, err := kernel.Do(ctx, n.Settles, port.Settle{Attempt: id, Incarnation: inc})
		Expect(err).NotTo(HaveOccurred())
		return s.NotRun
	}

	It("starts a waiting attempt when a slot is free", func() {
		admitted, err := kernel.Do(ctx, n.Admits, admitOf("1"))
		Expect(err).NotTo(HaveOccurred())
		Expect(admitted.Process).To(Equal("p1"))
		Expect(admitted.Load).To(Equal(mesh.Load{InFlight: 1, Limit: 1}))
		done := enqueue(ctx, admitOf("2"))
		Expect(result.Of(admit(ctx, admitOf("3")))).To(Equal(result.QueueFull))
		release(port.SlotRelease{Attempt: "1", Status: 200})
		Eventually(done).Should(Receive(BeNil()))
	})

	It("refuses a waiting attempt at its queue deadline", func() {
		n = startNode("50ms")
		n.announce("p1", mesh.EndpointReady)
		Expect(admit(ctx, admitOf("1"))).To(Succeed())
		err := admit(ctx, admitOf("2"))
		Expect(result.Of(err)).To(Equal(result.QueueTimeout))
		Expect(settle("2", incarnation)).To(BeTrue())
	})

	It("never starts a cancelled attempt, and gives its queue place to another", func() {
		Expect(admit(ctx, admitOf("1"))).To(Succeed())
		cancelled, cancel := context.WithCancel(ctx)
		done := enqueue(cancelled, admitOf("2"))
		cancel()
		Eventually(done).Should(Receive(HaveOccurred()))
		done = make(chan error, 1)
		go func() { done <- admit(ctx, admitOf("3")) }()
		Consistently(done, 50*time.Millisecond).ShouldNot(Receive())
		release(port.SlotRelease{Attempt: "1", Status: 200})
		Eventually(done).Should(Receive(BeNil()))
		Expect(settle("2", incarnation)).To(BeTrue())
	})

	It("does not start a waiting attempt on an upstream that replaced the chosen one", func() {
		Expect(admit(ctx, admitOf("1"))).To(Succeed())
		done := enqueue(ctx, admitOf("2"))
		n.local.Store(&port.Local{Endpoint: mesh.Endpoint{
			Service: "stock", Version: "v2", Slots: 6, State: mesh.EndpointReady, Process: "p2",
		}})
		Eventually(func() error { return admit(ctx, admitOf("3")) }).Should(MatchError(result.Draining.Err()))
		release(port.SlotRelease{Attempt: "1", Status: 200})
		var err error
		Eventually(done).Should(Receive(&err))
		Expect(result.Of(err)).To(Equal(result.Draining))
	})

	It("runs one attempt at a time and leaks no slot when callers leave and settle at any moment", func() {
		var running, maxRunning, wrongSettlements atomic.Int32
		var group sync.WaitGroup
		for worker := range 16 {
			rnd := rand.New(rand.NewPCG(11, uint64(worker)))
			group.Go(func() {
				for i := range 60 {
					id := mesh.AttemptID(fmt.Sprint(worker, "/", i))
					attemptCtx, cancel := context.WithTimeout(ctx, time.Duration(rnd.IntN(3000))*time.Microsecond)
					err := admit(attemptCtx, admitOf(id))
					if err == nil {
						maxRunning.Store(max(maxRunning.Load(), running.Add(1)))
					}
					settled, settleErr := kernel.Do(ctx, n.Settles, port.Settle{Attempt: id, Incarnation: incarnation})
					if settleErr == nil && settled.NotRun == (err == nil) {
						wrongSettlements.Add(1)
					}
					if err == nil {
						running.Add(-1)
						_ = n.Releases.Send(ctx, port.SlotRelease{Attempt: id, Status: 200})
					}
					cancel()
				}
			})
		}
		group.Wait()
		Expect([]int32{maxRunning.Load(), wrongSettlements.Load()}).To(Equal([]int32{1, 0}))
		Eventually(func() mesh.Load { return *n.Load.Load() }).Should(Equal(mesh.Load{Limit: 1}))
	})

	It("settles correctly: started, waiting, unknown and of an earlier incarnation", func() {
		Expect(admit(ctx, admitOf("1"))).To(Succeed())
		Expect(settle("1", incarnation)).To(BeFalse())
		Expect(result.Of(admit(ctx, admitOf("1")))).To(Equal(result.AttemptDuplicate))
		done := enqueue(ctx, admitOf("2"))
		Expect(settle("2", incarnation)).To(BeTrue())
		Expect(result.Of(<-done)).To(Equal(result.Fenced))
		Expect(settle("3", incarnation)).To(BeTrue())
		Expect(result.Of(admit(ctx, admitOf("3")))).To(Equal(result.Fenced))
		Expect(settle("4", incarnation-1)).To(BeFalse())
		stale := admitOf("5")
		stale.Incarnation--
		Expect(result.Of(admit(ctx, stale))).To(Equal(result.WrongIncarnation))
	})

	// Guards against an account whose calls fill the queue, so that others are refused.
	It("makes room in a full queue for an account with fewer calls", func() {
		n.snapshot.Store(&mesh.Snapshot{Services: map[mesh.ServiceID]mesh.Service{"stock": {Slots: 1, Queue: 2}}})
		admitAs := func(id mesh.AttemptID, account mesh.AccountName) chan error {
			a, done := admitOf(id), make(chan error, 1)
			a.Call.Account = account
			go func() { done <- admit(ctx, a) }()
			return done
		}
		queued := func() int { return n.Load.Load().Queued }
		Eventually(admitAs("1", "heavy")).Should(Receive(BeNil()))
		waiting := admitAs("2", "heavy")
		Eventually(queued).Should(Equal(1))
		newest := admitAs("3", "heavy")
		Eventually(queued).Should(Equal(2))
		small := admitAs("4", "small")
		var err error
		Eventually(newest).Should(Receive(&err))
		Expect(result.Of(err)).To(Equal(result.QueueFull))
		release(port.SlotRelease{Attempt: "1", Status: 200})
		Eventually(waiting).Should(Receive(BeNil()))
		release(port.SlotRelease{Attempt: "2", Status: 200})
		Eventually(small).Should(Receive(BeNil()))
	})

	DescribeTable("refuses work for an upstream that is not the chosen one",
		func(change func(*port.Admit)) {
			a := admitOf("1")
			change(&a)
			Expect(result.Of(admit(ctx, a))).To(Equal(result.Draining))
			Expect(settle("1", incarnation)).To(BeTrue())
		},
		Entry("another version", func(a *port.Admit) { a.Version = "v2" }),
		Entry("another service", func(a *port.Admit) { a.Call.Service = "billing" }),
		Entry("draining", func(*port.Admit) { n.announce("p1", mesh.EndpointDraining) }),
		Entry("gone", func(*port.Admit) { n.announce("p1", mesh.EndpointGone) }),
		Entry("starting", func(*port.Admit) { n.announce("p1", mesh.EndpointStarting) }),
	)

	It("reports a crash to all nodes and quarantines the request after the second one", func() {
		Expect(n.Crashes.Send(ctx, mesh.Crash{Service: "stock", Node: "b", Process: "q1", Fingerprints: []uint64{99, 5}})).To(Succeed())
		Eventually(n.Pushes.C()).Should(Receive(), "a new report of another node is forwarded")
		Expect(admit(ctx, admitOf("1"))).To(Succeed())
		release(port.SlotRelease{Attempt: "1", ConnectionLost: true})
		Eventually(func() int { return n.Load.Load().InFlight }).Should(BeZero())
		n.announce("p2", mesh.EndpointReady)

		var push port.Push
		Eventually(n.Pushes.C()).Should(Receive(&push))
		crash := push.Message.(wire.Quarantine).Crash
		Expect(crash.Node).To(BeEquivalentTo("a"))
		Expect(crash.Process).To(Equal("p1"))
		Expect(crash.Fingerprints).To(ConsistOf(uint64(99)))
		var entry port.AuditEntry
		Eventually(n.Audit.C()).Should(Receive(&entry))
		Expect(entry.Action).To(Equal("quarantine"))
		Expect(entry.Code).To(Equal(result.Quarantined.Number))
		Expect(result.Of(admit(ctx, admitOf("2")))).To(Equal(result.Quarantined))
		harmless := admitOf("3")
		harmless.Call.Fingerprint = 5
		Expect(admit(ctx, harmless)).To(Succeed())
	})

	It("reports no crash when a process ends without losing a call", func() {
		Expect(admit(ctx, admitOf("1"))).To(Succeed())
		release(port.SlotRelease{Attempt: "1", Status: 200})
		n.announce("p2", mesh.EndpointReady)
		Consistently(n.Pushes.C(), time.Second).ShouldNot(Receive())
	})
})
