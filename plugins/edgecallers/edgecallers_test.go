package edgecallers

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"syscall"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/fx/fxtest"

	"teaselring/kernel"
	"teaselring/port"
)

func TestEdgeCallers(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "edge.callers")
}

// A body over the limit must not occupy the node, whether its length is declared
// or not, and a body within the limit must arrive unchanged.
var _ = DescribeTable("a request with a body",
	func(length int, declared bool, status int) {
		entry := port.CallEntry{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			if err != nil || len(body) != length {
				w.WriteHeader(http.StatusBadGateway)
				return
			}
			w.WriteHeader(http.StatusOK)
		})}
		server := newListener(&Settings{MaxBodyBytes: 1024}, entry).Server
		r := httptest.NewRequest("POST", "/", strings.NewReader(strings.Repeat("x", length)))
		if !declared {
			r.ContentLength = -1
		}
		w := httptest.NewRecorder()
		server.Handler.ServeHTTP(w, r)
		Expect(w.Code).To(Equal(status))
	},
	Entry("within the limit", 1024, true, http.StatusOK),
	Entry("declared over the limit", 1025, true, http.StatusRequestEntityTooLarge),
	Entry("streamed over the limit", 1025, false, http.StatusBadGateway),
)

// Guards against a part of a response that an HTTP/1.0 caller takes for a whole one: the limit
// on connections hides the one that is to be reset.
var _ = Describe("a response that the call path breaks off", func() {
	It("ends with a reset of the caller's connection", func() {
		entry := port.CallEntry{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.WriteString(w, "part")
			_ = http.NewResponseController(w).Flush()
			port.ResetOnClose(r.Context())
			panic(http.ErrAbortHandler)
		})}
		listener := newListener(&Settings{Address: netip.MustParseAddrPort("127.0.0.1:0"), MaxConnections: 1, MaxHeaderBytes: 1024}, entry)
		var address string
		listener.Started = func(bound netip.AddrPort) { address = bound.String() }
		lifecycle := fxtest.NewLifecycle(GinkgoTB())
		listener.StartWith(lifecycle, kernel.NewLogger(io.Discard), kernel.NewGrace())
		lifecycle.RequireStart()
		DeferCleanup(listener.Server.Close)
		for range 2 { // the limit counts a connection that was reset no more
			conn, err := net.Dial("tcp", address)
			Expect(err).NotTo(HaveOccurred())
			_, err = io.WriteString(conn, "GET / HTTP/1.0\r\nHost: h\r\n\r\n")
			Expect(err).NotTo(HaveOccurred())
			content, err := io.ReadAll(conn)
			Expect(err).To(MatchError(syscall.ECONNRESET), "read %q", content)
			Expect(conn.Close()).To(Succeed())
		}
	})
})
