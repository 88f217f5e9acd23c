package crashspread

import (
	"context"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/decision/quarantine"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/test/malformed"
)

// Guards against a broken answer whose crash reports a node applies, or that it takes for
// the acknowledgement of its own.
var _ = Describe("a malformed response of another node", func() {
	It("holds no crash reports", func() {
		body, err := cbor.Marshal(quarantine.Answer{})
		Expect(err).NotTo(HaveOccurred())
		in := learnerIn{PlatformSettings: &port.PlatformSettings{Service: "stock"}}
		l := &learner{learnerIn: in, client: newAskClient(), params: quarantine.DefaultParams()}
		malformed.Each("", string(body), func(address string) error {
			_, err := l.askOne(context.Background(), &mesh.Member{PeerAddress: address}, nil)
			return err
		})
	})

	It("acknowledges no crash report", func() {
		malformed.Each("", "", func(address string) error {
			_, err := port.PostToPeer(context.Background(), newBroadcastClient(), address, crashPath, nil)
			return err
		})
	})
})
