package platformmemory

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/port"
)

func puts(keys ...string) port.Txn {
	var txn port.Txn
	for _, k := range keys {
		txn.Puts = append(txn.Puts, port.Put{Table: "t", Key: k, Value: []byte(k)})
	}
	return txn
}

// After a partly written transaction, or with a reused revision, two operators or
// two lease holders could both succeed.
var _ = Describe("tables", func() {
	It("write all or nothing of a transaction", func() {
		t := newTables()
		Expect(t.commit(puts("a")).Revision).To(Equal(uint64(1)))
		txn := puts("b", "c")
		txn.Checks = []port.Check{{Table: "t", Key: "b"}, {Table: "t", Key: "a", Revision: 9}}
		txn.Deletes = []port.Delete{{Table: "t", Key: "a"}}
		Expect(t.commit(txn).Conflicts).To(Equal([]Conflict{{Table: "t", Row: port.Row{Key: "a", Value: []byte("a"), Revision: 1}}}))
		Expect(t.scan("t", "", "", 10)).To(HaveLen(1))

		txn.Checks[1].Revision = 1
		Expect(t.commit(txn)).To(Equal(Outcome{Revision: 2}))
		Expect(t.scan("t", "", "", 10)).To(HaveExactElements(HaveField("Key", "b"), HaveField("Key", "c")))
	})

	It("never give a row that was deleted and put again an earlier revision", func() {
		t := newTables()
		t.commit(puts("a"))
		t.commit(port.Txn{Deletes: []port.Delete{{Table: "t", Key: "a"}}})
		t.commit(puts("other"))
		t.commit(puts("a"))
		Expect(t.get("t", "a").Revision).To(Equal(uint64(4)))
		stale := puts("a")
		stale.Checks = []port.Check{{Table: "t", Key: "a", Revision: 1}}
		Expect(t.commit(stale).Conflicts).To(HaveLen(1))
	})
})

// A scan that misses or repeats a row at a page boundary would hide or duplicate
// audit entries.
var _ = DescribeTable("a scan", func(prefix, after string, limit int, want ...string) {
	t := newTables()
	t.commit(puts("b/2", "a", "b/1", "b", "b/3", "c"))
	got := []string{}
	for _, row := range t.scan("t", prefix, after, limit) {
		got = append(got, row.Key)
	}
	Expect(got).To(HaveExactElements(want))
},
	Entry("of everything", "", "", 10, "a", "b", "b/1", "b/2", "b/3", "c"),
	Entry("with a prefix", "b/", "", 10, "b/1", "b/2", "b/3"),
	Entry("of the first page", "b/", "", 2, "b/1", "b/2"),
	Entry("of the next page", "b/", "b/2", 2, "b/3"),
	Entry("after a key that is absent", "b/", "b/15", 2, "b/2", "b/3"),
	Entry("after a key below the prefix", "b/", "a", 1, "b/1"),
)
