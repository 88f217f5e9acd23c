package callrelay

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"teaselring/decision/replica"
	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/result"
	"teaselring/test/connections"
	"teaselring/test/rings"
)

func TestCallRelay(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "call.relay")
}

func guard() *kernel.Guard {
	return kernel.NewGuard(kernel.NewLogger(io.Discard), metrics.NewRegistry())
}

// scriptedRing returns a ring whose requests a function handles until the test ends.
func scriptedRing[Q, R any](name string, respond func(Q) (R, error)) *kernel.Ring[kernel.Request[Q, R]] {
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	return rings.Responder(ctx, name, respond)
}

// headers are the header names of a fictitious platform.
var headers = port.CallHeaders{
	RequestID: "Id", DeadlineMS: "Left", Signature: "Proof", Expect: "Only", Instance: "Server", NotRun: "Not-Run",
	Caller: "From", AccountKey: "Secret", Account: "Payer", ReadLoad: func(http.Header) *mesh.Load { return nil },
}

// node is an entry node with a scripted router and scripted slots. Its only target
// is itself; the attempts go to the servers in order.
type node struct {
	returnTime    time.Duration // told with the verdict
	noTarget      error         // of the router when no server is left; nil: result.NoEndpoint
	entry         *entry
	servers       []string // IP:port, one for each attempt to come
	retry         bool     // verdict of the router on failed attempts
	retryRequests atomic.Int64
	charged       atomic.Int64
	chargeError   error // result of charges to an account
	// admitted is called when an attempt is admitted; nil: no call.
	admitted func()
}

func newNode(servers ...string) *node {
	n := &node{servers: servers}
	snapshot := new(port.SnapshotCell)
	s := &mesh.Snapshot{Version: 1, Routes: []mesh.Route{
		{ID: "r", Host: "h", PathPrefix: "/read/", Service: "s", Class: mesh.ClassRead, Timeout: 2 * time.Second, MaxAttempts: 2},
		{ID: "o", Host: "h", PathPrefix: "/once/", Service: "s", Class: mesh.ClassOnce, Timeout: 2 * time.Second, MaxAttempts: 2},
	}}
	Expect(s.IndexByHost()).To(Succeed())
	snapshot.Store(s)
	rows := new(port.RowsCell)
	rows.Store(replica.New())
	in := relayIn{
		Identity: mesh.Identity{Node: "n"}, Seen: new(port.SeenCache), PlatformSettings: &port.PlatformSettings{Service: "caller"}, Headers: headers, Snapshot: snapshot, Rows: rows,
		View: new(port.ViewCell), Load: new(port.LoadCell), Grace: new(kernel.Grace), Guard: guard(), Logger: kernel.NewLogger(io.Discard), Metrics: metrics.NewRegistry(),
		Hints: kernel.NewRing[port.RowsHint]("hints", 8, kernel.ReplaceOldest),
		Picks: scriptedRing("picks", func(p port.Pick) (mesh.Target, error) {
			if len(n.servers) == 0 {
				if n.noTarget != nil {
					return mesh.Target{}, n.noTarget
				}
				return mesh.Target{}, result.NoEndpoint.Err()
			}
			return mesh.Target{Node: "n", Service: "s"}, nil
		}),
		Outcomes: kernel.NewRing[port.OutcomeReport]("outcomes", 64, kernel.ReplaceOldest),
		Retries: scriptedRing("retries", func(port.RetryRequest) (port.RetryDecision, error) {
			n.retryRequests.Add(1)
			return port.RetryDecision{Retry: n.retry, RetryAfter: n.returnTime}, nil
		}),
		Admit: scriptedRing("admit", func(port.Admit) (port.Admission, error) {
			address := n.servers[0]
			n.servers = n.servers[1:]
			if n.admitted != nil {
				n.admitted()
			}
			if address == "" {
				return port.Admission{}, result.QueueFull.Err()
			}
			return port.Admission{Upstream: netip.MustParseAddrPort(address), Instance: "i"}, nil
		}),
		Release: kernel.NewRing[port.SlotRelease]("release", 64, kernel.ReplaceOldest),
		Charges: scriptedRing("charges", func(c port.AccountCharge) (struct{}, error) {
			n.charged.Add(1)
			return struct{}{}, n.chargeError
		}),
		Returns: kernel.NewRing[port.AccountReturn]("returns", 64, kernel.Refuse),
	}
	n.entry = newEntry(&in, &owner{relayIn: &in, pool: newPool(), calls: new(atomic.Int64)})
	return n
}

