package callrelay

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/result"
	"teaselring/wire"
)

// withAccounts puts a configuration with an account and an anonymous route into force.
func (n *node) withAccounts() *node {
	s := &mesh.Snapshot{Version: 2, Routes: []mesh.Route{
		{ID: "r", Host: "h", PathPrefix: "/read/", Service: "s", Class: mesh.ClassRead, Timeout: 2 * time.Second, MaxAttempts: 2, Priority: 3, HasPriority: true},
		{ID: "a", Host: "h", PathPrefix: "/open/", Service: "s", Class: mesh.ClassRead, Timeout: 2 * time.Second, MaxAttempts: 2, Anonymous: true},
		{ID: "i", Host: "h", PathPrefix: "/inner/", Service: "s", Class: mesh.ClassRead, Timeout: 2 * time.Second, Target: 200 * time.Millisecond, Anonymous: true, Priority: 2, HasPriority: true},
	}}
	Expect(s.IndexByHost()).To(Succeed())
	s.AddAccount(mesh.Account{Name: "hotel", Priority: 1, HasPriority: true}, []string{"k-hotel"})
	s.AddAccount(mesh.Account{Name: "chain", Rate: 2, Burst: 2}, []string{"k-chain"})
	n.entry.Snapshot.Store(s)
	return n
}

// sendRaw parses a request as the edge does and sends it through the node.
func (n *node) sendRaw(head, body string) *port.Response {
	GinkgoHelper()
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(head + "\r\nHost: h\r\nId: 1\r\nLeft: 1500\r\n" + body)))
	Expect(err).NotTo(HaveOccurred())
	held, err := io.ReadAll(r.Body)
	Expect(err).NotTo(HaveOccurred())
	return n.entry.serve(context.Background(), &port.Request{Request: r, Buffered: held, Length: int64(len(held)), Arrived: time.Now()})
}

// attempt sends the node's owner an attempt of another node.
func (n *node) attempt(h http.Header) {
	r := httptest.NewRequest("GET", "/read/x", nil)
	r.Header = h
	a := wire.Attempt{ID: "1/1", Call: mesh.Call{Service: "s", Deadline: time.Now().Add(time.Second)}}
	a.Write(r.Header, time.Now())
	n.entry.owner.ServeHTTP(httptest.NewRecorder(), r)
}

// Guards against a key that reaches a server, and against an account that a client claims.
var _ = DescribeTable("a request with accounts in force",
	func(head, body string, status int, account string) {
		address, requests := server(okResponse("1", "ok"))
		n := newNode(address).withAccounts()
		var log bytes.Buffer
		n.entry.Logger = kernel.NewLogger(&log)
		response := n.sendRaw(head, body)
		Expect(response.Status).To(Equal(status), string(response.Buffered))
		Expect(log.String()+string(response.Buffered)).NotTo(ContainSubstring("k-"), "no key in logs and refusals")
		if status != http.StatusOK {
			Expect(requests).NotTo(Receive())
			return
		}
		var r *http.Request
		Expect(requests).To(Receive(&r))
		Expect(strings.Join(r.Header.Values("Payer"), ",")).To(Equal(account))
		var sent bytes.Buffer
		Expect(r.Header.Write(&sent)).To(Succeed())
		Expect(strings.ToLower(sent.String())).NotTo(ContainSubstring("k-"))
		Expect(r.Trailer).To(BeEmpty())
	},
	Entry("with a valid key", "GET /read/x HTTP/1.1\r\nSecret: k-hotel", "\r\n", 200, "hotel"),
	Entry("without a key", "GET /read/x HTTP/1.1", "\r\n", 401, ""),
	Entry("with an empty key", "GET /read/x HTTP/1.1\r\nSecret:", "\r\n", 401, ""),
	Entry("with an unknown key", "GET /read/x HTTP/1.1\r\nSecret: k-other", "\r\n", 401, ""),
	Entry("in capitals, with a claimed account", "GET /read/x HTTP/1.1\r\nSECRET: k-hotel\r\npAYER: bank\r\nPayer: bank", "\r\n", 200, "hotel"),
	Entry("with the key twice", "GET /read/x HTTP/1.1\r\nSecret: k-hotel\r\nsecret: k-hotel", "\r\n", 200, "hotel"),
	Entry("with two keys", "GET /read/x HTTP/1.1\r\nSecret: k-hotel\r\nSecret: k-other", "\r\n", 401, ""),
	Entry("with both headers listed in Connection", "GET /read/x HTTP/1.1\r\nConnection: Secret, Payer\r\nSecret: k-hotel\r\nPayer: bank", "\r\n", 200, "hotel"),
	Entry("with both headers in trailers", "POST /read/x HTTP/1.1\r\nSecret: k-hotel\r\nTransfer-Encoding: chunked\r\nTrailer: Secret, Payer",
		"\r\n1\r\nx\r\n0\r\nSecret: k-hotel\r\nPayer: bank\r\n\r\n", 200, "hotel"),
	Entry("with the key only in a trailer", "POST /read/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTrailer: Secret",
		"\r\n1\r\nx\r\n0\r\nSecret: k-hotel\r\n\r\n", 401, ""),
	Entry("with the nodes' own header", "GET /read/x HTTP/1.1\r\nTeasel-Account: hotel", "\r\n", 401, ""),
	Entry("without a key on an anonymous route", "GET /open/x HTTP/1.1\r\nPayer: bank\r\nTeasel-Account: bank", "\r\n", 200, ""),
	Entry("with a valid key on an anonymous route", "GET /open/x HTTP/1.1\r\nSecret: k-hotel\r\nPayer: bank", "\r\n", 200, "hotel"),
	Entry("with an unknown key on an anonymous route", "GET /open/x HTTP/1.1\r\nSecret: k-other\r\nPayer: bank", "\r\n", 200, ""),
)

