package edgeoutbound

import (
	"bufio"
	"context"
	"io"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/mesh"
	"teaselring/port"
)

// A malformed or oversized request must not reach the server.
var _ = DescribeTable("a request that is refused",
	func(request string, status int) {
		conn := connectEdge(mesh.EdgeLimits{HeaderBytes: 1024, BodyBytes: 2048, HeaderTimeout: 100 * time.Millisecond}, func(context.Context, *port.Request) *port.Response {
			defer GinkgoRecover()
			Fail("the request was forwarded")
			return nil
		})
		_, err := io.WriteString(conn, request)
		Expect(err).NotTo(HaveOccurred())
		got, _ := readResponse(bufio.NewReader(conn))
		Expect(got).To(Equal(status))
	},
	Entry("for a header name with a space", "GET / HTTP/1.1\r\nHost: h\r\nBad Name: x\r\n\r\n", 400),
	Entry("for an invalid host", "GET / HTTP/1.1\r\nHost: a b\r\n\r\n", 400),
	Entry("for no host", "GET / HTTP/1.1\r\n\r\n", 400),
	Entry("for an absolute URL of another scheme", "GET ftp://h/ HTTP/1.1\r\nHost: h\r\n\r\n", 400),
	Entry("for an authority as its target", "CONNECT h:80 HTTP/1.1\r\nHost: h:80\r\n\r\n", 400),
	Entry("for an asterisk as its target", "OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n", 400),
	Entry("for two content lengths", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400),
	Entry("for an unknown transfer encoding", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\n", 400),
	Entry("for the size of its body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4096\r\n\r\n", 413),
	Entry("for the size of its headers", "GET / HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("x", 8000)+"\r\n\r\n", 431),
	Entry("for headers that do not arrive", "GET / HTTP/1.1\r\nHost: h\r\n", 408),
)

// RFC 9112 asks servers to accept the absolute form; it was refused with 400.
var _ = DescribeTable("a target in absolute form is served", func(target, want string) {
	conn := connectEdge(mesh.EdgeLimits{}, func(_ context.Context, r *port.Request) *port.Response {
		return textResponse(r.Host + " " + r.RequestURI + " " + r.URL.RequestURI())
	})
	_, err := io.WriteString(conn, "GET "+target+" HTTP/1.1\r\nHost: other\r\n\r\n")
	Expect(err).NotTo(HaveOccurred())
	_, body := readResponse(bufio.NewReader(conn))
	Expect(body).To(Equal(want))
},
	Entry("with a path and a query", "http://h/a/b?c=1", "h /a/b?c=1 /a/b?c=1"),
	Entry("without a path", "http://h", "h / /"),
	Entry("with a query only", "http://h?c=/1", "h /?c=/1 /?c=/1"),
)
