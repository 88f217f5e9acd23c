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

// Guards against a stop of a node that cuts off a slow upload from the field.
var _ = DescribeTable("SIGTERM does not interrupt a slow upload", func(leaving func(c *harness.Cluster) *harness.Node) {
	c := harness.NewCluster(harness.New(GinkgoT()), 1, "n0", "n1")
	c.Start()
	c.WaitListening()
	upstream := c.H.StartUpstream("u1", "stock", "v1", c.Nodes[1].Announce)
	applied(c, "first")

	body, writer := io.Pipe()
	replies := make(chan reply, 1)
	go func() {
		defer GinkgoRecover()
		request, err := http.NewRequest(http.MethodPut, "http://"+c.Nodes[0].Callers+"/upload/sheet", body)
		Expect(err).NotTo(HaveOccurred())
		answer, err := caller.Do(request)
		if err != nil {
			replies <- reply{err: err}
			return
		}
		defer answer.Body.Close()
		content, err := io.ReadAll(answer.Body)
		replies <- reply{status: answer.StatusCode, body: content, err: err}
	}()
	part := bytes.Repeat([]byte("x"), 200<<10)
	_, err := writer.Write(part)
	Expect(err).NotTo(HaveOccurred())
	Eventually(func() int {
		return upstream.CountBegan(func(c standin.Call) bool { return c.Path == "/upload/sheet" })
	}, harness.Deadline).Should(Equal(1))

	node := leaving(c)
	node.Terminate()
	Consistently(node.Exited(), "2s").ShouldNot(BeClosed(), "the node ended before its call")
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
	Entry("through the entry node that leaves", func(c *harness.Cluster) *harness.Node { return c.Nodes[0] }),
	Entry("to the owner node that leaves", func(c *harness.Cluster) *harness.Node { return c.Nodes[1] }),
)
