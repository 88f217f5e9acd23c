package suite

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/test/harness"
)

// Guards against a repeated publication that reverts later changes of other
// operators. Comparing the content alone would not detect the repetition.
var _ = Describe("a publication", func() {
	It("is not written again when it is repeated through another node after a later change", func() {
		c := harness.NewCluster(harness.New(GinkgoT()), 2, nodeNames(2)...)
		c.Start()
		c.WaitListening()
		awaitAllAlive(c)
		mustApply(c, c.Nodes[0], "p1", serviceRecord("stock", 1))
		mustApply(c, c.Nodes[0], "p2", serviceRecord("stock", 2))
		status, body := c.Apply(c.Nodes[1], "p1", serviceRecord("stock", 1))
		Expect(status).To(Equal(http.StatusOK), body)
		Expect(body).To(ContainSubstring(`"version":1`))
		awaitVersion(c, 2, c.Nodes...)
		_, text := c.SendOperatorRequest(c.Nodes[0], http.MethodGet, "/v1/records", "")
		Expect(text).To(ContainSubstring("queue = 2"))
	})
})
