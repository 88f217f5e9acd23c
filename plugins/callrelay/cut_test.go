package callrelay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/mesh"
	"teaselring/port"
	"teaselring/result"
	"teaselring/test/connections"
	"teaselring/wire"
)

// cutServer answers the first request of each connection completely if kept is set, and
// the next with a part of a message. Then it closes the connection.
func cutServer(kept bool, part func() string) (address string) {
	return connections.Serve(func(c net.Conn) {
		reader := bufio.NewReader(c)
		for i := 0; ; i++ {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			if kept && i == 0 {
				_, _ = io.WriteString(c, okResponse("1", "abc"))
				continue
			}
			_, _ = io.WriteString(c, part())
			return
		}
	})
}

// expectFailure checks that a call whose response was cut ends as one that may have run,
// with a status that promises nothing.
func expectFailure(response *port.Response, part string, want *result.Code) {
	GinkgoHelper()
	if response.Status == http.StatusBadGateway && code(response) == fmt.Sprint(want.Number) {
		return
	}
	Fail(fmt.Sprintf("status %d, code %s, body %q for the response %q", response.Status, code(response), response.Buffered, part))
}

// Guards against a response that ends within its head and is taken for a whole one: callers
// got a 200 with an empty or short body.
var _ = DescribeTable("a response that is cut at any byte of its head is a failure",
	func(method, message string) {
		for _, kept := range []bool{false, true} {
			var part string
			address := cutServer(kept, func() string { return part })
			for end := range message {
				part = message[:end]
				for _, class := range []string{"read", "once"} {
					n := newNode(address, address)
					if kept {
						Expect(n.call(http.MethodGet, "/read/x", "").Status).To(Equal(http.StatusOK))
					}
					expectFailure(n.call(method, "/"+class+"/x", ""), part, result.UpstreamLost)
				}
			}
		}
	},
	Entry("with a length", "GET", okHead+"Content-Length: 300\r\n\r\n"),
	Entry("with a length that is not the last line", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 300\r\nId: 1\r\nProof: p\r\n\r\n"),
	Entry("with a length of zero", "POST", okHead+"Content-Length: 0\r\n\r\n"),
	Entry("without a length", "GET", okHead+"\r\n"),
	Entry("without a length, closing", "POST", okHead+"Connection: close\r\n\r\n"),
	Entry("with lines that end with a line feed only", "GET", "HTTP/1.1 200 OK\nId: 1\nProof: p\n\n"),
	Entry("with a folded line", "GET", okHead+"X: a\r\n b\r\n\r\n"),
	Entry("with a body in chunks", "GET", okHead+"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"),
	Entry("with a body in chunks and a trailer", "GET", okHead+"Transfer-Encoding: chunked\r\nTrailer: X\r\n\r\n3\r\nabc\r\n0\r\nX: y\r\n\r\n"),
	Entry("after interim responses", "POST", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: l\r\n\r\n"+okHead+"\r\n"),
	Entry("after a response to another request", "GET", okResponse("0", "old")+okHead+"\r\n"),
	Entry("to HEAD", "HEAD", okHead+"Content-Length: 300\r\n\r\n"),
	Entry("to HEAD, without a length", "HEAD", okHead+"\r\n"),
	Entry("with status 204", "GET", "HTTP/1.1 204 No Content\r\nId: 1\r\nProof: p\r\n\r\n"),
	Entry("with status 304", "GET", "HTTP/1.1 304 Not Modified\r\nId: 1\r\nProof: p\r\nContent-Length: 300\r\n\r\n"),
	Entry("that says that the request did not run", "POST", "HTTP/1.1 503 Busy\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"),
)

// Guards against a body without length that is taken for a whole one although its
// connection was reset.
var _ = DescribeTable("a response without a length whose connection is reset is a failure", func(message string) {
	address := connections.Serve(func(c net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, message)
		time.Sleep(20 * time.Millisecond) // a reset discards what has not been read
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	expectFailure(newNode(address).call(http.MethodPost, "/once/x", ""), message, result.UpstreamLost)
},
	Entry("within the head", okHead),
	Entry("after the head", okHead+"\r\n"),
	Entry("within the body", okHead+"\r\nabc"),
)

// responseOfOwner returns the bytes that an owner node sends another node for a request
// whose server responds with the message and closes the connection.
func responseOfOwner(method, message string) string {
	GinkgoHelper()
	address, _ := server(message + closeAfter)
	edge := httptest.NewServer(newNode(address).entry.owner)
	DeferCleanup(edge.Close)
	c, err := net.Dial("tcp", edge.Listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = c.Close() }()
	r, err := http.NewRequest(method, edge.URL+"/read/x", nil)
	Expect(err).NotTo(HaveOccurred())
	r.Header, r.Close = http.Header{"Id": {"1"}}, true
	call := mesh.Call{Method: method, Path: "/read/x", Class: mesh.ClassRead, Service: "s", Deadline: time.Now().Add(time.Minute)}
	(&wire.Attempt{ID: "1/1", Call: call, Target: mesh.Target{Node: "n", Service: "s"}}).Write(r.Header, time.Now())
	Expect(r.Write(c)).To(Succeed())
	sent, err := io.ReadAll(c)
	Expect(err).NotTo(HaveOccurred())
	return string(sent)
}

// toPeer makes another node with the address the target of the node's calls.
func (n *node) toPeer(address string) *node {
	n.entry.Picks = scriptedRing("picks", func(p port.Pick) (mesh.Target, error) {
		if len(p.Tried) > 0 {
			return mesh.Target{}, result.NoEndpoint.Err()
		}
		return mesh.Target{Node: "o", Service: "s", PeerAddress: address}, nil
	})
	return n
}

// Guards against the response of a node that ends while it sends it, and against a refusal
// that promises more than the part that arrived.
var _ = DescribeTable("a response of another node that is cut at any byte is a failure",
	func(method, message, want string) {
		whole := responseOfOwner(method, message)
		Expect(whole).To(HavePrefix("HTTP/1.1 " + want))
		var part string
		address := cutServer(false, func() string { return part })
		n := newNode().toPeer(address)
		for end := range whole {
			part = whole[:end]
			for _, class := range []string{"read", "once"} {
				expectFailure(n.call(method, "/"+class+"/x", ""), part, result.ConnectionLost)
			}
		}
		part = whole
		Expect(fmt.Sprint(n.call(method, "/read/x", "").Status)).To(Equal(want))
	},
	Entry("with a length", "GET", okResponse("1", "abc"), "200"),
	Entry("with a length of zero", "POST", okResponse("1", ""), "200"),
	Entry("whose server sent no length", "GET", okHead+"\r\nabc", "200"),
	Entry("whose server sent chunks", "GET", okHead+"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", "200"),
	Entry("to HEAD", "HEAD", okHead+"Content-Length: 300\r\n\r\n", "200"),
	Entry("with status 204", "GET", "HTTP/1.1 204 No Content\r\nId: 1\r\nProof: p\r\n\r\n", "204"),
	Entry("that refuses the attempt as not run", "POST", "HTTP/1.1 503 Busy\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", "503"),
	Entry("whose server's head was cut", "GET", okHead+"Content-Le", "502"),
)

// Guards against a long response that looks whole to the client although one of the two
// connections that it passed ended early.
var _ = DescribeTable("a streamed response that is cut ends with an error", func(framing string, end func(message string) int) {
	body := strings.Repeat("x", 2*maxHeldBytes)
	message := okHead + "Content-Length: " + fmt.Sprint(len(body)) + "\r\n\r\n" + body
	if framing == "chunks" {
		message = okHead + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n", len(body)) + body + "\r\n0\r\n\r\n"
	}
	part := message[:end(message)]
	address := cutServer(false, func() string { return part })
	owner := httptest.NewServer(newNode(address, address).entry.owner)
	DeferCleanup(owner.Close)
	for hop, n := range map[string]*node{
		"server to node": newNode(address), "node to node": newNode().toPeer(address), "both": newNode().toPeer(owner.Listener.Addr().String()),
	} {
		response := n.call(http.MethodGet, "/read/x", "")
		Expect(response.Status).To(Equal(http.StatusOK), hop)
		Expect(response.Remaining).NotTo(BeNil(), hop)
		_, err := io.Copy(io.Discard, response.Remaining)
		Expect(err).To(HaveOccurred(), hop)
		_ = response.Remaining.Close()
	}
},
	Entry("with a length, within the body", "length", func(m string) int { return len(m) - maxHeldBytes/2 }),
	Entry("with a length, before the last byte", "length", func(m string) int { return len(m) - 1 }),
	Entry("in chunks, within a chunk", "chunks", func(m string) int { return len(m) - maxHeldBytes/2 }),
	Entry("in chunks, after the last chunk with content", "chunks", func(m string) int { return len(m) - len("0\r\n\r\n") }),
	Entry("in chunks, within the size of the last chunk", "chunks", func(m string) int { return len(m) - len("\r\n\r\n") }),
	Entry("in chunks, before the last byte", "chunks", func(m string) int { return len(m) - 1 }),
)

// The length that a server states in its response to HEAD is that of the body that GET gets;
// callers were told 0.
var _ = Describe("the response to HEAD", func() {
	It("keeps the server's length over both hops", func() {
		address, _ := server(okHead+"Content-Length: 300\r\n\r\n", okHead+"Content-Length: 300\r\n\r\n")
		Expect(newNode(address).call(http.MethodHead, "/read/x", "").Length).To(BeEquivalentTo(300))
		owner := httptest.NewServer(newNode(address).entry.owner)
		DeferCleanup(owner.Close)
		response := newNode().toPeer(owner.Listener.Addr().String()).call(http.MethodHead, "/read/x", "")
		Expect(response.Status).To(Equal(http.StatusOK))
		Expect(response.Length).To(BeEquivalentTo(300))
		Expect(response.Buffered).To(BeEmpty())
	})

	It("states no length where the server stated none", func() {
		address, _ := server(okHead + "\r\n" + closeAfter)
		Expect(newNode(address).call(http.MethodHead, "/read/x", "").Length).To(BeNumerically("<", 0))
	})
})
