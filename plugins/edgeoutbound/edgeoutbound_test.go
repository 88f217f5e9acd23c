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
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
)

func TestEdgeOutbound(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "edge.outbound")
}

// serving starts an edge whose call path is path, and connects to it.
func serving(limits mesh.EdgeLimits, path port.CallPath) net.Conn {
	conn, _ := connected(limits, path)
	return conn
}

func connected(limits mesh.EdgeLimits, path port.CallPath) (net.Conn, *edge) {
	snapshot := new(port.SnapshotCell)
	snapshot.Store(&mesh.Snapshot{Limits: limits})
	e := &edge{
		edgeIn: edgeIn{
			Site: &port.Site{Outbound: netip.MustParseAddrPort("127.0.0.1:0")}, Path: path, Snapshot: snapshot,
			Calls: func() int64 { return 0 }, Grace: new(kernel.Grace), Logger: kernel.NewLogger(io.Discard),
		},
		connections: metrics.NewCounter(), requests: metrics.NewCounter(), latency: metrics.NilHistogram{},
	}
	Expect(e.start()).To(Succeed())
	DeferCleanup(e.socket.Close)
	conn, err := net.Dial("tcp", e.socket.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = conn.Close() }) // a spec may have closed it
	return conn, e
}

func answer(text string) *port.Response {
	return &port.Response{Status: 200, Header: http.Header{}, Buffered: []byte(text), Length: int64(len(text))}
}

