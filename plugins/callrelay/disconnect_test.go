package callrelay

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/test/connections"
	"teaselring/wire"
)

// net/http detects a disconnected client only after the whole body was read. A call
// whose body stayed unread while it waited for a slot was sent to the server after
// its client had disconnected.
var _ = DescribeTable("an attempt that waits for a slot ends when the entry node disconnects",
	func(body string) {
		n := newNode()
		admits := kernel.NewRing[kernel.Request[port.Admit, port.Admission]]("admit", 1, kernel.Refuse)
		n.entry.owner.Admit = admits
		edge := httptest.NewServer(n.entry.owner)
		DeferCleanup(edge.Close)

		ctx, leave := context.WithCancel(context.Background())
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, edge.URL+"/once/x", strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		call := mesh.Call{Method: http.MethodPost, Path: "/once/x", Class: mesh.ClassOnce, Service: "s", Deadline: time.Now().Add(time.Minute)}
		(&wire.Attempt{ID: "1/1", Call: call, Target: mesh.Target{Node: "n", Service: "s"}}).Write(r.Header, time.Now())
		go func() {
			if response, err := http.DefaultClient.Do(r); err == nil {
				_ = response.Body.Close()
			}
		}()
		var request kernel.Request[port.Admit, port.Admission]
		Eventually(admits.C(), "5s").Should(Receive(&request))
		Expect(request.Closed()).To(BeFalse())
		leave()
		Eventually(request.Closed, "5s").Should(BeTrue())
	},
	Entry("without a body", ""),
	Entry("with a body", "charge"),
	Entry("with a body longer than the buffers", strings.Repeat("x", 200_000)),
)

// A long body on a slow link takes longer than a call outside its zone may wait for
// a slot. Requesting the slot after the body always exceeded that wait.
var _ = Describe("an attempt whose body is still arriving", func() {
	It("requests its slot at once, and is sent completely", func() {
		address, requests := server(okResponse("1", "abc"))
		n := newNode(address)
		admitted := make(chan struct{})
		n.admitted = func() { close(admitted) }
		edge := httptest.NewServer(n.entry.owner)
		DeferCleanup(edge.Close)
		body, pipe := io.Pipe()
		r, err := http.NewRequest(http.MethodPost, edge.URL+"/once/x", body)
		Expect(err).NotTo(HaveOccurred())
		r.ContentLength = 100_000
		r.Header.Set("Id", "1")
		call := mesh.Call{Method: http.MethodPost, Path: "/once/x", Class: mesh.ClassOnce, Service: "s", Deadline: time.Now().Add(time.Minute)}
		(&wire.Attempt{ID: "1/1", Call: call, Target: mesh.Target{Node: "n", Service: "s"}}).Write(r.Header, time.Now())
		status := make(chan int, 1)
		go func() {
			if response, err := http.DefaultClient.Do(r); err == nil {
				status <- response.StatusCode
				_ = response.Body.Close()
			}
		}()
		_, _ = pipe.Write(make([]byte, 40_000))
		Eventually(admitted, "5s").Should(BeClosed())
		_, _ = pipe.Write(make([]byte, 60_000))
		_ = pipe.Close()
		Eventually(status, "5s").Should(Receive(Equal(200)))
		var got *http.Request
		Expect(requests).To(Receive(&got))
		Expect(got.ContentLength).To(BeEquivalentTo(100_000))
	})
})

// rejectingServer responds to POST requests before it has read the body, which it
// reads only when readOn is closed.
func rejectingServer(readOn <-chan struct{}) (address string) {
	return connections.Serve(func(c net.Conn) {
		reader := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if r.Method == http.MethodPost {
				_, _ = io.WriteString(c, "HTTP/1.1 503 Busy\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
				<-readOn
			}
			_, _ = io.Copy(io.Discard, r.Body)
			if r.Method == http.MethodGet {
				_, _ = io.WriteString(c, okResponse("1", "abc"))
			}
		}
	})
}

var _ = Describe("a connection on which a long body was rejected", func() {
	// The body may stay in the buffers of the connection until the server reads it.
	// The next request waited behind it until after its client had disconnected.
	It("carries no further request", func() {
		readOn := make(chan struct{})
		DeferCleanup(func() { close(readOn) })
		address := rejectingServer(readOn)
		n := newNode(address, address)
		Expect(n.call("POST", "/once/x", strings.Repeat("x", 40_000)).Status).To(Equal(503))
		Expect(string(n.call("GET", "/read/x", "").Buffered)).To(Equal("abc"))
	})
})
