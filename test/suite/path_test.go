package suite

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/test/harness"
)

// Covers the whole path: records reach every node through the platform, an upstream
// announces itself to its local node, and a call that enters at any node runs once
// and gets a complete response.
var _ = Describe("a call", func() {
	It("enters at any node, runs once on the upstream of another and gets a complete response", func() {
		c := harness.NewCluster(harness.New(GinkgoT()), 3, "n0", "n1", "n2")
		c.Start()
		c.WaitListening()
		upstream := c.H.StartUpstream("u1", "stock", "v1", c.Nodes[1].Announce)
		applyRecords(c, "first")

		for i, n := range c.Nodes {
			key := "filing-" + n.Name
			body := []byte("transfer of 12 ML")
			r := call(n, "POST", "/filing/transfer", key, body)
			Expect(r.err).NotTo(HaveOccurred())
			Expect(r.status).To(Equal(http.StatusOK), "node %d: %s %s", i, r.code, r.body)
			Expect(upstream.CountBegan(withKey(key))).To(Equal(1))

			repeated := call(c.Nodes[(i+1)%3], "POST", "/filing/transfer", key, body)
			Expect(repeated.code).To(Or(Equal("1014"), Equal("1015")), string(repeated.body))
			Expect(upstream.CountBegan(withKey(key))).To(Equal(1))
		}
	})
})
