package callrelay

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/port"
	"teaselring/result"
	"teaselring/test/endless"
)

const okHead = "HTTP/1.1 200 OK\r\nId: 1\r\nProof: p\r\n"

// Guards against a node that holds all bytes of a head until its memory is exhausted.
var _ = DescribeTable("a server that sends a head without end",
	func(begin, part string) {
		address, closed := endless.Serve(begin, part)
		n := newNode(address)
		before := endless.Allocated()
		response := n.call(http.MethodPost, "/once/x", "")
		Expect(endless.Allocated() - before).To(BeNumerically("<", endless.MaxAllocated))
		Expect(code(response)).To(Equal("1024"), string(response.Buffered))
		Expect(response.Status).To(Equal(http.StatusBadGateway), "the request may have run")
		Eventually(closed, time.Minute).Should(Receive())
	},
	Entry("in one header line", "HTTP/1.1 200 OK\r\nX: ", "x"),
	Entry("in header lines", "HTTP/1.1 200 OK\r\n", "X: y\r\n"),
	Entry("in folded header lines", "HTTP/1.1 200 OK\r\nX: y\r\n", " z\r\n"),
	Entry("without a line end", "", "garbage"),
	Entry("in empty lines", "", "\r\n"),
	Entry("in interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"),
	Entry("in interim responses with headers", "", "HTTP/1.1 103 Early Hints\r\nLink: "+strings.Repeat("l", 1000)+"\r\n\r\n"),
	Entry("in responses to other requests", "", "HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 1\r\n\r\nx"),
	Entry("in the body of a response to another request", "HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 999999999999\r\n\r\n", "x"),
	Entry("in a trailer", okHead+"Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"),
	Entry("in a chunk extension", okHead+"Transfer-Encoding: chunked\r\n\r\n1;", "x"),
)

// Guards against a node that reads on after its caller has left.
var _ = DescribeTable("a server that sends a body without end",
	func(begin, part string) {
		address, closed := endless.Serve(begin, part)
		n := newNode(address)
		ctx, disconnect := context.WithCancel(context.Background())
		defer disconnect()
		before := endless.Allocated()
		response := n.callFor(ctx, http.MethodGet, "/read/x", "")
		Expect(response.Remaining).NotTo(BeNil())
		_, err := io.CopyN(io.Discard, response.Remaining, 32<<20)
		Expect(err).NotTo(HaveOccurred())
		Expect(endless.Allocated() - before).To(BeNumerically("<", endless.MaxAllocated))
		disconnect()
		_, err = io.Copy(io.Discard, response.Remaining)
		Expect(err).To(HaveOccurred(), "a part of a response must not look complete")
		Expect(response.Remaining.Close()).To(Succeed())
		Eventually(closed, time.Minute).Should(Receive())
	},
	Entry("without a length", okHead+"\r\n", "x"),
	Entry("with a length", okHead+"Content-Length: 999999999999\r\n\r\n", "x"),
	Entry("in chunks", okHead+"Transfer-Encoding: chunked\r\n\r\n", "400\r\n"+strings.Repeat("x", 0x400)+"\r\n"),
)

var _ = Describe("a node that sends a head without end", func() {
	It("costs the call, which may have run, and no memory", func() {
		address, closed := endless.Serve("HTTP/1.1 200 OK\r\nX: ", "x")
		x := &exchange{
			pool: newPool(), guard: guard(), address: address, request: &http.Request{Method: http.MethodGet, URL: &url.URL{Path: "/"}, Host: "h", Header: http.Header{}},
			incoming: &port.Request{}, idleTimeout: func(*http.Response) time.Duration { return peerIdleTimeout },
		}
		before := endless.Allocated()
		_, err := x.run(context.Background())
		Expect(result.Of(err)).To(Equal(result.ConnectionLost))
		Expect(endless.Allocated() - before).To(BeNumerically("<", endless.MaxAllocated))
		Eventually(closed, time.Minute).Should(Receive())
	})
})

// Guards against a node that runs out of memory on many bodies without end at once, each of
// which it holds in part.
var _ = Describe("many servers that send bodies without end", func() {
	It("share a bounded part of the memory, which is free again afterwards", func() {
		const calls = 48
		address, _ := endless.Serve(okHead+"\r\n", "x")
		n := newNode(slices.Repeat([]string{address}, calls+1)...)
		held, remaining := 0, []io.Closer{}
		for range calls {
			response := n.call(http.MethodGet, "/read/x", "")
			Expect(response.Remaining).NotTo(BeNil())
			held += len(response.Buffered)
			remaining = append(remaining, response.Remaining)
		}
		Expect(held).To(BeNumerically("<=", maxHeldTotal+calls*minHeldBytes))
		for _, r := range remaining {
			Expect(r.Close()).To(Succeed())
			_ = r.Close() // a body may be closed twice
		}
		last := n.call(http.MethodGet, "/read/x", "")
		Expect(last.Buffered).To(HaveLen(maxHeldBytes))
		Expect(last.Remaining.Close()).To(Succeed())
	})
})
