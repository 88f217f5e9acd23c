package edgeoutbound

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/result"
)

func TestEdgeOutbound(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "edge.outbound")
}

// connectEdge starts an edge with a call path and connects to it.
func connectEdge(limits mesh.EdgeLimits, path port.CallPath) net.Conn {
	conn, _ := startEdge(limits, path)
	return conn
}

func startEdge(limits mesh.EdgeLimits, path port.CallPath) (net.Conn, *edge) {
	snapshot := new(port.SnapshotCell)
	configuration := &mesh.Snapshot{Limits: limits, Routes: []mesh.Route{
		{ID: "read", Host: "h", PathPrefix: "/", Class: mesh.ClassRead},
		{ID: "once", Host: "h", PathPrefix: "/once/", Class: mesh.ClassOnce},
		{ID: "upload", Host: "h", PathPrefix: "/upload/", Class: mesh.ClassUpload},
	}}
	Expect(configuration.IndexByHost()).To(Succeed())
	snapshot.Store(configuration)
	e := &edge{
		edgeIn: edgeIn{
			PlatformSettings: &port.PlatformSettings{Outbound: netip.MustParseAddrPort("127.0.0.1:0")}, Path: path, Snapshot: snapshot,
			Calls: func() int64 { return 0 }, Grace: new(kernel.Grace), Guard: kernel.NewGuard(kernel.NewLogger(io.Discard), metrics.NewRegistry()), Logger: kernel.NewLogger(io.Discard),
		},
		connections: metrics.NewCounter(), requests: metrics.NewCounter(), acceptErrors: metrics.NewCounter(), latency: metrics.NilHistogram{},
	}
	Expect(e.start()).To(Succeed())
	DeferCleanup(e.socket.Close)
	conn, err := net.Dial("tcp", e.socket.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = conn.Close() }) // a spec may have closed it
	return conn, e
}

func textResponse(text string) *port.Response {
	return &port.Response{Status: 200, Header: http.Header{}, Buffered: []byte(text), Length: int64(len(text))}
}

// echo responds with the path and the body.
func echo(_ context.Context, r *port.Request) *port.Response {
	return textResponse(r.URL.Path + string(r.Buffered))
}

