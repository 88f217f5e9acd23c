package platformhttp

import (
	"context"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/kernel"
	"teaselring/result"
	"teaselring/test/malformed"
)

// Guards against a broken answer of the platform that is taken for the outcome of a request.
var _ = Describe("a malformed response of the platform", func() {
	client := func(address string) *Client {
		return New(Settings{Address: netip.MustParseAddrPort(address), Timeout: kernel.Span(5 * time.Second)})
	}

	It("leaves unknown whether a write took effect", func() {
		malformed.Each("", `{"revision":8}`, func(address string) error {
			err := client(address).Commit(context.Background(), txn)
			if err != nil {
				Expect(result.Of(err)).To(Equal(result.PlatformUnknown))
			}
			return err
		})
	})

	It("is no row", func() {
		malformed.Each("", `{"value":"eA==","revision":8}`, func(address string) error {
			row, err := client(address).Get(context.Background(), "config", "head")
			if err != nil {
				Expect(result.Of(err)).To(Equal(result.PlatformDown))
				Expect(row.Revision).To(BeZero())
			}
			return err
		})
	})
})
