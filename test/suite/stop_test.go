package suite

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/test/harness"
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
		_, body := c.Operate(c.Nodes[0], "GET", "/v1/status", "")
		Expect(body).To(ContainSubstring(`"left"`))
	})
})