func getRequest(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

func readResponse(r *bufio.Reader) (int, string) {
	GinkgoHelper()
	response, err := http.ReadResponse(r, nil)
	Expect(err).NotTo(HaveOccurred())
	body, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return response.StatusCode, string(body)
}

var _ = Describe("pipelined requests", func() {
	// The first takes longest; its response must still come first.
	It("run concurrently and are answered in order", func() {
		started := make(chan string, 3)
		release := make(chan struct{})
		conn := connectEdge(mesh.EdgeLimits{}, func(_ context.Context, r *port.Request) *port.Response {
			started <- r.URL.Path
			if r.URL.Path == "/1" {
				<-release
			}
			return textResponse(r.URL.Path)
		})
		_, err := io.WriteString(conn, getRequest("/1")+getRequest("/2")+getRequest("/3"))
		Expect(err).NotTo(HaveOccurred())
		for range 3 {
			Eventually(started, "5s").Should(Receive())
		}
		close(release)
		reader := bufio.NewReader(conn)
		for _, want := range []string{"/1", "/2", "/3"} {
			_, body := readResponse(reader)
			Expect(body).To(Equal(want))
		}
	})

	// If an earlier response closes the connection, the client resends the request: one
	// that must not run twice may not have started, whatever its method.
	DescribeTable("wait for the earlier responses when they must run once", func(method, path string) {
		started := make(chan string, 2)
		release := make(chan struct{})
		conn := connectEdge(mesh.EdgeLimits{}, func(_ context.Context, r *port.Request) *port.Response {
			started <- r.URL.Path
			if r.URL.Path == "/1" {
				<-release
			}
			return textResponse("x")
		})
		_, err := io.WriteString(conn, getRequest("/1")+method+" "+path+" HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nb")
		Expect(err).NotTo(HaveOccurred())
		Eventually(started, "5s").Should(Receive(Equal("/1")))
		Consistently(started, "100ms").ShouldNot(Receive())
		close(release)
		Eventually(started, "5s").Should(Receive(Equal(path)))
	},
		Entry("by POST", "POST", "/once/2"),
		Entry("by GET", "GET", "/once/2"),
		Entry("by HEAD", "HEAD", "/upload/2"),
		Entry("by PUT", "PUT", "/upload/2"),
	)

	It("have their own time of arrival", func() {
		arrived := make(chan time.Time, 2)
		conn := connectEdge(mesh.EdgeLimits{}, func(_ context.Context, r *port.Request) *port.Response {
			arrived <- r.Arrived
			return textResponse("")
		})
		_, _ = io.WriteString(conn, getRequest("/1"))
		time.Sleep(50 * time.Millisecond)
		_, _ = io.WriteString(conn, getRequest("/2"))
		var first, second time.Time
		Eventually(arrived, "5s").Should(Receive(&first))
		Eventually(arrived, "5s").Should(Receive(&second))
		Expect(second.Sub(first)).To(BeNumerically(">=", 40*time.Millisecond))
	})
})

// Otherwise the server keeps working for a client that has disconnected.
var _ = DescribeTable("a disconnect of the client is detected",
	func(sent string) {
		cancelled := make(chan struct{})
		conn := connectEdge(mesh.EdgeLimits{}, func(ctx context.Context, r *port.Request) *port.Response {
			if r.URL.Path == "/1" {
				<-ctx.Done()
				close(cancelled)
			}
			return textResponse("")
		})
		_, err := io.WriteString(conn, sent)
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(20 * time.Millisecond)
		Expect(conn.Close()).To(Succeed())
		Eventually(cancelled, "2s").Should(BeClosed())
	},
	Entry("while its request waits", getRequest("/1")),
	Entry("while other requests of it wait", getRequest("/1")+getRequest("/2")+getRequest("/3")),
	Entry("after it requested the close of the connection", "GET /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"),
)

// A body in chunks was cut at the limit, run as if whole, and answered 200 (review/6).
var _ = Describe("a body in chunks over the limit", func() {
	const limit = maxHeldBytes + 1000
	send := func(conn net.Conn, bytes int) {
		go func() { // the edge may stop reading
			_, _ = io.WriteString(conn, "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"+
				fmt.Sprintf("%x\r\n", bytes)+strings.Repeat("x", bytes)+"\r\n0\r\n\r\n")
		}()
	}
	DescribeTable("never looks complete", func(bytes int, complete bool) {
		read := make(chan error, 1)
		conn := connectEdge(mesh.EdgeLimits{BodyBytes: limit}, func(_ context.Context, r *port.Request) *port.Response {
			_, err := io.Copy(io.Discard, r.Remaining)
			read <- err
			return textResponse("")
		})
		send(conn, bytes)
		var err error
		Eventually(read, "10s").Should(Receive(&err))
		if complete {
			Expect(err).NotTo(HaveOccurred())
			return
		}
		Expect(result.Of(err)).To(Equal(result.BodyOverLimit))
	},
		Entry("with the length of the limit", limit, true),
		Entry("with one byte more", limit+1, false),
		Entry("with many more", 3*limit, false),
	)

	It("is refused before it is run if it is held whole", func() {
		conn := connectEdge(mesh.EdgeLimits{BodyBytes: 1000}, func(context.Context, *port.Request) *port.Response {
			return textResponse("ran")
		})
		send(conn, 1001)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusRequestEntityTooLarge))
	})
})

