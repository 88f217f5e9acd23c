package rolloutrows

import (
	"context"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/test/malformed"
)

// Guards against a broken answer that a node takes for a verdict on a move.
var _ = Describe("a malformed response of an evaluator", func() {
	It("is no verdict", func() {
		body, err := cbor.Marshal(verdict{})
		Expect(err).NotTo(HaveOccurred())
		s := &sender{client: newReportClient()}
		malformed.Each("", string(body), func(address string) error {
			_, err := s.post(context.Background(), address, nil)
			return err
		})
	})
})