// echo answers with path and body.
func echo(_ context.Context, r *port.Request) *port.Response {
	return answer(r.URL.Path + string(r.Buffered))
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

func read(r *bufio.Reader) (int, string) {
	GinkgoHelper()
	response, err := http.ReadResponse(r, nil)
	Expect(err).NotTo(HaveOccurred())
	body, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return response.StatusCode, string(body)
}

var _ = Describe("requests sent before the last one is answered", func() {
	// The first takes longest; its answer must still come first.
	It("run side by side and are answered in order", func() {
		begun := make(chan string, 3)
		release := make(chan struct{})
		conn := serving(mesh.EdgeLimits{}, func(_ context.Context, r *port.Request) *port.Response {
			begun <- r.URL.Path
			if r.URL.Path == "/1" {
				<-release
			}
			return answer(r.URL.Path)
		})
		_, err := io.WriteString(conn, get("/1")+get("/2")+get("/3"))
		Expect(err).NotTo(HaveOccurred())
		for range 3 {
			Eventually(begun, "5s").Should(Receive())
		}
		close(release)
		reader := bufio.NewReader(conn)
		for _, want := range []string{"/1", "/2", "/3"} {
			_, body := read(reader)
			Expect(body).To(Equal(want))
		}
	})

	// If an earlier answer ends the connection, the client sends it again.
	It("wait for the earlier answers when they must run once", func() {
		begun := make(chan string, 2)
		release := make(chan struct{})
		conn := serving(mesh.EdgeLimits{}, func(_ context.Context, r *port.Request) *port.Response {
			begun <- r.Method
			if r.Method == http.MethodGet {
				<-release
			}
			return answer("x")
		})
		_, err := io.WriteString(conn, get("/1")+"POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nb")
		Expect(err).NotTo(HaveOccurred())
		Eventually(begun, "5s").Should(Receive(Equal("GET")))
		Consistently(begun, "100ms").ShouldNot(Receive())
		close(release)
		Eventually(begun, "5s").Should(Receive(Equal("POST")))
	})

	It("tell when each arrived", func() {
		arrived := make(chan time.Time, 2)
		conn := serving(mesh.EdgeLimits{}, func(_ context.Context, r *port.Request) *port.Response {
			arrived <- r.Arrived
			return answer("")
		})
		_, _ = io.WriteString(conn, get("/1"))
		time.Sleep(50 * time.Millisecond)
		_, _ = io.WriteString(conn, get("/2"))
		var first, second time.Time
		Eventually(arrived, "5s").Should(Receive(&first))
		Eventually(arrived, "5s").Should(Receive(&second))
		Expect(second.Sub(first)).To(BeNumerically(">=", 40*time.Millisecond))
	})
})

// A server works on for a client that is gone.
var _ = DescribeTable("a client that leaves is noticed",
	func(sent string) {
		gone := make(chan struct{})
		conn := serving(mesh.EdgeLimits{}, func(ctx context.Context, r *port.Request) *port.Response {
			if r.URL.Path == "/1" {
				<-ctx.Done()
				close(gone)
			}
			return answer("")
		})
		_, err := io.WriteString(conn, sent)
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(20 * time.Millisecond)
		Expect(conn.Close()).To(Succeed())
		Eventually(gone, "2s").Should(BeClosed())
	},
	Entry("while its request waits", get("/1")),
	Entry("while other requests of it wait", get("/1")+get("/2")+get("/3")),
	Entry("after it asked for the end of the connection", "GET /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"),
)

var _ = Describe("a connection", func() {
	It("carries bodies with a length and in chunks", func() {
		conn := serving(mesh.EdgeLimits{}, echo)
		_, _ = io.WriteString(conn, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nxyz"+
			"POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nxyz\r\n0\r\n\r\n")
		reader := bufio.NewReader(conn)
		_, first := read(reader)
		_, second := read(reader)
		Expect([]string{first, second}).To(Equal([]string{"/axyz", "/bxyz"}))
	})

	It("ends after the answer when the client asks for it", func() {
		conn := serving(mesh.EdgeLimits{}, echo)
		_, _ = io.WriteString(conn, "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		reader := bufio.NewReader(conn)
		_, body := read(reader)
		Expect(body).To(Equal("/a"))
		_, err := reader.ReadByte()
		Expect(err).To(Equal(io.EOF))
	})

	It("ends when it is idle for longer than the configuration allows", func() {
		conn := serving(mesh.EdgeLimits{IdleTimeout: 50 * time.Millisecond}, echo)
		_, err := conn.Read(make([]byte, 1))
		Expect(err).To(Equal(io.EOF))
	})

	It("is not idle while an answer is due", func() {
		conn := serving(mesh.EdgeLimits{IdleTimeout: 50 * time.Millisecond}, func(context.Context, *port.Request) *port.Response {
			time.Sleep(300 * time.Millisecond)
			return answer("late")
		})
		_, _ = io.WriteString(conn, get("/1"))
		_, body := read(bufio.NewReader(conn))
		Expect(body).To(Equal("late"))
	})
})

// A stopping node ended between the arrival of a request and its call, or between
// the answer and its last byte; the client saw the connection end.
var _ = Describe("a node is busy", func() {
	const head = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 6\r\n\r\n"

	It("while a request arrives", func() {
		conn, e := connected(mesh.EdgeLimits{}, echo)
		_, _ = io.WriteString(conn, head+"abc")
		Eventually(e.busy, "5s").Should(BeTrue())
		Consistently(e.busy, "100ms").Should(BeTrue())
		_, _ = io.WriteString(conn, "def")
		_, body := read(bufio.NewReader(conn))
		Expect(body).To(Equal("/aabcdef"))
		Eventually(e.busy, "5s").Should(BeFalse())
	})

	It("while an answer is written", func() {
		conn, e := connected(mesh.EdgeLimits{}, func(context.Context, *port.Request) *port.Response {
			return answer(strings.Repeat("x", 32<<20))
		})
		_, _ = io.WriteString(conn, get("/1"))
		reader := bufio.NewReader(conn)
		_, err := reader.Peek(1)
		Expect(err).NotTo(HaveOccurred())
		Consistently(e.busy, "100ms").Should(BeTrue())
		_, body := read(reader)
		Expect(body).To(HaveLen(32 << 20))
		Eventually(e.busy, "5s").Should(BeFalse())
	})
})

// Between the last look at the calls in progress and the end of the process a node
// took a request and passed it on (soak seed 25).
var _ = Describe("a node that is about to end", func() {
	It("begins no request, and is busy until those begun are answered", func() {
		begun := make(chan string, 2)
		release := make(chan struct{})
		path := func(_ context.Context, r *port.Request) *port.Response {
			begun <- r.URL.Path
			<-release
			return answer(r.URL.Path)
		}
		conn, e := connected(mesh.EdgeLimits{}, path)
		other, err := net.Dial("tcp", e.socket.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(other.Close)
		_, _ = io.WriteString(conn, get("/1"))
		Eventually(begun, "5s").Should(Receive(Equal("/1")))
		e.closed.Store(true)
		_, _ = io.WriteString(other, get("/2"))
		_, err = other.Read(make([]byte, 1))
		Expect(err).To(HaveOccurred(), "the connection ends without an answer")
		Consistently(begun, "100ms").ShouldNot(Receive())
		Expect(e.busy()).To(BeTrue())
		close(release)
		_, body := read(bufio.NewReader(conn))
		Expect(body).To(Equal("/1"))
		Eventually(e.busy, "5s").Should(BeFalse())
	})
})

// The slot of the call was held until the node ended.
var _ = Describe("a long answer whose client has left", func() {
	It("is closed", func() {
		closed := make(chan struct{})
		conn := serving(mesh.EdgeLimits{}, func(ctx context.Context, _ *port.Request) *port.Response {
			<-ctx.Done()
			time.Sleep(50 * time.Millisecond) // the writer has given up by then
			return &port.Response{Status: 200, Header: http.Header{}, Remaining: closer(func() { close(closed) }), Length: -1}
		})
		_, _ = io.WriteString(conn, get("/1"))
		time.Sleep(20 * time.Millisecond)
		Expect(conn.Close()).To(Succeed())
		Eventually(closed, "5s").Should(BeClosed())
	})
})

type closer func()

func (closer) Read([]byte) (int, error) { return 0, io.EOF }
func (c closer) Close() error           { c(); return nil }

// A server must get exactly one clean request or none.
var _ = DescribeTable("a request that is refused",
	func(request string, status int) {
		conn := serving(mesh.EdgeLimits{HeaderBytes: 1024, BodyBytes: 2048, HeaderTimeout: 100 * time.Millisecond}, func(context.Context, *port.Request) *port.Response {
			defer GinkgoRecover()
			Fail("the request was passed on")
			return nil
		})
		_, err := io.WriteString(conn, request)
		Expect(err).NotTo(HaveOccurred())
		got, _ := read(bufio.NewReader(conn))
		Expect(got).To(Equal(status))
	},
	Entry("for a name with a space", "GET / HTTP/1.1\r\nHost: h\r\nBad Name: x\r\n\r\n", 400),
	Entry("for a host that is none", "GET / HTTP/1.1\r\nHost: a b\r\n\r\n", 400),
	Entry("for no host", "GET / HTTP/1.1\r\n\r\n", 400),
	Entry("for the target of a proxy", "GET http://h/ HTTP/1.1\r\nHost: h\r\n\r\n", 400),
	Entry("for two lengths", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400),
	Entry("for an unknown encoding", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\n", 400),
	Entry("for its body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4096\r\n\r\n", 413),
	Entry("for its headers", "GET / HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("x", 8000)+"\r\n\r\n", 431),
	Entry("for headers that do not come", "GET / HTTP/1.1\r\nHost: h\r\n", 408),
)

var _ = Describe("an answer that breaks off", func() {
	// A part must not look like the whole.
	It("ends the connection short of its length", func() {
		conn := serving(mesh.EdgeLimits{}, func(context.Context, *port.Request) *port.Response {
			return &port.Response{Status: 200, Header: http.Header{}, Buffered: []byte("part"), Remaining: broken{}, Length: 100}
		})
		_, _ = io.WriteString(conn, get("/1"))
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err == nil {
			_, err = io.ReadAll(response.Body)
		}
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	})
})

type broken struct{}

func (broken) Read([]byte) (int, error) { return 0, fmt.Errorf("the connection broke") }
func (broken) Close() error             { return nil }