var _ = Describe("a connection", func() {
	It("carries bodies with a length and in chunks", func() {
		conn := connectEdge(mesh.EdgeLimits{}, echo)
		_, _ = io.WriteString(conn, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nxyz"+
			"POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nxyz\r\n0\r\n\r\n")
		reader := bufio.NewReader(conn)
		_, first := readResponse(reader)
		_, second := readResponse(reader)
		Expect([]string{first, second}).To(Equal([]string{"/axyz", "/bxyz"}))
	})

	It("is closed after the response when the client requests it", func() {
		conn := connectEdge(mesh.EdgeLimits{}, echo)
		_, _ = io.WriteString(conn, "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		reader := bufio.NewReader(conn)
		_, body := readResponse(reader)
		Expect(body).To(Equal("/a"))
		_, err := reader.ReadByte()
		Expect(err).To(Equal(io.EOF))
	})

	It("is closed after the idle timeout of the configuration", func() {
		conn := connectEdge(mesh.EdgeLimits{IdleTimeout: 50 * time.Millisecond}, echo)
		_, err := conn.Read(make([]byte, 1))
		Expect(err).To(Equal(io.EOF))
	})

	It("is not idle while a response is pending", func() {
		conn := connectEdge(mesh.EdgeLimits{IdleTimeout: 50 * time.Millisecond}, func(context.Context, *port.Request) *port.Response {
			time.Sleep(300 * time.Millisecond)
			return textResponse("late")
		})
		_, _ = io.WriteString(conn, getRequest("/1"))
		_, body := readResponse(bufio.NewReader(conn))
		Expect(body).To(Equal("late"))
	})
})

// A stopping node ended between the arrival of a request and its call, or between
// the response and its last byte, and the client's connection broke.
var _ = Describe("a node is busy", func() {
	const head = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 6\r\n\r\n"

	It("while a request arrives", func() {
		conn, e := startEdge(mesh.EdgeLimits{}, echo)
		_, _ = io.WriteString(conn, head+"abc")
		Eventually(e.busy, "5s").Should(BeTrue())
		Consistently(e.busy, "100ms").Should(BeTrue())
		_, _ = io.WriteString(conn, "def")
		_, body := readResponse(bufio.NewReader(conn))
		Expect(body).To(Equal("/aabcdef"))
		Eventually(e.busy, "5s").Should(BeFalse())
	})

	It("while a response is written", func() {
		conn, e := startEdge(mesh.EdgeLimits{}, func(context.Context, *port.Request) *port.Response {
			return textResponse(strings.Repeat("x", 32<<20))
		})
		_, _ = io.WriteString(conn, getRequest("/1"))
		reader := bufio.NewReader(conn)
		_, err := reader.Peek(1)
		Expect(err).NotTo(HaveOccurred())
		Consistently(e.busy, "100ms").Should(BeTrue())
		_, body := readResponse(reader)
		Expect(body).To(HaveLen(32 << 20))
		Eventually(e.busy, "5s").Should(BeFalse())
	})
})

// Between its last check for calls in progress and the end of its process, a node
// accepted a request and forwarded it (soak seed 25).
var _ = Describe("a node that is about to exit", func() {
	It("starts no request, and is busy until the started ones are answered", func() {
		started := make(chan string, 2)
		release := make(chan struct{})
		path := func(_ context.Context, r *port.Request) *port.Response {
			started <- r.URL.Path
			<-release
			return textResponse(r.URL.Path)
		}
		conn, e := startEdge(mesh.EdgeLimits{}, path)
		other, err := net.Dial("tcp", e.socket.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(other.Close)
		_, _ = io.WriteString(conn, getRequest("/1"))
		Eventually(started, "5s").Should(Receive(Equal("/1")))
		e.closed.Store(true)
		_, _ = io.WriteString(other, getRequest("/2"))
		_, err = other.Read(make([]byte, 1))
		Expect(err).To(HaveOccurred(), "the connection is closed without a response")
		Consistently(started, "100ms").ShouldNot(Receive())
		Expect(e.busy()).To(BeTrue())
		close(release)
		_, body := readResponse(bufio.NewReader(conn))
		Expect(body).To(Equal("/1"))
		Eventually(e.busy, "5s").Should(BeFalse())
	})
})

// The call's slot was held until the node exited.
var _ = Describe("a streamed response whose client has disconnected", func() {
	It("is closed", func() {
		closed := make(chan struct{})
		conn := connectEdge(mesh.EdgeLimits{}, func(ctx context.Context, _ *port.Request) *port.Response {
			<-ctx.Done()
			time.Sleep(50 * time.Millisecond) // the writer is discarding the response by then
			return &port.Response{Status: 200, Header: http.Header{}, Remaining: closeFunc(func() { close(closed) }), Length: -1}
		})
		_, _ = io.WriteString(conn, getRequest("/1"))
		time.Sleep(20 * time.Millisecond)
		Expect(conn.Close()).To(Succeed())
		Eventually(closed, "5s").Should(BeClosed())
	})
})

type closeFunc func()

func (closeFunc) Read([]byte) (int, error) { return 0, io.EOF }
func (c closeFunc) Close() error           { c(); return nil }

var _ = Describe("a truncated response", func() {
	// The client must not take it for a complete response.
	DescribeTable("closes the connection before its end", func(length int64) {
		conn := connectEdge(mesh.EdgeLimits{}, func(context.Context, *port.Request) *port.Response {
			return &port.Response{Status: 200, Header: http.Header{}, Buffered: []byte("part"), Remaining: truncatedBody{}, Length: length}
		})
		_, _ = io.WriteString(conn, getRequest("/1"))
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err == nil {
			_, err = io.ReadAll(response.Body)
		}
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	},
		Entry("with a declared length", int64(100)),
		Entry("in chunks", int64(-1)),
	)
})

// Callers were told a length of 0 in place of that of the body which GET gets.
var _ = Describe("a response to HEAD", func() {
	It("states the length of the body without sending one", func() {
		conn := connectEdge(mesh.EdgeLimits{}, func(_ context.Context, r *port.Request) *port.Response {
			if r.URL.Path == "/2" {
				return textResponse("next")
			}
			return &port.Response{Status: 200, Header: http.Header{}, Length: 300}
		})
		_, err := io.WriteString(conn, "HEAD /1 HTTP/1.1\r\nHost: h\r\n\r\n"+getRequest("/2"))
		Expect(err).NotTo(HaveOccurred())
		reader := bufio.NewReader(conn)
		response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodHead})
		Expect(err).NotTo(HaveOccurred())
		Expect(response.ContentLength).To(BeEquivalentTo(300))
		_, body := readResponse(reader)
		Expect(body).To(Equal("next"))
	})
})

