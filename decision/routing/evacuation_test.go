package routing

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/mesh"
	"teaselring/result"
)

// Guards against calls to a zone that is being evacuated, and to a region that the
// configuration does not allow for the route or the account.
var _ = DescribeTable("the endpoints that a call may reach",
	func(q Query, want mesh.NodeID) {
		r := nearAndFar()
		q.Call.Service = "s"
		t, err := r.Pick(&q, nil, rand.New(rand.NewPCG(1, 1)), time.Unix(1000, 0))
		if want == "" {
			Expect(result.Of(err)).To(Equal(result.NoEndpoint))
			return
		}
		Expect(err).NotTo(HaveOccurred())
		Expect(t.Node).To(Equal(want))
		Expect(t.Spillover).To(BeFalse(), "its own zone has no endpoint for it")
	},
	Entry("with its own zone evacuated", Query{Call: &mesh.Call{}, Evacuated: []mesh.Zone{"a"}}, mesh.NodeID("far")),
	Entry("with the other zone evacuated", Query{Call: &mesh.Call{}, Evacuated: []mesh.Zone{"b"}}, mesh.NodeID("near")),
	Entry("with both zones evacuated", Query{Call: &mesh.Call{}, Evacuated: []mesh.Zone{"a", "b"}}, mesh.NodeID("")),
	Entry("with a route for the region", Query{Call: &mesh.Call{Regions: mesh.AllowedRegions{Route: []mesh.Region{"r"}}}}, mesh.NodeID("near")),
	Entry("with an empty list of regions", Query{Call: &mesh.Call{Regions: mesh.AllowedRegions{Account: []mesh.Region{}}}}, mesh.NodeID("")),
	Entry("with an account for another region",
		Query{Call: &mesh.Call{Regions: mesh.AllowedRegions{Route: []mesh.Region{"r"}, Account: []mesh.Region{"q"}}}}, mesh.NodeID("")),
)
