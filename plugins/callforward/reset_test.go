package callforward

import (
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/mesh"
	"teaselring/result"
	"teaselring/test/malformed"
)

// longUploadBytes exceeds the buffers of the connections of both hops, so that the upload is
// still being written when the response arrives.
const longUploadBytes = 16 << 20

// Guards against a part of a response that is taken for a whole one because the sender of
// the upload, and not the reader of the response, got the error of the connection.
var _ = DescribeTable("a response without a length whose connection is reset during the upload is a failure",
	func(local bool, body string) {
		const plays = 40
		p := newPair(malformed.ServeReset("HTTP/1.1 200 OK\r\n\r\n" + body)).discardReports()
		target := p.remote()
		if local {
			target = p.local()
		}
		p.targets = slices.Repeat([]mesh.Target{target}, plays)
		whole := 0
		for range plays {
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			response, err := client.Do(p.request("POST", "/upload/a", strings.Repeat("x", longUploadBytes), nil))
			if err != nil {
				continue // the connection was broken off
			}
			_, err = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			switch {
			case response.StatusCode != http.StatusOK:
				Expect(code(response)).To(Equal(result.UpstreamLost))
			case err == nil:
				whole++
			}
		}
		Expect(whole).To(BeZero(), "parts of %d that looked whole", plays)
	},
	Entry("after the head, on the entry node itself", true, ""),
	Entry("within the body, on the entry node itself", true, "abc"),
	Entry("within a long body, on the entry node itself", true, strings.Repeat("x", 4*maxHeldBytes)),
	Entry("within the body, through another node", false, "abc"),
)

// Guards against a part of a response that an HTTP/1.0 caller takes for a whole one: the end
// of the connection is the only mark of the end of a body without a length.
var _ = DescribeTable("a truncated response to an HTTP/1.0 caller ends with a reset", func(local bool) {
	p := newPair(malformed.ServeReset("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"))
	p.targets = []mesh.Target{p.remote()}
	if local {
		p.targets = []mesh.Target{p.local()}
	}
	conn, err := net.Dial("tcp", strings.TrimPrefix(p.url, "http://"))
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET /read/a HTTP/1.0\r\nHost: h\r\n\r\n")
	Expect(err).NotTo(HaveOccurred())
	content, err := io.ReadAll(conn)
	Expect(err).To(MatchError(syscall.ECONNRESET), "read %q", content)
},
	Entry("on the entry node itself", true),
	Entry("through another node", false),
)
