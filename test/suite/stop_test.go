package suite

import (
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/test/harness"
	"teaselring/test/standin"
)

// Guards against an idle node that delays a rolling restart.
var _ = Describe("an idle node", func() {
	It("exits at the first SIGTERM and is shown as left by other nodes", func() {
		c := harness.NewCluster(harness.New(GinkgoT()), 2, nodeNames(3)...)
		c.Start()
		c.WaitListening()
		awaitAllAlive(c)
		began := time.Now()
		c.Nodes[2].Stop()
		GinkgoWriter.Printf("stopped after %v\n", time.Since(began))
		Expect(c.Nodes[2].ExitCode()).To(Equal(0))
		_, body := c.SendOperatorRequest(c.Nodes[0], "GET", "/v1/status", "")
		Expect(body).To(ContainSubstring(`"left"`))
	})
})

// An operator who cannot wait for a slow call sends a second SIGTERM. The caller must
// get a response, not a broken connection.
var _ = Describe("a second SIGTERM", func() {
	It("ends a call in progress with the answer that it may have run", func() {
		c := harness.NewCluster(harness.New(GinkgoT()), 1, nodeNames(2)...)
		c.Start()
		c.WaitListening()
		awaitAllAlive(c)
		upstream := c.H.StartUpstream("u", "stock", "v1", c.Nodes[1].Announce)
		applyRecords(c, "p1")
		upstream.Control(map[string]any{"service_ms": 20_000})
		replies := make(chan reply, 1)
		go func() {
			defer GinkgoRecover()
			replies <- call(c.Nodes[0], "GET", "/stock/slow", "", nil)
		}()
		c.H.WaitUntil("the call to begin", func() error {
			if upstream.CountBegan(func(s standin.Call) bool { return s.Path == "/stock/slow" }) == 0 {
				return errors.New("not yet")
			}
			return nil
		})
		c.Nodes[0].Terminate()
		Consistently(replies, time.Second).ShouldNot(Receive())
		c.Nodes[0].Terminate()
		var r reply
		Eventually(replies, harness.Deadline).Should(Receive(&r))
		Expect(r.code).To(Equal("1023"), "%v %s", r.err, r.body)
		<-c.Nodes[0].Exited()
	})
})
