package suite

import (
	"bytes"
	"io"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/test/harness"
	"teaselring/test/standin"
)

// Guards against a node that interrupts a slow upload when it stops.
var _ = DescribeTable("SIGTERM does not interrupt a slow upload", func(choose func(c *harness.Cluster) *harness.Node) {
	c := harness.NewCluster(harness.New(GinkgoT()), 1, "n0", "n1")
	c.Start()
	c.WaitListening()
	upstream := c.H.StartUpstream("u1", "stock", "v1", c.Nodes[1].Announce)
	applyRecords(c, "first")

	body, writer := io.Pipe()
	replies := make(chan reply, 1)
	go func() {
		defer GinkgoRecover()
		request, err := http.NewRequest(http.MethodPut, "http://"+c.Nodes[0].Callers+"/upload/sheet", body)
		Expect(err).NotTo(HaveOccurred())
		response, err := httpClient.Do(request)
		if err != nil {
			replies <- reply{err: err}
			return
		}
		defer response.Body.Close()
		content, err := io.ReadAll(response.Body)
		replies <- reply{status: response.StatusCode, body: content, err: err}
	}()
	part := bytes.Repeat([]byte("x"), 200<<10)
	_, err := writer.Write(part)
	Expect(err).NotTo(HaveOccurred())
	Eventually(func() int {
		return upstream.CountBegan(func(c standin.Call) bool { return c.Path == "/upload/sheet" })
	}, harness.Deadline).Should(Equal(1))

	node := choose(c)
	node.Terminate()
	Consistently(node.Exited(), "2s").ShouldNot(BeClosed(), "the node exited before its call ended")
	_, err = writer.Write(part)
	Expect(err).NotTo(HaveOccurred())
	Expect(writer.Close()).To(Succeed())
	var r reply
	Eventually(replies, harness.Deadline).Should(Receive(&r))
	Expect(r.err).NotTo(HaveOccurred())
	Expect(r.status).To(Equal(http.StatusOK), string(r.body))
	Expect(r.body).To(HaveLen(2*len(part)), "the upstream echoes the upload")
	Expect(node.ExitCode()).To(BeZero())
},
	Entry("through the stopping entry node", func(c *harness.Cluster) *harness.Node { return c.Nodes[0] }),
	Entry("to the stopping owner node", func(c *harness.Cluster) *harness.Node { return c.Nodes[1] }),
)
