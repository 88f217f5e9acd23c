package configstore

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/fx"

	"teaselring/decision/config"
	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/result"
	"teaselring/wire"
)

// node runs the plug-in in an application; the test takes the place of the
// platform, the links and the members.
type node struct {
	id       mesh.NodeID
	Inbox    port.ConfigInbox
	Heads    *port.HeadRing
	Snapshot *port.SnapshotCell
	Status   *port.ConfigStatusCell
	Push     *port.PushRing
	Audit    *port.AuditRing
	View     *port.ViewCell
}

var otherPlugins = fx.Options(
	kernel.ProvideRing[port.Push]("links.push", 64, kernel.ReplaceOldest),
	kernel.ProvideRing[port.AuditEntry]("audit.entries", 4, kernel.WaitUntilDeadline),
	fx.Provide(func() *port.ViewCell { return &port.ViewCell{} }),
)

func startNode(id mesh.NodeID) *node {
	GinkgoHelper()
	n := &node{id: id}
	app := fx.New(
		kernel.Options(kernel.Defaults(), kernel.NewLogger(io.Discard)),
		fx.Supply(mesh.Identity{Node: id, Zone: "a"}),
		otherPlugins,
		fx.Populate(&n.Inbox, &n.Heads, &n.Snapshot, &n.Status, &n.Push, &n.Audit, &n.View),
	)
	Expect(app.Start(context.Background())).To(Succeed())
	DeferCleanup(func() { Expect(app.Stop(context.Background())).To(Succeed()) })
	return n
}

func service(id string, slots int) mesh.Record {
	return mesh.Record{
		RecordKey: mesh.RecordKey{Kind: mesh.KindService, ID: id},
		Schema:    1,
		Service:   &mesh.ServiceV1{Slots: slots},
	}
}

func snapshot(v mesh.Version, more ...mesh.Record) *mesh.Snapshot {
	GinkgoHelper()
	s, err := config.Build(v, append(more, service("shop", int(v)), service("billing", 6)))
	Expect(err).NotTo(HaveOccurred())
	return s
}

func manyRecords() []mesh.Record {
	records := make([]mesh.Record, 9000)
	for i := range records {
		records[i] = service(fmt.Sprintf("service-%05d", i), 1)
		records[i].Service.Department = strings.Repeat("d", 64)
	}
	return records
}

func offerOf(s *mesh.Snapshot) wire.ConfigOffer {
	return wire.ConfigOffer{Version: s.Version, Digest: s.Digest}
}

func dataOf(d config.Delta) wire.ConfigData {
	return wire.ConfigData{Base: d.Base, Version: d.Version, Digest: d.Digest, Records: d.Records, Removed: d.Removed, Parts: 1}
}

func (n *node) sendHead(s *mesh.Snapshot) {
	GinkgoHelper()
	content, err := config.Encode(s.Records)
	Expect(err).NotTo(HaveOccurred())
	Expect(n.Heads.Send(context.Background(), port.HeadReport{
		ReadAt: time.Now(), Head: port.ConfigHead{Version: s.Version, Digest: s.Digest}, Content: content,
	})).To(Succeed())
}

func (n *node) receive(from mesh.NodeID, m wire.Message) {
	GinkgoHelper()
	Expect(n.Inbox.Send(context.Background(), port.LinkMessage[wire.Message]{From: from, Message: m})).To(Succeed())
}

// expectPush checks the next push of the node.
func (n *node) expectPush(to, except mesh.NodeID, m wire.Message) {
	GinkgoHelper()
	Eventually(n.Push.C(), "10s").Should(Receive(Equal(port.Push{To: to, Except: except, Message: m})))
}

func (n *node) version() mesh.Version {
	if s := n.Snapshot.Load(); s != nil {
		return s.Version
	}
	return 0
}

// inForce returns the version in the status, which the duty stores after the snapshot.
func (n *node) inForce() mesh.Version {
	if s := n.Status.Load(); s != nil {
		return s.InForce
	}
	return 0
}

func (n *node) expectInForce(v mesh.Version) {
	GinkgoHelper()
	Eventually(n.version, "10s").Should(Equal(v))
	Eventually(n.inForce, "10s").Should(Equal(v))
}