var _ = Describe("the key of a request", func() {
	It("is looked up in the configuration in force for each request, so that a removed key is refused", func() {
		address, _ := server(okResponse("1", "ok"))
		n := newNode(address).withAccounts()
		Expect(n.sendRaw("GET /read/x HTTP/1.1\r\nSecret: k-hotel", "\r\n").Status).To(Equal(200))
		next := *n.entry.Snapshot.Load()
		next.Accounts = nil
		next.RequireKeys()
		n.entry.Snapshot.Store(&next)
		Expect(n.sendRaw("GET /read/x HTTP/1.1\r\nSecret: k-hotel", "\r\n").Status).To(Equal(401))
	})

	// Servers got the keys of clients when the last account was taken away.
	It("is not sent to a server of an anonymous route when no account is left", func() {
		address, requests := server(okResponse("1", "ok"))
		n := newNode(address).withAccounts()
		next := *n.entry.Snapshot.Load()
		next.Accounts = nil
		next.RequireKeys()
		n.entry.Snapshot.Store(&next)
		Expect(n.sendRaw("GET /open/x HTTP/1.1\r\nSecret: k-hotel\r\nPayer: bank", "\r\n").Status).To(Equal(200))
		var sent *http.Request
		Expect(requests).To(Receive(&sent))
		Expect(sent.Header).NotTo(Or(HaveKey("Secret"), HaveKey("Payer")))
	})

	It("is not sent to an owner node, which gets the account and its priority", func() {
		address, requests := server(okResponse("1", "ok"))
		n := newNode().withAccounts()
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET /read/x HTTP/1.1\r\nHost: h\r\nId: 1\r\nSecret: k-hotel\r\nPayer: bank\r\nTeasel-Account: bank\r\n\r\n")))
		Expect(err).NotTo(HaveOccurred())
		incoming := &port.Request{Request: r, Arrived: time.Now()}
		c, err := n.entry.newCall(incoming)
		Expect(err).NotTo(HaveOccurred())
		_, _, err = n.entry.runRemote(context.Background(), &wire.Attempt{ID: "1/1", Call: c.call, Target: mesh.Target{PeerAddress: address}}, incoming)
		Expect(err).NotTo(HaveOccurred())
		var sent *http.Request
		Expect(requests).To(Receive(&sent))
		Expect(sent.Header).NotTo(Or(HaveKey("Secret"), HaveKey("Payer")))
		Expect(sent.Header["Teasel-Account"]).To(Equal([]string{"hotel"}))
		Expect(sent.Header.Get(wire.HeaderPriority)).To(Equal("1"))
	})

	// Behind the calls of accounts with a high priority, servers' calls were refused, and the
	// requests failed for which they were made: 2,233 of 15,866 bookings.
	It("is not needed for a server's call, which gets the highest priority only with accounts in force", func() {
		n := newNode().withAccounts()
		priority := func() int {
			r := httptest.NewRequest("GET", "/inner/x", nil)
			r.Host = "h"
			r.Header.Set("Id", "1")
			c, err := n.entry.newCall(&port.Request{Request: r, Arrived: time.Now()})
			Expect(err).NotTo(HaveOccurred())
			return c.call.Priority
		}
		Expect(priority()).To(BeZero())
		next := *n.entry.Snapshot.Load()
		next.Accounts = nil
		n.entry.Snapshot.Store(&next)
		Expect(priority()).To(Equal(2))
	})

	// The entry node may be a configuration version behind.
	It("and a claimed account are removed by an owner node that has accounts when its entry node has none", func() {
		address, requests := server(okResponse("1", "ok"))
		n := newNode(address).withAccounts()
		n.attempt(http.Header{"Id": {"1"}, "Secret": {"k-hotel"}, "Payer": {"bank"}})
		var sent *http.Request
		Expect(requests).To(Receive(&sent))
		Expect(sent.Header).NotTo(Or(HaveKey("Secret"), HaveKey("Payer")))
	})
})

