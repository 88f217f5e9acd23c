package callrelay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/port"
	"teaselring/result"
	"teaselring/test/connections"
	"teaselring/test/malformed"
)

const (
	// longUploadBytes exceeds the buffers of a connection, so that the upload is still
	// being written when the response arrives.
	longUploadBytes = 8 << 20
	// resetPlays is how often a reset is played. Which system call gets the error of the
	// connection is a matter of chance.
	resetPlays = 40
)

// upload sends a long body with the id "1" through the node.
func (n *node) upload(class string) *port.Response {
	GinkgoHelper()
	r, err := http.NewRequest(http.MethodPost, "/"+class+"/x", nil)
	Expect(err).NotTo(HaveOccurred())
	r.Host, r.Header = "h", http.Header{"Id": {"1"}, "Left": {"1500"}}
	body := strings.NewReader(strings.Repeat("x", longUploadBytes))
	return n.entry.serve(context.Background(), &port.Request{Request: r, Remaining: body, Length: longUploadBytes, Arrived: time.Now()})
}

// uploadPaths returns a constructor of a node for each hop on which a server, or another
// node, with the address responds.
func uploadPaths(address string) map[string]func() *node {
	return map[string]func() *node{
		"server to node": func() *node { return newNode(address) },
		"node to node":   func() *node { return newNode().toPeer(address) },
		"both": func() *node {
			owner := httptest.NewServer(newNode(address).entry.owner)
			DeferCleanup(owner.Close)
			return newNode().toPeer(owner.Listener.Addr().String())
		},
	}
}

// expectUnusedAndReported checks that no connection to the address is kept, and that the
// router has learned of the failure.
func (n *node) expectUnusedAndReported(address string, want *result.Code) {
	GinkgoHelper()
	for _, p := range []*pool{n.entry.pool, n.entry.owner.pool} {
		if queue, found := p.idle.Load(address); found {
			Expect(queue).To(BeEmpty())
		}
	}
	Expect(n.entry.Outcomes.C()).To(Receive(HaveField("Outcome.Code", want.Number)))
}

// Guards against a part of a response that is taken for a whole one because the sender of
// the upload, and not the reader of the response, got the error of the connection.
var _ = DescribeTable("a response without a length whose connection is reset during the upload is a failure",
	func(hop, body string) {
		address := malformed.ServeReset(okHead + "\r\n" + body)
		whole := 0
		for range resetPlays {
			n := uploadPaths(address)[hop]()
			response := n.upload("once")
			if response.Remaining != nil {
				_, err := io.Copy(io.Discard, response.Remaining)
				_ = response.Remaining.Close()
				if err == nil {
					whole++
				}
				continue
			}
			if response.Status == http.StatusOK {
				whole++
				continue
			}
			want := result.UpstreamLost
			if hop == "node to node" || code(response) == fmt.Sprint(result.ConnectionLost.Number) && hop == "both" {
				want = result.ConnectionLost // the owner node broke off the response that it had begun
			}
			expectFailure(response, body, want)
			n.expectUnusedAndReported(address, want)
		}
		Expect(whole).To(BeZero(), "parts of %d that looked whole", resetPlays)
	},
	Entry("after the head, from the server", "server to node", ""),
	Entry("within a held body, from the server", "server to node", "abc"),
	Entry("within a streamed body, from the server", "server to node", strings.Repeat("x", 2*maxHeldBytes)),
	Entry("within a held body, from another node", "node to node", "abc"),
	Entry("within a streamed body, from another node", "node to node", strings.Repeat("x", 2*maxHeldBytes)),
	Entry("within a held body, from the server of another node", "both", "abc"),
	Entry("within a streamed body, from the server of another node", "both", strings.Repeat("x", 2*maxHeldBytes)),
)

// A response whose end has arrived is whole, also if its sender then refuses the rest of
// the upload with a reset.
var _ = DescribeTable("a response without a length that ends during the upload is whole",
	func(hop string) {
		address := connections.Serve(func(c net.Conn) {
			if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
				return
			}
			_, _ = io.WriteString(c, okHead+"\r\nabc")
			time.Sleep(5 * time.Millisecond) // the response is read before its end
			_ = c.(*net.TCPConn).CloseWrite()
			time.Sleep(5 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
		})
		for range resetPlays {
			response := uploadPaths(address)[hop]().upload("once")
			Expect(response.Status).To(Equal(http.StatusOK), string(response.Buffered))
			Expect(string(response.Buffered)).To(Equal("abc"))
		}
	},
	Entry("from the server", "server to node"),
	Entry("from another node", "node to node"),
)
