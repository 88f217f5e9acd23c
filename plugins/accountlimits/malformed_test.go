package accountlimits

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/decision/quota"
	"teaselring/test/malformed"
)

// Guards against a broken answer whose credit a node spends.
var _ = Describe("a malformed response of a granting node", func() {
	It("grants nothing", func() {
		body, err := cbor.Marshal(quota.Answer{Term: time.Second})
		Expect(err).NotTo(HaveOccurred())
		in := senderIn{Client: newClient()}
		malformed.Each("", string(body), func(address string) error {
			_, err := in.ask(context.Background(), &outgoing{address: address})
			return err
		})
	})
})