// waitProcessed waits until the duty has processed everything sent to it so far.
func (n *node) waitProcessed() {
	GinkgoHelper()
	n.receive("probe", wire.Hello{})
	Eventually(func() mesh.NodeID {
		select {
		case p := <-n.Push.C():
			return p.To
		default:
			return ""
		}
	}, "10s").Should(BeEquivalentTo("probe"))
}

var _ = Describe("config duty", func() {
	var n *node
	BeforeEach(func() { n = startNode("n1") })

	It("puts the head in force at once when it has no peers", func() {
		n.sendHead(snapshot(3))
		n.expectInForce(3)
		status := n.Status.Load()
		Expect(status.Source).To(Equal("platform"))
		Expect(status.HeadConfirmed).NotTo(BeZero())
	})

	// Guards against the loss of a version that was in force on one node only when
	// that node fails.
	It("puts a version of the platform in force once a peer holds it", func() {
		n.sendHead(snapshot(3))
		n.expectInForce(3)
		n.receive("n2", wire.Heartbeat{InForce: 3})
		n.waitProcessed()
		n.sendHead(snapshot(4))
		n.expectPush("", "", offerOf(snapshot(4)))
		n.receive("n2", wire.ConfigFetch{BaseVersion: 3})
		n.expectPush("n2", "", dataOf(config.Diff(snapshot(3), snapshot(4))))
		n.receive("n2", wire.ConfigAck{Version: 4})
		n.expectInForce(4)
	})

	It("does not wait forever for a peer that does not respond", func() {
		n.receive("n2", wire.Heartbeat{})
		n.sendHead(snapshot(3))
		n.expectInForce(3)
	})

	It("offers a version from a peer to all others", func() {
		n.sendHead(snapshot(3))
		n.expectInForce(3)
		n.receive("n2", offerOf(snapshot(5)))
		n.expectPush("n2", "", wire.ConfigFetch{BaseVersion: 3})
		n.receive("n2", dataOf(config.Diff(snapshot(3), snapshot(5))))
		n.expectPush("n2", "", wire.ConfigAck{Version: 5})
		n.expectPush("", "n2", offerOf(snapshot(5)))
		n.expectInForce(5)
		Expect(n.Status.Load().Source).To(Equal("peer"))
	})

	It("repairs a missed push by the next heartbeat and takes its age as confirmation", func() {
		n.sendHead(snapshot(3))
		n.expectInForce(3)
		n.receive("n2", wire.Heartbeat{InForce: 4, HeadAge: 1})
		n.expectPush("n2", "", wire.ConfigFetch{BaseVersion: 3})
		n.receive("n2", dataOf(config.Diff(snapshot(3), snapshot(4))))
		n.expectInForce(4)
		Expect(n.Status.Load().HeadConfirmed).To(BeZero())
		n.receive("n2", wire.Heartbeat{InForce: 4, HeadAge: 1})
		Eventually(func() bool { return n.Status.Load().HeadConfirmed.IsZero() }, "10s").Should(BeFalse())
	})

	It("sends a large version in parts below the message size limit", func() {
		s := snapshot(3, manyRecords()...)
		n.sendHead(s)
		n.expectInForce(3)
		n.expectPush("", "", offerOf(s))
		n.receive("n2", wire.ConfigFetch{})
		other := startNode("n2")
		other.receive("n1", wire.Heartbeat{InForce: 3})
		parts := 0
		for total := 1; parts < total; parts++ {
			var push port.Push
			Eventually(n.Push.C(), "10s").Should(Receive(&push))
			data := push.Message.(wire.ConfigData)
			Expect(data.Part).To(Equal(parts))
			total = data.Parts
			other.receive("n1", data)
		}
		Expect(parts).To(BeNumerically(">", 1))
		Expect(other.Heads.Send(context.Background(), port.HeadReport{Err: result.PlatformDown.Err()})).To(Succeed())
		other.receive("n1", offerOf(s))
		other.expectInForce(3)
		Expect(other.Snapshot.Load()).To(Equal(s))
	})

	// Guards against routes to services that are not configured.
	It("keeps its version when a newer one is invalid, and reports the reason", func() {
		n.sendHead(snapshot(3))
		n.expectInForce(3)
		before := *n.Snapshot.Load()
		bad := mesh.Record{
			RecordKey: mesh.RecordKey{Kind: mesh.KindRoute, ID: "r"},
			Schema:    2,
			RouteV2:   &mesh.RouteV2{PathPrefix: "/", Service: "none", Class: mesh.ClassRead, Timeout: time.Second},
		}
		content, err := config.Encode([]mesh.Record{bad})
		Expect(err).NotTo(HaveOccurred())
		data := wire.ConfigData{Version: 4, Digest: config.DigestOf(content), Records: []mesh.Record{bad}, Parts: 1}
		n.receive("n2", data)
		n.receive("n3", data)
		n.waitProcessed()
		Expect(*n.Snapshot.Load()).To(Equal(before))
		Expect(n.Status.Load()).To(HaveField("Refused", mesh.Version(4)))
		Expect(n.Status.Load()).To(HaveField("Code", result.DanglingRef.Number))
		Expect(n.Audit.Len()).To(Equal(1))
		n.receive("n2", wire.Heartbeat{InForce: 4})
		n.receive("n2", wire.Heartbeat{InForce: 5})
		n.expectPush("n2", "", wire.ConfigFetch{BaseVersion: 3})
	})

	It("fetches the full version when a delta has another base", func() {
		n.sendHead(snapshot(3))
		n.expectInForce(3)
		n.receive("n2", dataOf(config.Diff(snapshot(4), snapshot(5))))
		n.expectPush("n2", "", wire.ConfigFetch{})
		n.receive("n2", dataOf(config.FullDelta(snapshot(5))))
		n.expectInForce(5)
	})

	// Guards against a restarted node that returns to an older version during an
	// outage.
	It("starts during an outage from three peers, not from the first", func() {
		n.View.Store(&mesh.View{Self: "n1", Members: []mesh.Member{
			{Node: "n1", State: mesh.NodeAlive},
			{Node: "n2", State: mesh.NodeAlive},
			{Node: "n3", State: mesh.NodeAlive},
			{Node: "n4", State: mesh.NodeAlive},
		}})
		Expect(n.Heads.Send(context.Background(), port.HeadReport{Err: result.PlatformDown.Err()})).To(Succeed())
		n.receive("n2", offerOf(snapshot(3)))
		n.expectPush("n2", "", wire.ConfigFetch{})
		n.receive("n2", dataOf(config.FullDelta(snapshot(3))))
		n.waitProcessed()
		Consistently(n.version, "1200ms").Should(BeZero())
		n.receive("n3", wire.Heartbeat{InForce: 3})
		n.expectPush("n3", "", wire.ConfigOffer{Remembered: 3})
		n.receive("n3", wire.ConfigOffer{Version: 4, Digest: snapshot(4).Digest, Remembered: 4})
		n.receive("n4", wire.Heartbeat{})
		n.expectPush("n3", "", wire.ConfigFetch{BaseVersion: 3})
		n.receive("n3", dataOf(config.Diff(snapshot(3), snapshot(4))))
		n.expectInForce(4)
	})

	It("sends a returning node the version that it had in force", func() {
		n.receive("n2", wire.Heartbeat{InForce: 7})
		n.expectPush("n2", "", wire.ConfigFetch{})
		n.expectPush("n2", "", wire.ConfigOffer{Remembered: 7})
		n.receive("n2", wire.Hello{Node: "n2"})
		n.expectPush("n2", "", wire.ConfigOffer{Remembered: 7})
		n.View.Store(&mesh.View{Members: []mesh.Member{{Node: "n3", InForce: 6}}})
		n.receive("n3", wire.Hello{Node: "n3"})
		n.expectPush("n3", "", wire.ConfigOffer{Remembered: 6})
	})

	It("works without links, members and an audit trail", func() {
		var heads *port.HeadRing
		alone := &node{}
		app := fx.New(
			kernel.Options(kernel.Defaults(), kernel.NewLogger(io.Discard)),
			fx.Supply(mesh.Identity{Node: "n1", Zone: "a"}),
			fx.Populate(&heads, &alone.Snapshot, &alone.Status),
		)
		Expect(app.Start(context.Background())).To(Succeed())
		defer func() { Expect(app.Stop(context.Background())).To(Succeed()) }()
		alone.Heads = heads
		alone.sendHead(snapshot(3))
		alone.expectInForce(3)
	})

	It("is ready once it has a configuration", func() {
		check := newReadyCheck(n.Snapshot)
		Expect(result.Of(check.Check())).To(BeIdenticalTo(result.NoConfiguration))
		n.sendHead(snapshot(3))
		n.expectInForce(3)
		Expect(check.Check()).To(Succeed())
	})
})
