package storereplica

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/decision/replica"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/test/malformed"
)

// Guards against a broken answer whose rows a node applies.
var _ = Describe("a malformed response of another node", func() {
	It("holds no rows", func() {
		body, err := encodeRows(&rowsResponse{Rows: []replica.Row{row("a", 3)}, Node: "b"})
		Expect(err).NotTo(HaveOccurred())
		rows := new(port.RowsCell)
		rows.Store(replica.New())
		malformed.Each("", string(body), func(address string) error {
			_, err := newRowsClient(rows).fetchFrom(context.Background(), &mesh.Member{Node: "b", PeerAddress: address}, 10*time.Millisecond)
			return err
		})
	})
})
