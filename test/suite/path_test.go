package suite

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/test/harness"
)

// The whole path: records reach every node through the platform, upstreams
// announce themselves to the node beside them, and a call that enters anywhere
// runs once and is answered whole.
var _ = Describe("a call", func() {
	It("enters at any node, runs once on an upstream beside another and is answered whole", func() {
		c := harness.NewCluster(harness.New(GinkgoT()), 3, "n0", "n1", "n2")
		c.Start()
		c.WaitListening()
		upstream := c.H.StartUpstream("u1", "stock", "v1", c.Nodes[1].Announce)
		applied(c, "first")

		for i, n := range c.Nodes {
			key := "filing-" + n.Name
			body := []byte("transfer of 12 ML")
			r := call(n, "POST", "/filing/transfer", key, body)
			Expect(r.err).NotTo(HaveOccurred())
			Expect(r.status).To(Equal(http.StatusOK), "node %d: %s %s", i, r.code, r.body)
			Expect(upstream.CountBegan(withKey(key))).To(Equal(1))

			again := call(c.Nodes[(i+1)%3], "POST", "/filing/transfer", key, body)
			Expect(again.code).To(Or(Equal("1014"), Equal("1015")), string(again.body))
			Expect(upstream.CountBegan(withKey(key))).To(Equal(1))
		}
	})
})
