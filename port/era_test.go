package port

import (
	"context"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/decision/replica"
	"teaselring/mesh"
	"teaselring/result"
)

// eraFeed records transactions. A conflict is answered with the row of the era.
type eraFeed struct {
	Feed
	txns   []Txn
	stored replica.Row // of the era; the zero Row: none
	other  uint64      // revision of the row of the other condition
}

func (f *eraFeed) Write(_ context.Context, txn Txn) (Changes, error) {
	f.txns = append(f.txns, txn)
	present := []replica.Row{f.stored, {Table: "t", Key: "k", Revision: f.other}}
	if !hold(txn.Checks, present) {
		return Changes{Rows: present}, result.RowConflict.Err()
	}
	return Changes{}, nil
}

// Guards against a write of an earlier era that the store performs late, when its version
// is that of another content.
var _ = Describe("a write in an era", func() {
	ctx := context.Background()
	txn := Txn{Checks: []Check{{Table: "t", Key: "k", Revision: mesh.Stamp(2, 5)}}, Puts: []Put{{Table: "t", Key: "k"}}}
	eraRow := func(named, revision uint64) replica.Row {
		value, err := cbor.Marshal(named)
		Expect(err).NotTo(HaveOccurred())
		return replica.Row{Table: NodeTable, Key: EraKey, Value: value, Revision: revision}
	}
	listing := func(era uint64, rows ...replica.Row) *replica.Set {
		return replica.New().ApplyListing(NodeTable, rows, mesh.Stamp(era, 9))
	}
	nodeRow := replica.Row{Table: NodeTable, Key: "node/n", Revision: mesh.Stamp(1, 3)}

	It("is an ordinary one where the store names no era", func() {
		f := &eraFeed{other: 5}
		_, err := WriteInEra(ctx, f, listing(0), Txn{Checks: []Check{{Table: "t", Key: "k", Revision: 5}}})
		Expect(err).NotTo(HaveOccurred())
		Expect(f.txns[0].Checks).To(HaveLen(1))
	})

	It("writes no row of the era before the first change", func() {
		f := &eraFeed{other: mesh.Stamp(2, 5)}
		_, err := WriteInEra(ctx, f, listing(2), txn)
		Expect(err).NotTo(HaveOccurred())
		Expect(f.txns).To(HaveLen(1))
		Expect(f.txns[0].Checks[1]).To(Equal(Check{Table: NodeTable, Key: EraKey}))
		Expect(f.txns[0].Puts).To(HaveLen(1))
	})

	It("writes the row with the first write of an era", func() {
		f := &eraFeed{other: mesh.Stamp(2, 5)}
		rows := listing(1, nodeRow).ApplyListing(NodeTable, nil, mesh.Stamp(2, 9))
		_, err := WriteInEra(ctx, f, rows, txn)
		Expect(err).NotTo(HaveOccurred())
		Expect(f.txns[0].Puts[1].Key).To(Equal(EraKey))

		f.stored = eraRow(1, mesh.Stamp(2, 2))
		_, err = WriteInEra(ctx, f, listing(2, f.stored), txn)
		Expect(err).NotTo(HaveOccurred())
		Expect(f.txns[1].Checks[1].Revision).To(Equal(mesh.Stamp(2, 2)))
		Expect(f.txns[1].Puts[1].Value).To(Equal(eraRow(2, 0).Value))
	})

	It("repeats a write once that only the row of the era has refused", func() {
		f := &eraFeed{other: mesh.Stamp(2, 5), stored: eraRow(2, mesh.Stamp(2, 8))}
		_, err := WriteInEra(ctx, f, listing(1, nodeRow).ApplyListing(NodeTable, nil, mesh.Stamp(2, 9)), txn)
		Expect(err).NotTo(HaveOccurred())
		Expect(f.txns).To(HaveLen(2))
		Expect(f.txns[1].Puts).To(HaveLen(1), "another node has written the row")

		f = &eraFeed{other: mesh.Stamp(2, 6), stored: eraRow(2, mesh.Stamp(2, 8))}
		_, err = WriteInEra(ctx, f, listing(2), txn)
		Expect(result.Of(err)).To(Equal(result.RowConflict))
		Expect(f.txns).To(HaveLen(1))
	})
})
