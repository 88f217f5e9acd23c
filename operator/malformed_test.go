package operator

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/test/malformed"
)

// Guards against a broken answer that an operator takes for the success of a change.
var _ = Describe("a malformed response of a node", func() {
	It("is no response, and the request may have been executed", func() {
		malformed.Each("", `{"version":5}`, func(address string) error {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			_, err := New(netip.MustParseAddrPort(address), "t").send(ctx, http.MethodPost, "/v1/apply", "application/json", []byte("{}"))
			var lost *TransportError
			if err != nil {
				Expect(errors.As(err, &lost)).To(BeTrue(), "%v", err)
				Expect(lost.Sent).To(BeTrue())
			}
			return err
		})
	})
})
