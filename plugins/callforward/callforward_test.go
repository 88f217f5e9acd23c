package callforward

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/result"
	"teaselring/test/connections"
	"teaselring/wire"
)

// A caller that takes a truncated response for a complete one acts on wrong data.
var _ = DescribeTable("a truncated response is never forwarded as complete", func(local, chunked bool) {
	p := newPair(serveUpstream(func(w http.ResponseWriter, _ *http.Request) {
		if !chunked {
			w.Header().Set("Content-Length", "100")
		}
		_, _ = io.WriteString(w, "only a part")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}))
	p.targets = []mesh.Target{p.remote()}
	if local {
		p.targets = []mesh.Target{p.local()}
	}
	response, body, err := send(p.request("GET", "/read/a", "", nil))
	Expect(response.StatusCode).To(Equal(http.StatusOK))
	Expect(err).To(HaveOccurred(), "read %q", body)
},
	Entry("without a length, through another node", false, true),
	Entry("with a length, on the entry node itself", true, false),
	Entry("without a length, on the entry node itself", true, true),
)

// Guards against a caller's connection that breaks with the one between two nodes: a
// short response is whole, or refused with the answer whether it may have run.
var _ = Describe("a short response that is truncated on its way from another node", func() {
	It("is refused as one that may have run", func() {
		p := newPair(serveUpstream(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "only a part")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}))
		p.targets = []mesh.Target{p.remote()}
		response, body, err := send(p.request("GET", "/read/a", "", nil))
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Header.Get(port.CodeHeader)).To(Equal(strconv.Itoa(result.ConnectionLost.Number)), body)
		Expect(body).NotTo(ContainSubstring("only a part"))
	})
})

// breakingUpstream responds to the first request of each connection and closes the
// connection after it has read the second. It returns the key of each request.
func breakingUpstream() (address string, keys <-chan string) {
	seen := make(chan string, 16)
	return connections.Serve(func(c net.Conn) {
		for reader, n := bufio.NewReader(c), 0; n < 2; n++ {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			seen <- request.Header.Get(wire.HeaderKey)
			if n == 0 {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			}
		}
	}), seen
}

// net/http repeats a request on a new connection when an idle one breaks, if it has
// no body and an Idempotency-Key. A charge would run twice.
var _ = DescribeTable("a once call on a kept connection that breaks is sent once", func(local bool, body string) {
	address, keys := breakingUpstream()
	p := newPair(address)
	p.targets = []mesh.Target{p.remote(), p.remote()}
	if local {
		p.targets = []mesh.Target{p.local(), p.local()}
	}
	response, _, _ := send(p.request("POST", "/once/a", body, map[string]string{wire.HeaderKey: "first"}))
	Expect(response.StatusCode).To(Equal(http.StatusOK))
	response, _, _ = send(p.request("POST", "/once/b", body, map[string]string{wire.HeaderKey: "second"}))
	Expect(code(response)).To(Equal(result.UpstreamLost))
	Expect(keys).To(Receive(Equal("first")))
	Expect(keys).To(Receive(Equal("second")))
	Expect(keys).NotTo(Receive())
	// The claim of the second stays, since its outcome is unknown. The last settlement
	// shows that all those before it have arrived.
	_, err := kernel.Do(context.Background(), p.owner.in.Settlements, port.Settlement{Claim: port.Claim{Key: "last"}})
	Expect(err).NotTo(HaveOccurred())
	Expect(p.settlements).To(Receive(HaveField("Claim.Key", "first")))
	Expect(p.settlements).To(Receive(HaveField("Claim.Key", "last")))
},
	Entry("without a body, through another node", false, ""),
	Entry("without a body, on the entry node itself", true, ""),
	Entry("with a body, through another node", false, "12 ML"),
)