// call sends a request with the id "1" through the node.
func (n *node) call(method, path, body string) *port.Response {
	return n.callFor(context.Background(), method, path, body)
}

func (n *node) callFor(ctx context.Context, method, path, body string) *port.Response {
	r, err := http.NewRequest(method, path, nil)
	Expect(err).NotTo(HaveOccurred())
	r.Host, r.Header = "h", http.Header{"Id": {"1"}, "Left": {"1500"}, "From": {"forged"}, "Teasel-Class": {"forged"}}
	return n.entry.serve(ctx, &port.Request{Request: r, Buffered: []byte(body), Length: int64(len(body)), Arrived: time.Now()})
}

// server responds to the requests of all connections with the scripted bytes.
func server(script ...string) (address string, requests chan *http.Request) {
	requests = make(chan *http.Request, 16)
	next := make(chan string, len(script))
	for _, s := range script {
		next <- s
	}
	return connections.Serve(func(c net.Conn) {
		for reader := bufio.NewReader(c); ; {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			requests <- r
			response := <-next
			_, _ = io.WriteString(c, strings.TrimSuffix(response, closeAfter))
			if strings.HasSuffix(response, closeAfter) {
				return
			}
		}
	}), requests
}

// closeAfter ends a scripted response after which the server closes the connection.
const closeAfter = "\x00"

