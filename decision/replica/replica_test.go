package replica

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestReplica(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "replica")
}

func value(s *Set, key string) string {
	r, ok := s.Get("t", key)
	if !ok {
		return "-"
	}
	return string(r.Value)
}

func row(key, value string, revision uint64) Row {
	return Row{Table: "t", Key: key, Value: []byte(value), Revision: revision}
}

var _ = Describe("a set of rows", func() {
	// Responses may be reordered: an older one must not undo a newer one.
	It("keeps the newest revision in any order of messages", func() {
		s, _ := New().Merge([]Row{row("a", "new", 5)})
		s, changed := s.Merge([]Row{row("a", "old", 4), {Table: "t", Key: "a", Revision: 3, Deleted: true}})
		Expect(changed).To(BeFalse())
		Expect(value(s, "a")).To(Equal("new"))
	})

	It("deletes rows that a listing lacks, except newer ones", func() {
		s, _ := New().Merge([]Row{row("gone", "x", 3), row("newer", "y", 9)})
		s = s.ApplyListing("t", []Row{row("a", "z", 4)}, 6)
		Expect([]string{value(s, "gone"), value(s, "newer"), value(s, "a")}).To(Equal([]string{"-", "y", "z"}))
		s, _ = s.Merge([]Row{row("gone", "x", 3)})
		Expect(value(s, "gone")).To(Equal("-"), "a late response must not restore the row")
	})

	It("does not modify earlier copies", func() {
		before, _ := New().Merge([]Row{row("a", "1", 1)})
		after, _ := before.Merge([]Row{row("a", "2", 2)})
		Expect(value(before, "a")).To(Equal("1"))
		Expect(value(after, "a")).To(Equal("2"))
	})

	It("returns the rows that another set lacks, deletions included", func() {
		s, _ := New().Merge([]Row{row("a", "1", 1), row("b", "2", 2), {Table: "t", Key: "c", Revision: 3, Deleted: true}})
		Expect(s.RowsNewerThan(Seen{"t": 1})).To(HaveLen(2))
		Expect(Seen{"t": 2}.Behind(s.Seen())).To(BeTrue())
		Expect(Seen{"t": 3}.Behind(s.Seen())).To(BeFalse())
	})
})