// Guards against an upload that net/http repeats because of its method: it takes GET, HEAD,
// OPTIONS and TRACE for requests that may be repeated, whatever the class of the route.
var _ = DescribeTable("an upload without a body on a kept connection that breaks is sent once", func(method string, local bool) {
	address, keys := breakingUpstream()
	p := newPair(address)
	p.targets = []mesh.Target{p.remote(), p.remote()}
	if local {
		p.targets = []mesh.Target{p.local(), p.local()}
	}
	response, _, _ := send(p.request(method, "/upload/a", "", nil))
	Expect(response.StatusCode).To(Equal(http.StatusOK))
	response, _, _ = send(p.request(method, "/upload/b", "", nil))
	Expect(code(response)).To(Equal(result.UpstreamLost))
	Expect(keys).To(Receive())
	Expect(keys).To(Receive())
	Expect(keys).NotTo(Receive())
},
	Entry("by GET, on the entry node itself", "GET", true),
	Entry("by GET, through another node", "GET", false),
	Entry("by OPTIONS, on the entry node itself", "OPTIONS", true),
	Entry("by PUT, through another node", "PUT", false),
)

func code(response *http.Response) *result.Code {
	number, err := strconv.Atoi(response.Header.Get("Teasel-Code"))
	Expect(err).NotTo(HaveOccurred(), response.Status)
	return result.ByNumber(number)
}

// closingPeer closes each connection without a response.
func closingPeer() mesh.Target {
	return mesh.Target{Node: "silent", PeerAddress: connections.Serve(func(net.Conn) {})}
}

