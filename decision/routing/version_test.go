package routing

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/mesh"
	"teaselring/result"
)

var _ = Describe("Versions", func() {
	split := func(share float64, routes ...mesh.RouteID) *mesh.Splits {
		return &mesh.Splits{ByService: map[mesh.ServiceID]mesh.Split{
			"stock": {Move: "m", Old: "v1", New: "v2", Share: share, Routes: routes},
		}}
	}
	share := func(f *fixture, splits *mesh.Splits, route mesh.RouteID) float64 {
		const calls = 20000
		count := 0
		for range calls {
			q := &Query{Call: &mesh.Call{Service: "stock", Route: route}, Draw: f.rnd.Uint64()}
			t, err := f.Pick(q, splits, f.rnd, start)
			Expect(err).NotTo(HaveOccurred())
			if t.Version == "v2" {
				count++
			}
		}
		return float64(count) / calls
	}
	both := func() *fixture { return routerWith(member("a a1 v1"), member("b a1 v1"), member("c a1 v2")) }

	DescribeTable("the share of the new version",
		func(splits *mesh.Splits, route mesh.RouteID, want float64) {
			Expect(share(both(), splits, route)).To(BeNumerically("~", want, 0.01))
		},
		Entry("small", split(0.05), mesh.RouteID("r"), 0.05),
		Entry("none", split(0), mesh.RouteID("r"), 0.0),
		Entry("full", split(1), mesh.RouteID("r"), 1.0),
		Entry("a route outside the move", split(0.5, "x"), mesh.RouteID("r"), 0.0),
		Entry("no move declared", nil, mesh.RouteID("r"), 0.0),
	)

	It("keeps the version of a call across its retries", func() {
		f := routerWith(member("a a1 v1"), member("b a1 v1"), member("c a1 v2"), member("d a1 v2"))
		for range 200 {
			q := &Query{Call: &mesh.Call{Service: "stock"}, Draw: f.rnd.Uint64()}
			first, _ := f.Pick(q, split(0.5), f.rnd, start)
			q.Tried = []mesh.NodeID{first.Node}
			second, err := f.Pick(q, split(0.5), f.rnd, start)
			Expect(err).NotTo(HaveOccurred())
			Expect(second.Version).To(Equal(first.Version))
		}
	})

	It("falls back to the old version but never exceeds the share of the new one", func() {
		f := routerWith(member("a a1 v1"))
		Expect(share(f, split(0.5), "r")).To(BeZero())
		f = routerWith(member("a a1 v2"))
		refused := 0
		for range 1000 {
			_, err := f.Pick(&Query{Call: &mesh.Call{Service: "stock"}, Draw: f.rnd.Uint64()}, split(0.05), f.rnd, start)
			if result.Of(err) == result.NoEndpoint {
				refused++
			}
		}
		Expect(refused).To(BeNumerically("~", 950, 30))
	})

	It("sends nothing to a version announced before its move while the old one has endpoints", func() {
		f := routerWith(member("a a1 v1"))
		f.SetView(viewOf(member("a a1 v1"), member("b a1 v2"), member("c a1 v2")))
		Expect(share(f, nil, "r")).To(BeZero())
		f.SetView(viewOf(member("b a1 v2"), member("c a1 v2")))
		Expect(share(f, nil, "r")).To(Equal(1.0))
	})

	It("derives one draw for all attempts of a call, uniformly distributed over calls", func() {
		low := 0
		for i := range 10000 {
			c := &mesh.Call{Deadline: start.Add(time.Duration(i) * time.Microsecond), Fingerprint: 9, Caller: "shop"}
			Expect(CallDraw(3, c)).To(Equal(CallDraw(3, c)))
			if unit(CallDraw(3, c)) < 0.05 {
				low++
			}
		}
		Expect(low).To(BeNumerically("~", 500, 70))
	})
})
