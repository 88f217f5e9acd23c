package platformhttp

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/kernel"
	"teaselring/port"
	"teaselring/result"
)

func clientOf(serve http.HandlerFunc) *Client {
	server := httptest.NewServer(serve)
	DeferCleanup(server.Close)
	return New(Settings{
		Address: netip.MustParseAddrPort(server.Listener.Addr().String()),
		Timeout: kernel.Span(200 * time.Millisecond),
	})
}

func status(code int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(code)
		_, _ = io.WriteString(w, body)
	}
}

func drop(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func stall(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

var txn = port.Txn{
	Checks:  []port.Check{{Table: "moves", Key: "m1", Revision: 7}},
	Puts:    []port.Put{{Table: "audit", Key: "move/m1/2", Value: []byte("x")}},
	Deletes: []port.Delete{{Table: "moves", Key: "m0"}},
}

// A write that took effect but is reported as not written, or the reverse, would
// make a claim of a key or a step of a move run twice or never.
var _ = DescribeTable("the code of a commit",
	func(serve http.HandlerFunc, code *result.Code) {
		Expect(result.Of(clientOf(serve).Commit(context.Background(), txn))).To(Equal(code))
	},
	Entry("written", status(200, `{"revision":8}`), result.OK),
	Entry("written, body cut off", status(200, `{"rev`), result.OK),
	Entry("conflict", status(409, `{"conflicts":[{"table":"moves","key":"m1","revision":9}]}`), result.RowConflict),
	Entry("outage", status(503, ""), result.PlatformDown),
	Entry("rate limit", status(429, ""), result.PlatformLimit),
	Entry("gateway error", status(502, ""), result.PlatformUnknown),
	Entry("unknown status", status(302, ""), result.Internal),
	Entry("connection dropped after sending", drop, result.PlatformUnknown),
	Entry("no response", stall, result.PlatformUnknown),
)

// A row that can't be read must not look absent: a claim would be created again.
var _ = DescribeTable("the code of a read",
	func(serve http.HandlerFunc, code *result.Code, revision uint64) {
		row, err := clientOf(serve).Get(context.Background(), "config", "head")
		Expect(result.Of(err)).To(Equal(code))
		Expect(row.Revision).To(Equal(revision))
	},
	Entry("found", status(200, `{"value":"eA==","revision":8}`), result.OK, uint64(8)),
	Entry("absent", status(404, ""), result.OK, uint64(0)),
	Entry("not decodable", status(200, `{"value`), result.Internal, uint64(0)),
	Entry("outage", status(503, ""), result.PlatformDown, uint64(0)),
	Entry("rate limit", status(429, ""), result.PlatformLimit, uint64(0)),
	Entry("connection dropped", drop, result.PlatformDown, uint64(0)),
	Entry("no response", stall, result.PlatformDown, uint64(0)),
)

// A node that starts without a platform address would serve no configuration,
// without an error.
var _ = DescribeTable("settings", func(content, mention string) {
	settings, err := kernel.Parse("node.toml", []byte("[platform.http]\n"+content))
	if mention != "" {
		Expect(err).To(MatchError(ContainSubstring(mention)))
		return
	}
	Expect(err).NotTo(HaveOccurred())
	Expect(settings.ForPlugin("platform.http").(*Settings).Timeout).To(Equal(kernel.Span(2 * time.Second)))
},
	Entry("default timeout", `address = "127.0.0.1:80"`, ""),
	Entry("no address", "", "IP:port of the platform"),
	Entry("address that is a name", `address = "platform:80"`, "node.toml:2"),
	Entry("timeout too short", "address = \"127.0.0.1:80\"\ntimeout = \"99ms\"", "node.toml:3"),
	Entry("timeout too long", "address = \"127.0.0.1:80\"\ntimeout = \"31s\"", "100ms to 30s"),
)

var _ = Describe("the client", func() {
	// A refused connection proves that the write was not sent.
	It("reports a write that could not be sent as not written", func() {
		server := httptest.NewServer(nil)
		address := netip.MustParseAddrPort(server.Listener.Addr().String())
		server.Close()
		c := New(Settings{Address: address, Timeout: kernel.Span(time.Second)})
		Expect(result.Of(c.Commit(context.Background(), txn))).To(Equal(result.PlatformDown))
	})

	// Another team maintains the platform; these bytes are its protocol.
	It("sends the protocol's bytes and escapes keys", func() {
		var path, body string
		c := clientOf(func(w http.ResponseWriter, r *http.Request) {
			content, _ := io.ReadAll(r.Body)
			path, body = r.URL.EscapedPath(), string(content)
		})
		Expect(c.Commit(context.Background(), txn)).To(Succeed())
		Expect(path).To(Equal("/v1/txn"))
		Expect(body).To(MatchJSON(`{"checks":[{"table":"moves","key":"m1","revision":7}],
			"puts":[{"table":"audit","key":"move/m1/2","value":"eA=="}],"deletes":[{"table":"moves","key":"m0"}]}`))
		_, _ = c.Get(context.Background(), "once", "billing/a b%2F?")
		Expect(path).To(Equal("/v1/rows/once/billing%2Fa%20b%252F%3F"))
	})
})
