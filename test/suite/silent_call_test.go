package suite

import (
	"fmt"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/test/harness"
)

// Guards against a silent connection between nodes that blocks its calls until
// their deadline, which is 30 s here.
var _ = Describe("open connections that go silent while new ones work", func() {
	It("end their calls before the deadline, and the next call uses a new connection", func() {
		c := harness.NewCluster(harness.New(GinkgoT()), 1, "n0", "n1")
		proxy := c.Proxy(c.Nodes[1])
		c.Start()
		c.WaitListening()
		c.H.StartUpstream("u1", "stock", "v1", c.Nodes[1].Announce)
		status, body := c.Apply(c.Nodes[0], "slow", strings.ReplaceAll(records, `"5s"`, `"30s"`))
		Expect(status).To(Equal(http.StatusOK), body)
		c.H.WaitUntil("a call through n0", func() error {
			if r := call(c.Nodes[0], "GET", "/stock/ready", "", nil); r.status != http.StatusOK {
				return statusError(r)
			}
			return nil
		})
		proxy.SilenceOpen(harness.BothDirections...)
		// A call on the silent connection ends before its deadline: answered, lost, or
		// proven not to have begun. In the last case it would be retried on another
		// upstream, but there is none here.
		r := call(c.Nodes[0], "GET", "/stock/first", "", nil)
		Expect(r.err).NotTo(HaveOccurred())
		Expect(r.code).To(Or(BeEmpty(), Equal("1002"), Equal("1008"), Equal("1009")), string(r.body))
		c.H.WaitUntil("a call over a new connection", func() error {
			if r := call(c.Nodes[0], "GET", "/stock/second", "", nil); r.status != http.StatusOK {
				return statusError(r)
			}
			return nil
		})
	})
})

func statusError(r reply) error {
	return fmt.Errorf("status %d, code %s, %v: %s", r.status, r.code, r.err, r.body)
}