type truncatedBody struct{}

func (truncatedBody) Read([]byte) (int, error) { return 0, fmt.Errorf("the connection broke") }
func (truncatedBody) Close() error             { return nil }

// Guards against a panic in one call that ends the process with all other calls.
var _ = Describe("a call that panics", func() {
	It("is answered with 502, and the connection serves on", func() {
		calls := 0
		conn := connectEdge(mesh.EdgeLimits{}, func(context.Context, *port.Request) *port.Response {
			if calls++; calls == 1 {
				panic("odd request")
			}
			return textResponse("served")
		})
		reader := bufio.NewReader(conn)
		for _, status := range []int{http.StatusBadGateway, http.StatusOK} {
			_, err := io.WriteString(conn, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
			Expect(err).NotTo(HaveOccurred())
			r, err := http.ReadResponse(reader, nil)
			Expect(err).NotTo(HaveOccurred())
			_, _ = io.Copy(io.Discard, r.Body)
			Expect(r.StatusCode).To(Equal(status))
		}
	})
})

// failingListener fails to accept a number of times, as without free file descriptors.
type failingListener struct {
	net.Listener
	failures atomic.Int64
}

func (f *failingListener) Accept() (net.Conn, error) {
	if f.failures.Add(-1) >= 0 {
		return nil, syscall.EMFILE
	}
	return f.Listener.Accept()
}

// The listener ended for good at the first failure to accept.
var _ = Describe("a listener that can't accept for a while", func() {
	It("accepts again, and counts the failures", func() {
		_, e := startEdge(mesh.EdgeLimits{}, echo)
		socket, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(socket.Close)
		listener := &failingListener{Listener: socket}
		listener.failures.Store(5)
		go e.accept(listener)
		conn, err := net.Dial("tcp", socket.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		_, _ = io.WriteString(conn, getRequest("/1"))
		_, body := readResponse(bufio.NewReader(conn))
		Expect(body).To(Equal("/1"))
		Expect(e.acceptErrors.Count()).To(BeEquivalentTo(5))
	})
})

// The stop that follows a failed start ended in a panic.
var _ = Describe("an edge whose address can't be bound", func() {
	It("stops", func() { (&edge{}).drain(context.Background()) })
})
