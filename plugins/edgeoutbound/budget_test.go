package edgeoutbound

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/decision/budget"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/result"
)

var _ = Describe("a request beyond the memory budget", func() {
	connect := func(e *edge, bytes int64) (net.Conn, *bufio.Reader) {
		e.Budget = port.NewBudget(budget.NewPlan(budget.Limits{}))
		e.Budget.Door(budget.Outbound).Share.Bytes = bytes
		conn, err := net.Dial("tcp", e.socket.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		return conn, bufio.NewReader(conn)
	}

	// A 503 guarantees that the request has not run, so the call path must not get it.
	DescribeTable("is refused before it is run", func(request string) {
		var calls atomic.Int64
		_, e := startEdge(mesh.EdgeLimits{}, func(context.Context, *port.Request) *port.Response {
			calls.Add(1)
			return textResponse("")
		})
		conn, reader := connect(e, 20_000)
		_, err := io.WriteString(conn, request)
		Expect(err).NotTo(HaveOccurred())
		response, err := http.ReadResponse(reader, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(response.Header.Get(port.CodeHeader)).To(Equal(fmt.Sprint(result.Overloaded.Number)))
		Expect(response.Header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(response.Close).To(BeTrue())
		Expect(calls.Load()).To(BeZero())
	},
		Entry("with a body", "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 50000\r\n\r\n"+strings.Repeat("x", 50_000)),
		Entry("with many fields", "GET /1 HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a:\r\n", 1000)+"\r\n"),
	)

	// Guards against responses that pile up for a client that does not read.
	It("waits for the earlier responses when its own would not fit", func() {
		started := make(chan string, 2)
		release := make(chan struct{})
		_, e := startEdge(mesh.EdgeLimits{}, func(_ context.Context, r *port.Request) *port.Response {
			started <- r.URL.Path
			<-release
			return textResponse(r.URL.Path)
		})
		conn, reader := connect(e, maxHeldBytes)
		_, err := io.WriteString(conn, getRequest("/1")+getRequest("/2"))
		Expect(err).NotTo(HaveOccurred())
		Eventually(started, "5s").Should(Receive(Equal("/1")))
		Consistently(started, "100ms").ShouldNot(Receive())
		close(release)
		for _, want := range []string{"/1", "/2"} {
			_, body := readResponse(reader)
			Expect(body).To(Equal(want))
		}
		Eventually(func() int64 { _, held := e.Budget.Door(budget.Outbound).Usage(); return held }, "5s").Should(BeZero())
	})
})
