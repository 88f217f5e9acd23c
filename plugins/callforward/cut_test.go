package callforward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/mesh"
	"teaselring/port"
	"teaselring/result"
	"teaselring/test/connections"
)

// cutUpstream answers each request with a part of a response and closes the connection.
func cutUpstream(part func() string) (address string) {
	return connections.Serve(func(c net.Conn) {
		if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(c, part())
		}
	})
}

// discardReports empties the rings of a pair that makes more calls than they hold.
func (p *pair) discardReports() *pair {
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go func() {
		for {
			select {
			case <-p.entry.Outcomes.C():
			case <-p.owner.in.Release.C():
			case <-ctx.Done():
				return
			}
		}
	}()
	return p
}

// Guards against a response that ends within its head and is taken for a whole one.
var _ = DescribeTable("a response that is cut at any byte of its head is a failure",
	func(local bool, method, message string) {
		var part string
		p := newPair(cutUpstream(func() string { return part })).discardReports()
		target := p.remote()
		if local {
			target = p.local()
		}
		for end := range message {
			part = message[:end]
			for _, class := range []string{"read", "once"} {
				p.targets = []mesh.Target{target}
				response, body, err := send(p.request(method, "/"+class+"/a", "", nil))
				Expect(err).NotTo(HaveOccurred())
				Expect(code(response)).To(Equal(result.UpstreamLost), "status %d, body %q for the response %q", response.StatusCode, body, part)
				Expect(response.StatusCode).To(Equal(http.StatusBadGateway))
			}
		}
	},
	Entry("with a length, on the entry node itself", true, "GET", "HTTP/1.1 200 OK\r\nContent-Length: 300\r\n\r\n"),
	Entry("with a length, through another node", false, "GET", "HTTP/1.1 200 OK\r\nContent-Length: 300\r\n\r\n"),
	Entry("without a length, on the entry node itself", true, "GET", "HTTP/1.1 200 OK\r\nX: y\r\n\r\n"),
	Entry("without a length, through another node", false, "POST", "HTTP/1.1 200 OK\r\nX: y\r\n\r\n"),
	Entry("in chunks", false, "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"),
	Entry("after an interim response", false, "POST", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nX: y\r\n\r\n"),
	Entry("to HEAD", false, "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 300\r\n\r\n"),
	Entry("with status 204", true, "GET", "HTTP/1.1 204 No Content\r\nX: y\r\n\r\n"),
	Entry("with status 304", false, "GET", "HTTP/1.1 304 Not Modified\r\nX: y\r\n\r\n"),
	Entry("that says that the call did not run", false, "POST", "HTTP/1.1 503 Busy\r\n"+headerShed+": 1\r\nContent-Length: 0\r\n\r\n"),
)

// Guards against the response of a node that ends while it sends it.
var _ = DescribeTable("a response of another node that is cut at any byte is a failure", func(message string) {
	var part string
	peer := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = buffered.WriteString(part)
		_ = buffered.Flush()
		_ = c.Close()
	}))
	DeferCleanup(peer.Close)
	p := newPair("127.0.0.1:1").discardReports()
	p.entry.Peers = port.PeerClient{Client: peer.Client()}
	target := p.remote()
	target.PeerAddress = peer.Listener.Addr().String()
	for end := range message {
		part = message[:end]
		for _, class := range []string{"read", "once"} {
			p.targets = []mesh.Target{target}
			response, body, err := send(p.request("GET", "/"+class+"/a", "", nil))
			Expect(err).NotTo(HaveOccurred())
			Expect(code(response)).To(Equal(result.ConnectionLost), "status %d, body %q for the response %q", response.StatusCode, body, part)
		}
	}
},
	Entry("with a length", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"),
	Entry("with a length of zero", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
	Entry("that refuses the attempt as not run", "HTTP/1.1 503 Busy\r\n"+port.CodeHeader+": "+fmt.Sprint(result.Shed.Number)+"\r\nContent-Length: 0\r\n\r\n"),
)

// Guards against a long response that looks whole to the caller although a connection on
// its way ended early.
var _ = DescribeTable("a streamed response that is cut ends with an error", func(local bool, framing string) {
	body := strings.Repeat("x", 4*maxHeldBytes)
	message := "HTTP/1.1 200 OK\r\nContent-Length: " + fmt.Sprint(len(body)) + "\r\n\r\n" + body
	if framing == "chunks" {
		message = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n", len(body)) + body + "\r\n0\r\n\r\n"
	}
	for _, missing := range []int{1, 2, 3, 4, 5, 6, 2 * maxHeldBytes} {
		p := newPair(cutUpstream(func() string { return message[:len(message)-missing] }))
		p.targets = []mesh.Target{p.remote()}
		if local {
			p.targets = []mesh.Target{p.local()}
		}
		response, _, err := send(p.request("GET", "/read/a", "", nil))
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		Expect(err).To(HaveOccurred(), "%d bytes missing", missing)
	}
},
	Entry("with a length, on the entry node itself", true, "length"),
	Entry("with a length, through another node", false, "length"),
	Entry("in chunks, on the entry node itself", true, "chunks"),
	Entry("in chunks, through another node", false, "chunks"),
)