// Nodes get the first configuration with accounts, and one that has them no longer, at
// different moments. Servers got the keys that clients sent meanwhile.
var _ = Describe("a platform with client accounts, while the configuration in force has none", func() {
	const keyed = "GET /read/x HTTP/1.1\r\nSecret: k-hotel\r\npayer: bank"
	reserve := func(n *node) *node {
		n.entry.PlatformSettings.AccountHeadersReserved = true
		return n
	}
	expectNeither := func(requests chan *http.Request) {
		GinkgoHelper()
		var sent *http.Request
		Expect(requests).To(Receive(&sent))
		Expect(sent.Header).NotTo(Or(HaveKey("Secret"), HaveKey("Payer")))
	}

	It("removes keys and claimed accounts at the entry node", func() {
		address, requests := server(okResponse("1", "ok"))
		Expect(reserve(newNode(address)).sendRaw(keyed, "\r\n").Status).To(Equal(200))
		expectNeither(requests)
	})

	It("removes them at the owner node too, also when it has no configuration yet", func() {
		address, requests := server(okResponse("1", "ok"))
		n := reserve(newNode(address))
		n.entry.owner.Snapshot = new(port.SnapshotCell)
		n.attempt(http.Header{"Id": {"1"}, "Secret": {"k-hotel"}, "Payer": {"bank"}})
		expectNeither(requests)
	})
})

// Guards against charges for calls that did not run, and for each of several attempts.
var _ = Describe("the limit of an account", func() {
	const limited = "GET /read/x HTTP/1.1\r\nSecret: k-chain"
	refusedRun := "HTTP/1.1 503 Busy\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"

	It("is charged once for a call that runs at its second attempt", func() {
		busy, _ := server(refusedRun)
		address, _ := server(okResponse("1", "ok"))
		n := newNode(busy, address).withAccounts()
		n.retry = true
		Expect(n.sendRaw(limited, "\r\n").Status).To(Equal(200))
		Expect(n.charged.Load()).To(BeEquivalentTo(1))
		Expect(n.entry.Returns.Len()).To(BeZero())
	})

	It("gets the credit back for a call that did not run, and not for one that may have run", func() {
		busy, _ := server(refusedRun)
		n := newNode(busy).withAccounts()
		Expect(n.sendRaw(limited, "\r\n").Status).To(Equal(503))
		Expect(n.entry.Returns.Len()).To(Equal(1))
		lost, _ := server(closeAfter)
		n = newNode(lost).withAccounts()
		Expect(n.sendRaw(limited, "\r\n").Status).To(Equal(502))
		Expect(n.entry.Returns.Len()).To(BeZero())
	})

	It("is answered with 429 and the time until there is room, without an attempt", func() {
		address, requests := server(okResponse("1", "ok"))
		n := newNode(address).withAccounts()
		n.chargeError = result.AccountLimit.Errorf("at its limit").With(port.RetryAfterDetail, "0.250")
		response := n.sendRaw(limited, "\r\n")
		Expect(response.Status).To(Equal(429))
		Expect(response.Header.Get("Retry-After")).To(Equal("0.250"))
		Expect(code(response)).To(Equal(strconv.Itoa(result.AccountLimit.Number)))
		Expect(requests).NotTo(Receive())
	})

	It("is not asked for accounts without limit and requests without account", func() {
		address, _ := server(okResponse("1", "ok"), okResponse("1", "ok"))
		n := newNode(address, address).withAccounts()
		Expect(n.sendRaw("GET /read/x HTTP/1.1\r\nSecret: k-hotel", "\r\n").Status).To(Equal(200))
		Expect(n.sendRaw("GET /open/x HTTP/1.1", "\r\n").Status).To(Equal(200))
		Expect(n.charged.Load()).To(BeZero())
	})
})

var _ = Describe("a configuration without accounts", func() {
	It("leaves the headers of keys and accounts alone", func() {
		address, requests := server(okResponse("1", "ok"))
		n := newNode(address)
		Expect(n.sendRaw("GET /read/x HTTP/1.1\r\nSecret: a\r\nSecret: b\r\nPayer: bank", "\r\n").Status).To(Equal(200))
		var r *http.Request
		Expect(requests).To(Receive(&r))
		Expect(r.Header["Secret"]).To(Equal([]string{"a", "b"}))
		Expect(r.Header["Payer"]).To(Equal([]string{"bank"}))
		Expect(n.charged.Load()).To(BeZero())
	})
})
