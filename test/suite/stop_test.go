package suite

import (
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/test/harness"
	"teaselring/test/standin"
)

// An idle node must not make a rolling restart wait.
var _ = Describe("an idle node", func() {
	It("ends at the first SIGTERM and tells the others that it left", func() {
		c := harness.NewCluster(harness.New(GinkgoT()), 2, names(3)...)
		c.Start()
		c.WaitListening()
		untilKnown(c)
		began := time.Now()
		c.Nodes[2].Stop()
		GinkgoWriter.Printf("stopped after %v\n", time.Since(began))
		Expect(c.Nodes[2].ExitCode()).To(Equal(0))
		_, body := c.SendOperatorRequest(c.Nodes[0], "GET", "/v1/status", "")
		Expect(body).To(ContainSubstring(`"left"`))
	})
})

// A crew that can't wait for a slow call must not leave its caller with a
// broken connection and no answer.
var _ = Describe("a second SIGTERM", func() {
	It("ends a call in progress with the answer that it may have run", func() {
		c := harness.NewCluster(harness.New(GinkgoT()), 1, names(2)...)
		c.Start()
		c.WaitListening()
		untilKnown(c)
		upstream := c.H.StartUpstream("u", "stock", "v1", c.Nodes[1].Announce)
		applied(c, "p1")
		upstream.Control(map[string]any{"service_ms": 20_000})
		answered := make(chan reply, 1)
		go func() {
			defer GinkgoRecover()
			answered <- call(c.Nodes[0], "GET", "/stock/slow", "", nil)
		}()
		c.H.WaitUntil("the call to begin", func() error {
			if upstream.CountBegan(func(s standin.Call) bool { return s.Path == "/stock/slow" }) == 0 {
				return errors.New("not yet")
			}
			return nil
		})
		c.Nodes[0].Terminate()
		Consistently(answered, time.Second).ShouldNot(Receive())
		c.Nodes[0].Terminate()
		var r reply
		Eventually(answered, harness.Deadline).Should(Receive(&r))
		Expect(r.code).To(Equal("1023"), "%v %s", r.err, r.body)
		<-c.Nodes[0].Exited()
	})
})
