package suite

import (
	"fmt"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/test/harness"
)

// Guards against a connection between nodes that has gone silent and keeps its
// calls until their deadline, which is 30 s away here.
var _ = Describe("open connections that go silent while new ones work", func() {
	It("end their calls before the deadline, and the next call uses a fresh connection", func() {
		c := harness.NewCluster(harness.New(GinkgoT()), 1, "n0", "n1")
		proxy := c.Proxy(c.Nodes[1])
		c.Start()
		c.WaitListening()
		c.H.StartUpstream("u1", "stock", "v1", c.Nodes[1].Announce)
		status, body := c.Apply(c.Nodes[0], "slow", strings.ReplaceAll(records, `"5s"`, `"30s"`))
		Expect(status).To(Equal(http.StatusOK), body)
		c.H.WaitUntil("a call through n0", func() error {
			if r := call(c.Nodes[0], "GET", "/stock/ready", "", nil); r.status != http.StatusOK {
				return errStatus(r)
			}
			return nil
		})
		proxy.SilenceOpen(harness.BothDirections...)
		// What became of a call on the silent connection is known before its
		// deadline: it is answered, lost, or proven not to have begun. In the last
		// case another upstream would get it, but there is none here.
		r := call(c.Nodes[0], "GET", "/stock/first", "", nil)
		Expect(r.err).NotTo(HaveOccurred())
		Expect(r.code).To(Or(BeEmpty(), Equal("1002"), Equal("1008"), Equal("1009")), string(r.body))
		c.H.WaitUntil("a call over a fresh connection", func() error {
			if r := call(c.Nodes[0], "GET", "/stock/second", "", nil); r.status != http.StatusOK {
				return errStatus(r)
			}
			return nil
		})
	})
})

func errStatus(r reply) error {
	return fmt.Errorf("status %d, code %s, %v: %s", r.status, r.code, r.err, r.body)
}
