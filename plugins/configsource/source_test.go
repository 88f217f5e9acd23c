package configsource

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/fx"

	"teaselring/decision/config"
	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/result"
)

// node runs the plug-in in an application; the test takes the place of the
// config duty.
type node struct {
	Publish  *port.PublishRing
	History  *port.HistoryRing
	Heads    *port.HeadRing
	Snapshot *port.SnapshotCell
	Status   *port.ConfigStatusCell
	View     *port.ViewCell
}

func startNode(p *platform, adjust ...func(*Settings)) *node {
	GinkgoHelper()
	n := &node{}
	settings := kernel.Defaults()
	own := settings.ForPlugin("config.source").(*Settings)
	own.FirstReadWithin = kernel.Span(0)
	own.Interval = kernel.Span(100 * time.Millisecond)
	for _, change := range adjust {
		change(own)
	}
	app := fx.New(
		kernel.Options(settings, kernel.NewLogger(io.Discard)),
		fx.Supply(mesh.Identity{Node: "n1", Zone: "a"}),
		fx.Supply(fx.Annotate(p, fx.As(new(port.Table)), fx.As(new(port.Objects)))),
		fx.Provide(func() (*port.SnapshotCell, *port.ConfigStatusCell, *port.ViewCell) {
			return &port.SnapshotCell{}, &port.ConfigStatusCell{}, &port.ViewCell{}
		}),
		kernel.ProvideRing[port.HeadReport]("config.heads", 64, kernel.ReplaceOldest),
		fx.Populate(&n.Publish, &n.History, &n.Heads, &n.Snapshot, &n.Status, &n.View),
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

func change(id string, base mesh.Version, records ...mesh.Record) port.Publish {
	return port.Publish{Publication: id, Base: base, Records: records, By: "ana", Why: "test"}
}

func (n *node) publish(q port.Publish) (port.Published, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	return kernel.Do(ctx, n.Publish, q)
}

func (n *node) mustPublish(q port.Publish) mesh.Version {
	GinkgoHelper()
	published, err := n.publish(q)
	Expect(err).NotTo(HaveOccurred())
	return published.Version
}

func (n *node) version(v mesh.Version) (mesh.Snapshot, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	return kernel.Do(ctx, n.History, port.History{Version: v})
}

var _ = Describe("publisher", func() {
	var p *platform
	var n *node

	BeforeEach(func() {
		p = newPlatform()
		n = startNode(p)
	})

	It("writes the head, its audit entry and its object together", func() {
		Expect(n.mustPublish(change("p1", 0, service("shop", 6)))).To(BeEquivalentTo(1))
		Expect(n.mustPublish(change("p2", 1, service("billing", 6)))).To(BeEquivalentTo(2))
		one, err := n.version(1)
		Expect(err).NotTo(HaveOccurred())
		Expect(one.Services).To(HaveLen(1))
		two, err := n.version(0)
		Expect(err).NotTo(HaveOccurred())
		Expect(two.Services).To(HaveLen(2))

		var entry port.AuditEntry
		Expect(json.Unmarshal(p.rows["audit/config/00000000000000000002"].Value, &entry)).To(Succeed())
		Expect(entry).To(Equal(port.AuditEntry{
			Stream: "config", Sequence: 2, Time: entry.Time, Who: "ana", Action: "publish", Subject: "p2",
			From: config.ObjectKey(one.Digest), To: config.ObjectKey(two.Digest), Why: "test", Version: 2,
		}))
		_, err = n.version(3)
		Expect(result.Of(err)).To(BeIdenticalTo(result.UnknownVersion))
	})

	It("writes nothing for an invalid change, a dry run or a change without effect", func() {
		n.mustPublish(change("p1", 0, service("shop", 6)))
		_, err := n.publish(change("p2", 0, service("shop", 0)))
		Expect(result.Of(err)).To(BeIdenticalTo(result.InvalidRecord))
		dry := change("", 0, service("shop", 7))
		dry.DryRun = true
		Expect(n.mustPublish(dry)).To(BeEquivalentTo(1))
		Expect(n.mustPublish(change("p3", 0, service("shop", 6)))).To(BeEquivalentTo(1))
		Expect(p.commits).To(Equal(1))
	})

	// Guards against a change that is applied twice, or reported as failed
	// though it was applied.
	It("determines whether a write took effect when its response was lost", func() {
		p.update(func() { p.loseResponses = 1 })
		Expect(n.mustPublish(change("p1", 0, service("shop", 6)))).To(BeEquivalentTo(1))
		Expect(p.commits).To(Equal(1))
	})

	// The same publication through another node, and a later change, take effect
	// while the first attempt is in progress.
	DescribeTable("does not report a conflict with its own earlier write", func(moment func(func())) {
		n.mustPublish(change("p1", 0, service("shop", 6)))
		other := startNode(p)
		moment(func() {
			other.mustPublish(change("p2", 1, service("shop", 7)))
			other.mustPublish(change("p3", 2, service("shop", 8)))
		})
		Expect(n.mustPublish(change("p2", 1, service("shop", 7)))).To(BeEquivalentTo(2))
		Expect(p.commits).To(Equal(3))
	},
		Entry("after the lookup", func(write func()) { p.update(func() { p.afterLookup = write }) }),
		Entry("before the commit", func(write func()) { p.update(func() { p.beforeWrite = write }) }),
	)

	It("waits while the platform's rate limit refuses the write", func() {
		p.update(func() { p.rateLimited = 2 })
		Expect(n.mustPublish(change("p1", 0, service("shop", 6)))).To(BeEquivalentTo(1))
	})

	It("returns the first outcome for a repeated publication, however late", func() {
		n.mustPublish(change("p1", 0, service("shop", 6)))
		n.mustPublish(change("p2", 0, service("shop", 7)))
		Expect(n.mustPublish(change("p1", 0, service("shop", 6)))).To(BeEquivalentTo(1))
		Expect(p.commits).To(Equal(2))
	})

	It("reports an unknown outcome when the platform stays down", func() {
		n = startNode(p, func(s *Settings) { s.PublishTimeout = kernel.Span(time.Second) })
		p.update(func() { p.loseResponses, p.downAfter = 1, true })
		_, err := n.publish(change("p1", 0, service("shop", 6)))
		Expect(result.Of(err)).To(BeIdenticalTo(result.PlatformUnknown))
		p.update(func() { p.down = false })
		Expect(n.mustPublish(change("p1", 0, service("shop", 6)))).To(BeEquivalentTo(1))
		Expect(p.commits).To(Equal(1))
	})

	// Guards against the silent loss of one of two concurrent changes.
	DescribeTable("merges or refuses concurrent changes", func(mine mesh.Record, code *result.Code, version mesh.Version) {
		n.mustPublish(change("p1", 0, service("shop", 6), service("billing", 6)))
		other := startNode(p)
		p.update(func() {
			p.beforeWrite = func() { other.mustPublish(change("p2", 1, service("shop", 7))) }
		})
		published, err := n.publish(change("p3", 0, mine))
		Expect(result.Of(err)).To(BeIdenticalTo(code))
		Expect(published).To(Equal(port.Published{Version: version, Merged: err == nil}))
		newest, err := n.version(0)
		Expect(err).NotTo(HaveOccurred())
		Expect(newest.Services["shop"].Slots).To(Equal(7))
	},
		Entry("without overlap", service("billing", 8), result.OK, mesh.Version(3)),
		Entry("with overlap", service("shop", 8), result.Conflict, mesh.Version(0)),
	)

	It("merges a change that was made against an older version", func() {
		n.mustPublish(change("p1", 0, service("shop", 6), service("billing", 6)))
		n.mustPublish(change("p2", 1, service("shop", 7)))
		published, err := n.publish(change("p3", 1, service("billing", 8)))
		Expect(err).NotTo(HaveOccurred())
		Expect(published).To(Equal(port.Published{Version: 3, Merged: true}))
		_, err = n.publish(change("p4", 9, service("billing", 9)))
		Expect(result.Of(err)).To(BeIdenticalTo(result.UnknownVersion))
	})

	It("refuses to build on a stale object", func() {
		p.freeze()
		n.mustPublish(change("p1", 0, service("shop", 6)))
		_, err := n.publish(change("p2", 0, service("shop", 7)))
		Expect(result.Of(err)).To(BeIdenticalTo(result.StaleObject))
		Expect(p.commits).To(Equal(1))
	})

	It("does not delay the head reader on a slow platform", func() {
		n.mustPublish(change("p1", 0, service("shop", 6)))
		stall := make(chan struct{})
		p.update(func() { p.stall = stall })
		done := make(chan error, 1)
		go func() {
			_, err := n.publish(change("p2", 0, service("shop", 7)))
			done <- err
		}()
		for range 3 {
			Eventually(n.Heads.C(), "10s").Should(Receive())
		}
		Expect(done).NotTo(Receive())
		close(stall)
		Eventually(done, "10s").Should(Receive(BeNil()))
	})
})

var _ = Describe("head reader", func() {
	var p *platform
	BeforeEach(func() { p = newPlatform() })

	next := func(n *node) port.HeadReport {
		GinkgoHelper()
		var report port.HeadReport
		Eventually(n.Heads.C(), "10s").Should(Receive(&report))
		return report
	}
	put := func(v mesh.Version, records ...mesh.Record) port.ConfigHead {
		GinkgoHelper()
		content, err := config.Encode(records)
		Expect(err).NotTo(HaveOccurred())
		digest := config.DigestOf(content)
		value, err := json.Marshal(headRow{Version: v, Object: config.ObjectKey(digest)})
		Expect(err).NotTo(HaveOccurred())
		p.update(func() {
			p.revision++
			p.objects[config.ObjectKey(digest)] = content
			p.rows["config/head"] = port.Row{Key: "head", Value: value, Revision: p.revision}
		})
		return port.ConfigHead{Version: v, Digest: digest}
	}

	It("reports that nothing was published", func() {
		report := next(startNode(p))
		Expect(report.Err).NotTo(HaveOccurred())
		Expect(report.Head).To(Equal(port.ConfigHead{}))
	})

	It("sends the content of a new version once, until it is in force", func() {
		head := put(3, service("shop", 6))
		n := startNode(p)
		first := next(n)
		Expect(first.Head).To(Equal(head))
		Expect(config.DigestOf(first.Content)).To(Equal(head.Digest))
		second := next(n)
		Expect(second.Head).To(Equal(head))
		Expect(second.Content).To(BeNil())
	})

	It("distinguishes an outage from a stale object store", func() {
		p.freeze()
		head := put(3, service("shop", 6))
		n := startNode(p)
		stale := next(n)
		Expect(result.Of(stale.Err)).To(BeIdenticalTo(result.StaleObject))
		Expect(stale.Head).To(Equal(head))
		p.update(func() { p.down = true })
		Eventually(func() *result.Code {
			report := next(n)
			Expect(report.Head.Version == 0).To(Equal(result.Of(report.Err) == result.PlatformDown))
			return result.Of(report.Err)
		}).Should(BeIdenticalTo(result.PlatformDown))
	})

	It("does not read when other nodes are the zone's readers and confirm the head", func() {
		n := startNode(p)
		view := &mesh.View{Self: "n1"}
		for i := 2; config.IsReader(view, mesh.Identity{Node: "n1", Zone: "a"}); i++ {
			view.Members = append(view.Members, mesh.Member{Node: mesh.NodeID(fmt.Sprint("n", i)), Zone: "a", State: mesh.NodeAlive})
		}
		n.View.Store(view)
		n.Status.Store(&port.ConfigStatus{HeadConfirmed: time.Now().Add(time.Hour)})
		for len(n.Heads.C()) > 0 {
			<-n.Heads.C()
		}
		Eventually(n.Heads.Len).Should(BeNumerically("<=", 1))
		Consistently(n.Heads.Len, "500ms").Should(BeNumerically("<=", 1))
	})
})

var _ = Describe("Settings", func() {
	// Guards against settings that overload the platform or delay changes without
	// limit.
	DescribeTable("are refused out of range", func(adjust func(*Settings), key string) {
		s := defaults()
		Expect(s.Validate()).To(Succeed())
		adjust(s)
		Expect(s.Validate()).To(MatchError(ContainSubstring(key)))
	},
		Entry(nil, func(s *Settings) { s.Interval = kernel.Span(99 * time.Millisecond) }, "interval"),
		Entry(nil, func(s *Settings) { s.Interval = kernel.Span(11 * time.Second) }, "interval"),
		Entry(nil, func(s *Settings) { s.FallbackMax = kernel.Span(time.Second) }, "fallback_max"),
	)
})
