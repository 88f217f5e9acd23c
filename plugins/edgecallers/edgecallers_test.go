package edgecallers

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

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
