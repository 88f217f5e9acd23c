package rollout

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/mesh"
	"teaselring/result"
)

func TestRollout(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "rollout")
}

var (
	start = time.Unix(1000, 0)
	order = mesh.Order{Service: "s", Target: "v2", Duration: 16 * time.Second, Revision: 9}
)

func view(versions ...mesh.UpstreamVersion) *mesh.View {
	v := &mesh.View{}
	for i, version := range versions {
		v.Members = append(v.Members, mesh.Member{
			Node: mesh.NodeID(rune('a' + i)), State: mesh.NodeAlive,
			Endpoint: mesh.Endpoint{Service: "s", Version: version, State: mesh.EndpointReady},
		})
	}
	return v
}

var _ = DescribeTable("the version in use when an order begins",
	func(before *mesh.Rollout, v *mesh.View, want mesh.UpstreamVersion) {
		r := Begin(&order, before, v, time.Minute)
		Expect(r.Old).To(Equal(want))
		Expect(r.New).To(BeEquivalentTo("v2"))
	},
	Entry("is that of most servers", nil, view("v1", "v2", "v2"), mesh.UpstreamVersion("v1")),
	Entry("is what the last move brought", &mesh.Rollout{Old: "v0", New: "v1", Phase: mesh.MoveDone}, view("v0"), mesh.UpstreamVersion("v1")),
	Entry("is what the last move went back to", &mesh.Rollout{Old: "v0", New: "v1", Phase: mesh.MoveTakenBack}, view("v1"), mesh.UpstreamVersion("v0")),
	Entry("is kept when an order replaces one in progress", &mesh.Rollout{Old: "v0", New: "v1", Phase: mesh.MoveShifting}, view("v1"), mesh.UpstreamVersion("v0")),
)

var _ = Describe("the share of a new version", func() {
	r := Begin(&order, nil, view("v1"), time.Minute)

	// The platform lets a bad version get a tenth of the requests. One that is bad only
	// under load shows when it gets all calls; it was noticed after that tenth.
	It("leaves time to notice a fault under full load before a tenth of the calls", func() {
		const step = 10 * time.Millisecond
		sum, full := 0.0, time.Duration(0)
		for at := time.Duration(0); sum < 0.1; at += step {
			share := Share(&r, r.Started+at)
			sum += float64(step) / float64(order.Duration) * share
			if share == 1 {
				full += step
			}
		}
		Expect(full).To(BeNumerically(">=", order.Duration/20), "some reports of the nodes at 16 s")
	})

	It("is all when the move is due, and final after its end", func() {
		due := r.Started + 14*time.Second
		Expect(Due(&r, due)).To(BeTrue())
		Expect(Share(&r, due)).To(Equal(1.0))
		r.Phase = mesh.MoveTakenBack
		Expect(Share(&r, due)).To(BeZero())
		Expect(Due(&r, due)).To(BeFalse())
	})

	It("is taken back when no server of the new version is ready at the end", func() {
		phase, _ := Ending(&r, view("v1", "v1"))
		Expect(phase).To(Equal(mesh.MoveTakenBack))
		phase, _ = Ending(&r, view("v1", "v2"))
		Expect(phase).To(Equal(mesh.MoveDone))
	})
})

const aim = 200 * time.Millisecond

// feed adds what a node observed of some calls of a version, the first ones failed.
func feed(e *Evidence, version mesh.UpstreamVersion, route mesh.RouteID, calls, failed int, took time.Duration, now time.Time) {
	own := NewEvidence()
	own.seen = e.seen
	observe(own, version, route, calls, failed, took, now)
	e.Add(own.Take(), now)
}

// observe observes calls of a version, the first ones failed.
func observe(e *Evidence, version mesh.UpstreamVersion, route mesh.RouteID, calls, failed int, took time.Duration, now time.Time) {
	r := Begin(&order, nil, view("v1"), 0)
	for i := range calls {
		e.Observe(&r, &mesh.Outcome{
			Target: mesh.Target{Node: "n", Service: "s", Version: version}, Route: route, Status: 200, Failed: i < failed, Duration: took,
			Aim: aim,
		}, now)
	}
}