func okResponse(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nProof: p\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

func code(response *port.Response) string { return response.Header.Get(port.CodeHeader) }

var _ = Describe("a request to a server", func() {
	It("carries trusted headers, and none of other connections or nodes", func() {
		address, requests := server(okResponse("1", "abc"))
		response := newNode(address).call("GET", "/read/x?y=1", "")
		Expect(response.Status).To(Equal(200))
		Expect(string(response.Buffered)).To(Equal("abc"))
		var r *http.Request
		Expect(requests).To(Receive(&r))
		Expect(r.RequestURI).To(Equal("/read/x?y=1"))
		Expect(r.Header.Get("From")).To(Equal("caller"), "the service of the machine, not the header of the client")
		Expect(r.Header.Get("Only")).To(Equal("i"))
		Expect(r.Header).NotTo(HaveKey("Teasel-Class"))
	})
})

// Each of these was once reported as a success or as not run.
var _ = DescribeTable("an invalid server response",
	func(response, class string, status int, want *result.Code) {
		address, _ := server(response)
		resp := newNode(address).call("POST", "/"+class+"/x", "body")
		Expect(resp.Status).To(Equal(status))
		Expect(code(resp)).To(Equal(strconv.Itoa(want.Number)))
	},
	Entry("that is truncated is rejected", "HTTP/1.1 200 OK\r\nId: 1\r\nProof: p\r\nContent-Length: 9\r\n\r\nabc"+closeAfter, "once", 502, result.UpstreamLost),
	Entry("that is not HTTP", "garbage\r\n\r\n"+closeAfter, "once", 502, result.UpstreamLost),
	Entry("without proof", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n\r\n", "once", 502, result.UpstreamLost),
	Entry("with an encoding", "HTTP/1.1 200 OK\r\nId: 1\r\nProof: p\r\nContent-Encoding: gzip\r\nContent-Length: 0\r\n\r\n", "once", 502, result.UpstreamLost),
	Entry("503 without the not-run header may have run", "HTTP/1.1 503 Busy\r\nId: 1\r\nContent-Length: 0\r\n\r\n", "once", 502, result.UpstreamLost),
	Entry("503 with the not-run header is not run", "HTTP/1.1 503 Busy\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", "once", 503, result.Shed),
	Entry("421 of another server is not run", "HTTP/1.1 421 Other\r\nId: 1\r\nServer: j\r\nContent-Length: 0\r\n\r\n", "once", 503, result.NoEndpoint),
)

var _ = Describe("an answer to another request", func() {
	// A server sent a second response late; the next request on the connection got it.
	It("is skipped, and the connection is not used again", func() {
		address, requests := server(okResponse("0", "old")+okResponse("1", "new"), okResponse("1", "third"))
		n := newNode(address, address)
		Expect(string(n.call("GET", "/read/x", "").Buffered)).To(Equal("new"))
		Expect(string(n.call("GET", "/read/x", "").Buffered)).To(Equal("third"))
		Expect(requests).To(HaveLen(2))
	})

	It("that follows a complete response is not taken for the next one", func() {
		address, _ := server(okResponse("1", "first")+okResponse("0", "extra"), okResponse("1", "next"))
		n := newNode(address, address)
		Expect(string(n.call("GET", "/read/x", "").Buffered)).To(Equal("first"))
		Expect(string(n.call("GET", "/read/x", "").Buffered)).To(Equal("next"))
	})
})

var _ = Describe("a call that may have run", func() {
	lost := func() string { address, _ := server(closeAfter); return address }

	It("is not sent again when it must run once, and is not refused as not run", func() {
		n := newNode(lost(), lost())
		response := n.call("POST", "/once/x", "b")
		Expect(response.Status).To(Equal(502))
		Expect(n.servers).To(HaveLen(1))
	})

	It("is not refused as not run when a later attempt finds no server", func() {
		n := newNode(lost())
		n.retry = true
		Expect(n.call("GET", "/read/x", "").Status).To(Equal(502))
	})

	It("is answered by another server when the router allows it", func() {
		address, _ := server(okResponse("1", "abc"))
		n := newNode(lost(), address)
		n.retry = true
		Expect(n.call("GET", "/read/x", "").Status).To(Equal(200))
	})
})

var _ = Describe("a call that a node refused before its server", func() {
	It("goes to another node without a retry", func() {
		address, _ := server(okResponse("1", "abc"))
		n := newNode("", address)
		Expect(n.call("POST", "/once/x", "b").Status).To(Equal(200))
		Expect(n.retryRequests.Load()).To(BeZero(), "a refusal before the server spends no retry budget")
	})

	It("is refused as not run, with a Retry-After header", func() {
		response := newNode("").call("POST", "/once/x", "b")
		Expect(response.Status).To(Equal(503))
		Expect(response.Header.Get("Retry-After")).NotTo(BeEmpty())
	})

	// Callers returned after a random time, whatever the router expected.
	It("tells the caller when the router expects room", func() {
		n := newNode("")
		n.noTarget = timedError{result.QueueFull.Err()}
		response := n.call("POST", "/once/x", "b")
		Expect(response.Status).To(Equal(503))
		Expect(response.Header.Get("Retry-After")).To(Equal("0.125"))
	})

	It("tells the caller the same when a server refused it and it gets no retry", func() {
		address, _ := server("HTTP/1.1 503 Busy\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
		n := newNode(address)
		n.returnTime = 125 * time.Millisecond
		response := n.call("GET", "/read/x", "")
		Expect(response.Status).To(Equal(503))
		Expect(response.Header.Get("Retry-After")).To(Equal("0.125"))
	})
})

var _ = Describe("a call that gets no response", func() {
	It("ends with 504 at the caller's deadline", func() {
		address, _ := server()
		began := time.Now()
		response := newNode(address).call("GET", "/read/x", "")
		Expect(response.Status).To(Equal(504))
		Expect(time.Since(began)).To(BeNumerically(">=", 1400*time.Millisecond))
	})

	// Otherwise the server would work on for a client that has disconnected.
	It("ends at the server when the client leaves", func() {
		address, requests := server()
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		n := newNode(address)
		go func() { defer close(done); n.callFor(ctx, "GET", "/read/x", "") }()
		Eventually(requests, "5s").Should(Receive())
		cancel()
		Eventually(done, "1s").Should(BeClosed())
	})
})

// Guards against a body whose end is not that of the client's (review/6).
var _ = DescribeTable("a body that fails while it is sent never looks complete to the server", func(remote bool, failure error, want *result.Code, status int) {
	var complete atomic.Int64 // requests
	address := connections.Serve(func(c net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		if _, err = io.Copy(io.Discard, r.Body); err == nil {
			complete.Add(1)
		}
		_, _ = io.WriteString(c, okResponse("1", "ran"))
	})
	n := newNode(address)
	if remote {
		owner := httptest.NewServer(newNode(address).entry.owner)
		DeferCleanup(owner.Close)
		n = newNode().toPeer(owner.Listener.Addr().String())
	}
	r, err := http.NewRequest(http.MethodPost, "/once/x", nil)
	Expect(err).NotTo(HaveOccurred())
	r.Host, r.Header = "h", http.Header{"Id": {"1"}, "Left": {"1500"}}
	body := io.MultiReader(strings.NewReader(strings.Repeat("x", 40_000)), iotest.ErrReader(failure))
	response := n.entry.serve(context.Background(), &port.Request{Request: r, Buffered: []byte("begin"), Remaining: body, Length: -1, Arrived: time.Now()})
	Expect(code(response)).To(Equal(strconv.Itoa(want.Number)))
	Expect(response.Status).To(Equal(status))
	Consistently(complete.Load, "300ms").Should(BeZero())
},
	Entry("over the limit", false, result.BodyOverLimit.Err(), result.BodyOverLimit, http.StatusRequestEntityTooLarge),
	Entry("over the limit, through another node", true, result.BodyOverLimit.Err(), result.BodyOverLimit, http.StatusRequestEntityTooLarge),
	Entry("since the client broke off", false, io.ErrUnexpectedEOF, result.UpstreamLost, http.StatusBadGateway),
	Entry("since the client broke off, through another node", true, io.ErrUnexpectedEOF, result.ConnectionLost, http.StatusBadGateway),
)

var _ = Describe("a call whose caller has disconnected", func() {
	It("is not sent to the server", func() {
		address, requests := server(okResponse("1", "abc"))
		ctx, cancel := context.WithCancel(context.Background())
		n := newNode(address)
		n.admitted = cancel
		n.callFor(ctx, "GET", "/read/x", "")
		Consistently(requests, "100ms").ShouldNot(Receive())
	})
})

var _ = Describe("a node without configuration", func() {
	// A 404 is final for callers, a 503 is retried.
	It("answers 503, not 404", func() {
		n := newNode()
		n.entry.Snapshot = new(port.SnapshotCell)
		Expect(n.call("GET", "/read/x", "").Status).To(Equal(503))
	})
})

// Guards against a panic on one response that ends the process with all other calls.
var _ = Describe("a call whose response causes a panic", func() {
	It("may have run, and its slot is released", func() {
		address, _ := server(okResponse("1", "a"))
		n := newNode(address)
		n.entry.owner.Headers.ReadLoad = func(http.Header) *mesh.Load { panic("odd load") }
		refused := "HTTP/1.1 503 Service Unavailable\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
		n.servers[0], _ = server(refused)
		a := n.call(http.MethodPost, "/once/x", "")
		Expect(a.Status).To(Equal(http.StatusBadGateway))
		Expect(code(a)).To(Equal(strconv.Itoa(result.Internal.Number)))
		Expect(n.entry.Release.Len()).To(Equal(1))
	})
})

// The path of a request reached the server changed.
var _ = DescribeTable("the target of a request reaches the server unchanged", func(target string) {
	address, requests := server(okResponse("1", "ok"))
	n := newNode(address)
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET " + target + " HTTP/1.1\r\nHost: H:80\r\nId: 1\r\n\r\n")))
	Expect(err).NotTo(HaveOccurred())
	Expect(n.entry.serve(context.Background(), &port.Request{Request: r, Arrived: time.Now()}).Status).To(Equal(200))
	var got *http.Request
	Expect(requests).To(Receive(&got))
	Expect(got.RequestURI).To(Equal(target))
	Expect(got.Host).To(Equal("H:80"), "a host in capitals has a route")
},
	Entry("plain", "/read/x?y=1"),
	Entry("with characters that net/url escapes", `/read/a|b^c"d{e}`),
	Entry("with bytes above 127", "/read/caf\xc3\xa9"),
	Entry("with escaped characters", "/read/a%2Fb%7cc?d=%20|"),
	Entry("with an empty query", "/read/x?"),
	Entry("with two slashes", "/read//x"),
)

// The end of a call set a past deadline on its connection when that was in use again.
var _ = Describe("a connection whose call has ended", func() {
	It("is not used again if the end of the call interrupted it", func() {
		address, _ := server()
		conn, err := newPool().get(context.Background(), address)
		Expect(err).NotTo(HaveOccurred())
		x := &exchange{
			pool: newPool(), conn: conn, incoming: &port.Request{}, idleTimeout: func(*http.Response) time.Duration { return time.Minute },
			stop: func() bool { return false },
		}
		x.releaseConnection(&http.Response{ContentLength: 0}, 0)
		_, kept := x.pool.idle.Load(address)
		Expect(kept).To(BeFalse())
	})
})

// timedError is a refusal with the time of the next room.
type timedError struct{ error }

func (timedError) RetryIn() time.Duration { return 125 * time.Millisecond }
func (e timedError) Unwrap() error        { return e.error }