var _ = Describe("a call whose first attempt may have run", func() {
	var p *pair
	BeforeEach(func() {
		p = newPair(serveUpstream(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
		p.retry = true
	})

	// The caller would repeat a charge that ran.
	DescribeTable("is not refused as not run by a later attempt", func(later func() []mesh.Target) {
		p.targets = append([]mesh.Target{p.remote()}, later()...)
		response, _, _ := send(p.request("POST", "/once/a", "x", map[string]string{wire.HeaderKey: "k"}))
		Expect(code(response)).To(Equal(result.UpstreamLost))
	},
		Entry("that finds no endpoint", func() []mesh.Target { return nil }),
		Entry("that can't connect", func() []mesh.Target { return []mesh.Target{closingPeer()} }),
	)

	It("is settled when the owner node's answer is lost, and refused as not run only with proof", func() {
		for _, p.fenced = range []bool{false, true} {
			p.retry = false
			p.targets = []mesh.Target{p.remote()}
			breaking := *p.entry
			breaking.Peers.Client = &http.Client{Transport: failCalls{p.entry.Peers.Transport}}
			c := &exchange{entry: &breaking}
			err := c.settleFailure(context.Background(), &wire.Attempt{
				ID: "a1", Target: p.remote(), Call: mesh.Call{Deadline: time.Now().Add(time.Minute)},
			}, io.ErrUnexpectedEOF, true)
			Expect(p.settles).To(Receive(BeEquivalentTo("a1")))
			if p.fenced {
				Expect(result.Of(err)).To(Equal(result.Fenced))
			} else {
				Expect(result.Of(err)).To(Equal(result.ConnectionLost))
			}
		}
	})
})

// failCalls fails every request except settle requests.
type failCalls struct{ http.RoundTripper }

func (l failCalls) RoundTrip(r *http.Request) (*http.Response, error) {
	if strings.HasPrefix(r.URL.Path, settlePath) {
		return l.RoundTripper.RoundTrip(r)
	}
	return nil, io.ErrUnexpectedEOF
}

// A forged attempt id could fence the call of another caller, a forged class could gain
// priority in the queue, and hop-by-hop headers do not apply to the next connection.
var _ = DescribeTable("headers of one connection and of the nodes are removed", func(local bool) {
	seen := make(chan http.Header, 1)
	p := newPair(serveUpstream(func(w http.ResponseWriter, r *http.Request) {
		seen <- r.Header
		for name, value := range map[string]string{
			"Connection": "X-Answer-Hop", "X-Answer-Hop": "1", "Keep-Alive": "5", "X-Kept": "answer",
			wire.HeaderLoad: "9,9,9", "Teasel-Code": "1018",
		} {
			w.Header().Set(name, value)
		}
		_, _ = io.WriteString(w, "ok")
	}))
	p.targets = []mesh.Target{p.remote()}
	if local {
		p.targets = []mesh.Target{p.local()}
	}
	response, body, err := send(p.request("GET", "/read/a", "", map[string]string{
		"Connection": "X-Hop", "X-Hop": "1", "Keep-Alive": "5", "X-Kept": "request", "Te": "trailers",
		wire.HeaderAttempt: "forged", wire.HeaderClass: "once", wire.HeaderIncarnation: "7", wire.HeaderRoute: "forged", wire.HeaderFingerprint: "f",
	}))
	Expect(err).NotTo(HaveOccurred())
	Expect(body).To(Equal("ok"))
	var got http.Header
	Expect(seen).To(Receive(&got))
	for _, name := range []string{"Connection", "X-Hop", "Keep-Alive", "Te"} {
		Expect(got).NotTo(HaveKey(name))
	}
	Expect(got.Get("X-Kept")).To(Equal("request"))
	Expect(got.Get(wire.HeaderAttempt)).NotTo(Or(BeEmpty(), Equal("forged")))
	Expect(got.Get(wire.HeaderClass)).To(Equal("read"))
	Expect(got.Get(wire.HeaderRoute)).To(Equal("r"))
	for _, name := range []string{"X-Answer-Hop", "Keep-Alive", "Teasel-Load", "Teasel-Code"} {
		Expect(response.Header).NotTo(HaveKey(name))
	}
	Expect(response.Header.Get("X-Kept")).To(Equal("answer"))
},
	Entry("through another node", false),
	Entry("on the entry node itself", true),
)

// An upload over a slow connection must not be cut off while it makes progress, and
// a read must not wait without limit.
var _ = It("the progress timer is extended by progress, for uploads in both directions", func() {
	const timeout = time.Second
	cases := []struct {
		name     string
		class    mesh.Class
		progress func(*progressTimer)
		extended bool
	}{
		{"upload that sends", mesh.ClassUpload, (*progressTimer).sent, true},
		{"upload that receives", mesh.ClassUpload, (*progressTimer).received, true},
		{"upload without progress", mesh.ClassUpload, func(*progressTimer) {}, false},
		{"read that sends", mesh.ClassRead, (*progressTimer).sent, false},
		{"read that receives", mesh.ClassRead, (*progressTimer).received, true},
		{"once call that sends", mesh.ClassOnce, (*progressTimer).sent, false},
	}
	contexts := make([]context.Context, len(cases))
	timers := make([]*progressTimer, len(cases))
	for i, c := range cases {
		var cancel context.CancelFunc
		contexts[i], timers[i], cancel = withProgressTimer(context.Background(), c.class, timeout, timeout)
		defer cancel()
	}
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for began := time.Now(); time.Since(began) < 2*timeout; <-ticker.C {
		for i, c := range cases {
			c.progress(timers[i])
		}
	}
	for i, c := range cases {
		Expect(contexts[i].Err() == nil).To(Equal(c.extended), c.name)
	}
	for i, c := range cases {
		Eventually(contexts[i].Done(), "30s").Should(BeClosed(), c.name)
		Expect(context.Cause(contexts[i])).To(BeIdenticalTo(errDeadline), c.name)
	}
})

// A refusal is lost when the connection is reset because of an unread body. The caller
// then does not know that its call did not run.
var _ = It("a refused upload on a connection to be closed gets its refusal", func() {
	p := newPair("127.0.0.1:1")
	for range 50 {
		request := p.request("POST", "/upload/a", strings.Repeat("x", 200_000), nil)
		request.Close = true
		response, _, err := send(request)
		Expect(err).NotTo(HaveOccurred())
		Expect(code(response)).To(Equal(result.NoEndpoint))
	}
})