var _ = Describe("the evidence about a new version", func() {
	It("shows failures that the old version does not have", func() {
		e := NewEvidence()
		feed(e, "v1", "x", 100, 2, time.Second, start)
		feed(e, "v2", "x", 10, 2, time.Second, start)
		Expect(e.Bad(start)).To(BeEmpty(), "two failures may be chance")
		feed(e, "v2", "x", 3, 3, time.Second, start)
		Expect(e.Bad(start)).To(ContainSubstring("5 of 13 calls failed"))
	})

	It("shows failures on one route behind a good average", func() {
		e := NewEvidence()
		feed(e, "v1", "x", 100, 0, time.Second, start)
		feed(e, "v1", "y", 10, 0, time.Second, start)
		feed(e, "v2", "x", 90, 0, time.Second, start)
		feed(e, "v2", "y", 4, 4, time.Second, start)
		Expect(e.Bad(start)).To(ContainSubstring(`route "y"`))
	})

	It("shows badness that begins late", func() {
		e := NewEvidence()
		feed(e, "v1", "x", 10, 0, time.Second, start.Add(-20*time.Second))
		for range 100 {
			start := start.Add(-10 * time.Second)
			feed(e, "v2", "x", 10, 0, time.Second, start)
		}
		feed(e, "v2", "x", 6, 3, time.Second, start)
		Expect(e.Bad(start)).NotTo(BeEmpty())
	})

	It("does not take failures that both versions have for badness", func() {
		e := NewEvidence()
		feed(e, "v1", "x", 100, 40, time.Second, start)
		feed(e, "v2", "x", 10, 5, time.Second, start)
		Expect(e.Bad(start)).To(BeEmpty())
	})

	It("shows slow answers, but not those of servers that have just started", func() {
		e, later := NewEvidence(), start.Add(coldSpan)
		feed(e, "v2", "x", 20, 0, 8*time.Second, start)
		feed(e, "v1", "x", 20, 0, time.Second, start)
		Expect(e.Bad(start)).To(BeEmpty())
		feed(e, "v1", "x", 20, 0, time.Second, later)
		feed(e, "v2", "x", 20, 0, 8*time.Second, later)
		Expect(e.Bad(later)).To(ContainSubstring("on average"))
	})

	// In a large mesh most calls to a new version's servers are a node's first ones to
	// them. Their times were ignored until the version got all calls.
	It("counts a server from when it is known, anew for each start", func() {
		e := NewEvidence()
		known := view("v2")
		known.Members[0].Node = "n"
		e.See(known, "s", start)
		later := start.Add(coldSpan)
		feed(e, "v1", "x", 20, 0, time.Second, later)
		known.Members[0].Endpoint.Process = "restarted"
		restarted := NewEvidence()
		restarted.See(known, "s", later)
		observe(restarted, "v2", "x", 8, 0, 8*time.Second, later)
		e.Add(restarted.Take(), later)
		Expect(e.Bad(later)).To(BeEmpty())
		feed(e, "v2", "x", 8, 0, 8*time.Second, later)
		Expect(e.Bad(later)).To(ContainSubstring("on average"))
	})

	// 3 of 13 failed while 19 of 337 of the old version did: a good version was taken
	// back in overload.
	It("leaves room for chance when the old version fails too", func() {
		e := NewEvidence()
		feed(e, "v1", "x", 337, 19, time.Second, start)
		feed(e, "v2", "x", 13, 3, time.Second, start)
		Expect(e.Bad(start)).To(BeEmpty())
		feed(e, "v2", "x", 5, 5, time.Second, start)
		Expect(e.Bad(start)).NotTo(BeEmpty())
	})

	// Eight calls, seven of them of the longest route, took a good version back: they
	// were compared with the average of the old version's calls on all routes.
	It("does not take another mix of routes for slowness or failures", func() {
		e, later := NewEvidence(), start.Add(coldSpan)
		feed(e, "v2", "short", 1, 0, 40*time.Millisecond, start)
		feed(e, "v1", "short", 50, 0, 40*time.Millisecond, later)
		feed(e, "v1", "long", 12, 3, 600*time.Millisecond, later)
		feed(e, "v2", "short", 1, 0, 40*time.Millisecond, later)
		feed(e, "v2", "long", 11, 4, 600*time.Millisecond, later)
		Expect(e.Bad(later)).To(BeEmpty())
		feed(e, "v2", "long", 8, 0, 8*time.Second, later)
		Expect(e.Bad(later)).NotTo(BeEmpty())
	})

	// Calls of a millisecond that wait for a slot now and then took good versions back,
	// also when few other calls had been answered.
	It("does not take waits of calls with next to no work for slowness", func() {
		e, later := NewEvidence(), start.Add(coldSpan)
		feed(e, "v2", "brief", 1, 0, time.Millisecond, start)
		feed(e, "v1", "brief", 20, 0, 2*time.Millisecond, later)
		feed(e, "v2", "brief", 20, 0, 40*time.Millisecond, later)
		Expect(e.Bad(later)).To(BeEmpty())
	})

	It("shows slow answers on one route of several", func() {
		e, later := NewEvidence(), start.Add(coldSpan)
		feed(e, "v2", "x", 1, 0, 200*time.Millisecond, start)
		for _, v := range []mesh.UpstreamVersion{"v1", "v2"} {
			feed(e, v, "x", 90, 0, 200*time.Millisecond, later)
		}
		feed(e, "v1", "y", 10, 0, 40*time.Millisecond, later)
		feed(e, "v2", "y", 10, 0, 320*time.Millisecond, later)
		Expect(e.Bad(later)).To(ContainSubstring(`route "y"`))
	})

	It("is judged by the binomial distribution", func() {
		Expect(tail(3, 3, 0.5)).To(BeNumerically("~", 0.125, 1e-9))
		Expect(tail(10, 1, 0.1)).To(BeNumerically("~", 0.6513215599, 1e-9))
		Expect(tail(500, 400, 0.03)).To(BeNumerically("<", 1e-9))
		Expect(tail(5, 3, 1)).To(BeNumerically("~", 1, 1e-9))
	})

	It("of several nodes adds up, and each report counts once", func() {
		a, pooled := NewEvidence(), NewEvidence()
		observe(a, "v1", "x", 20, 0, time.Second, start)
		observe(a, "v2", "x", 2, 2, time.Second, start)
		pooled.Add(a.Take(), start)
		Expect(a.Take()).To(BeEmpty())
		observe(a, "v2", "x", 2, 2, time.Second, start)
		Expect(pooled.Bad(start)).To(BeEmpty())
		pooled.Add(a.Take(), start)
		Expect(pooled.Bad(start)).NotTo(BeEmpty())
	})

	// Requests that only test a configuration fail whatever the version. Once the new
	// version had all calls, three of them took a good version back.
	It("needs calls of the old version on the route, be they some time ago", func() {
		e, later := NewEvidence(), start.Add(10*time.Second)
		feed(e, "v1", "x", 20, 0, time.Second, start)
		feed(e, "v1", "tests", 6, 6, time.Second, start)
		feed(e, "v2", "x", 50, 0, time.Second, later)
		feed(e, "v2", "tests", 3, 3, time.Second, later)
		feed(e, "v2", "unknown", 3, 3, time.Second, later)
		Expect(e.Bad(later)).To(BeEmpty())
		feed(e, "v2", "x", 10, 9, time.Second, later)
		Expect(e.Bad(later)).NotTo(BeEmpty())
	})

	It("does not count what is not the server's doing", func() {
		for _, o := range []mesh.Outcome{
			{Code: result.ConnectFailed.Number, Failed: true}, {Code: result.QueueFull.Number, Shed: true}, {Code: result.CallerGone.Number},
		} {
			Expect(telling(&o)).To(BeFalse())
		}
	})
})
