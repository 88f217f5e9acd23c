package replica

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/mesh"
)

func in(era uint64, r Row) Row {
	r.Revision = mesh.Stamp(era, r.Revision)
	return r
}

// The store came back from a copy with lower versions; nodes kept their older rows for as
// long as these had higher ones, and applied no configuration.
var _ = Describe("a set of rows whose store comes back from a copy", func() {
	listed := func(s *Set, era, version uint64, rows ...Row) *Set {
		for i := range rows {
			rows[i] = in(era, rows[i])
		}
		return s.ApplyListing("t", rows, mesh.Stamp(era, version))
	}
	deleted := func(key string, version uint64) Row {
		return Row{Table: "t", Key: key, Revision: mesh.Stamp(1, version), Deleted: true}
	}
	// before has the contents of a before the copy and after it, and a new key.
	before := func() *Set {
		s := listed(New(), 1, 10, row("a", "old", 5), row("kept", "k", 6), row("gone", "g", 7))
		s, _ = s.Merge([]Row{in(1, row("a", "new", 20)), in(1, row("fresh", "f", 21)), deleted("gone", 22)})
		return s
	}
	copied := func(s *Set) *Set {
		return listed(s, 2, 12, row("a", "old", 5), row("kept", "k", 6), row("gone", "g", 7))
	}

	It("keeps what the store has lost, deletions included, until the store has it again", func() {
		s := copied(before())
		Expect([]string{value(s, "a"), value(s, "kept"), value(s, "fresh"), value(s, "gone")}).To(Equal([]string{"new", "k", "f", "-"}))
		Expect(s.Count("t")).To(Equal(3))
		Expect(s.LostCount()).To(Equal(3))
		Expect(s.EraChanges()).To(Equal(1))
		s, _ = s.Merge([]Row{in(2, row("a", "newer", 13)), in(2, row("gone", "again", 14))})
		Expect([]string{value(s, "a"), value(s, "gone")}).To(Equal([]string{"newer", "again"}))
		Expect(s.LostCount()).To(Equal(1))
	})

	It("names the revision in the store as the condition for a write", func() {
		s := copied(before())
		a, _ := s.Get("t", "a")
		Expect(a.Condition()).To(Equal(mesh.Stamp(2, 5)))
		fresh, _ := s.Get("t", "fresh")
		Expect(fresh.Condition()).To(BeZero())
		kept, _ := s.Get("t", "kept")
		Expect(kept.Condition()).To(Equal(mesh.Stamp(2, 6)))
	})

	// Versions are given out again: a lower one may be a later change.
	It("takes a change that was made since the return, whatever its version", func() {
		s := listed(before(), 2, 13, row("a", "written again", 13), row("kept", "k", 6))
		Expect(value(s, "a")).To(Equal("written again"))
		Expect(value(s, "fresh")).To(Equal("f"))
	})

	It("takes a change that it had not received before the store was lost", func() {
		s := listed(New(), 1, 10, row("a", "old", 5))
		s = listed(s, 2, 12, row("a", "missed", 11))
		Expect(value(s, "a")).To(Equal("missed"))
	})

	It("ignores rows and listings of an earlier era", func() {
		s := copied(before())
		next, changed := s.Merge([]Row{in(1, row("a", "late", 999)), in(1, row("other", "late", 999))})
		Expect(changed).To(BeFalse())
		Expect(listed(next, 1, 999, row("a", "late", 999))).To(BeIdenticalTo(s))
	})

	It("passes what it knows on to nodes with and without rows", func() {
		s := copied(before())
		for name, known := range map[string]*Set{"started since": New(), "cut off": before(), "with the copy only": copied(New())} {
			Expect(known.Seen().Behind(s.Seen())).To(BeTrue(), name)
			other, _ := known.Merge(s.RowsNewerThan(known.Seen()))
			Expect([]string{value(other, "a"), value(other, "kept"), value(other, "fresh"), value(other, "gone")}).
				To(Equal([]string{"new", "k", "f", "-"}), name)
			Expect(other.Seen().Behind(s.Seen())).To(BeFalse(), name)
		}
	})

	It("gets nothing from a node that is still in the earlier era", func() {
		s := copied(before())
		earlier := before()
		earlier, _ = earlier.Merge([]Row{in(1, row("a", "unseen", 500))})
		Expect(s.Seen().Behind(earlier.Seen())).To(BeFalse())
		s, _ = s.Merge(earlier.RowsNewerThan(Seen{}))
		Expect(value(s, "a")).To(Equal("new"))
	})

	It("keeps what is lost over two returns, one soon after the other", func() {
		s := copied(before())
		s = listed(s, 3, 12, row("a", "old", 5), row("kept", "k", 6), row("gone", "g", 7))
		Expect([]string{value(s, "a"), value(s, "fresh"), value(s, "gone")}).To(Equal([]string{"new", "f", "-"}))
		s, _ = s.Merge([]Row{in(3, row("fresh", "again", 13))})
		s = listed(s, 4, 11, row("a", "old", 5), row("kept", "k", 6))
		Expect([]string{value(s, "a"), value(s, "fresh"), value(s, "gone")}).To(Equal([]string{"new", "again", "-"}))
		a, _ := s.Get("t", "a")
		Expect(a.Condition()).To(Equal(mesh.Stamp(4, 5)))
	})

	It("counts no change of the era at the first listing", func() {
		Expect(copied(New()).EraChanges()).To(BeZero())
	})
})
