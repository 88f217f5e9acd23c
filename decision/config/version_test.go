package config

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/mesh"
	"teaselring/result"
)

var _ = Describe("Build", func() {
	// Guards against a version with a route to an undeclared service, or with two
	// routes for the same request.
	DescribeTable("refuses a version that is invalid as a whole", func(code *result.Code, records []mesh.Record) {
		_, err := Build(1, records)
		Expect(result.Of(err)).To(BeIdenticalTo(code))
	},
		Entry("dangling reference", result.DanglingRef, []mesh.Record{service("s", 1), route("r", "/", "other")}),
		Entry("duplicate id", result.DuplicateID, []mesh.Record{service("s", 1), service("s", 2)}),
		Entry("same prefix, all methods", result.OverlappingRoute, []mesh.Record{service("s", 1), route("a", "/x", "s"), route("b", "/x", "s", "GET")}),
		Entry("same prefix, common method", result.OverlappingRoute, []mesh.Record{service("s", 1), route("a", "/x", "s", "GET", "PUT"), route("b", "/x", "s", "POST", "PUT")}),
		Entry("fields of another schema", result.InvalidRecord, []mesh.Record{{RecordKey: mesh.RecordKey{Kind: mesh.KindRoute, ID: "r"}, Schema: 1, RouteV2: &mesh.RouteV2{}}}),
		Entry("too many records", result.TooLarge, many(MaxRecords+1)),
	)

	It("accepts routes that share a prefix but no method", func() {
		s := build(1, service("s", 1), route("a", "/x", "s", "GET"), route("b", "/x", "s", "PUT"))
		Expect(s.Route("PUT", "/x/1").ID).To(BeEquivalentTo("b"))
	})

	It("matches the longest prefix first, so that no specific route is shadowed", func() {
		s := build(1, service("s", 1), route("a", "/", "s"), route("b", "/stock/old", "s"), route("c", "/stock", "s"))
		Expect(s.Route("GET", "/stock/old/3").ID).To(BeEquivalentTo("b"))
		Expect(s.Route("GET", "/stockings").ID).To(BeEquivalentTo("a"))
	})

	It("gives equal records the same digest in any order", func() {
		a := build(1, service("a", 1), service("b", 2), route("r", "/", "a"))
		b := build(2, route("r", "/", "a"), service("b", 2), service("a", 1))
		Expect(b.Digest).To(Equal(a.Digest))
		Expect(build(1, service("a", 1)).Digest).NotTo(Equal(a.Digest))
	})

	It("rejects content with an unknown field", func() {
		encoded, err := encMode.Marshal(map[int]any{1: []any{}, 9: true})
		Expect(err).NotTo(HaveOccurred())
		_, err = Decode(encoded)
		Expect(result.Of(err)).To(BeIdenticalTo(result.InvalidRecord))
	})
})

var _ = Describe("Delta", func() {
	from := build(7, service("a", 1), service("b", 2), route("r", "/", "a"))
	to := build(9, service("a", 5), service("c", 3), route("r", "/", "a"))

	It("turns one version into the other", func() {
		d := Diff(from, to)
		Expect(d.Records).To(HaveLen(2))
		Expect(d.Removed).To(ConsistOf(mesh.RecordKey{Kind: mesh.KindService, ID: "b"}))
		Expect(Apply(from, d)).To(Equal(to))
		Expect(Apply(nil, FullDelta(to))).To(Equal(to))
	})

	// Guards against a delta that results in a version that was never published.
	DescribeTable("is applied whole or not at all", func(base *mesh.Snapshot, change func(*Delta), code *result.Code) {
		d := Diff(from, to)
		if change != nil {
			change(&d)
		}
		_, err := Apply(base, d)
		Expect(result.Of(err)).To(BeIdenticalTo(code))
	},
		Entry("wrong base", to, nil, result.WrongBase),
		Entry("no base", nil, nil, result.WrongBase),
		Entry("base with the same number but other records", build(7, service("z", 1)), nil, result.DigestMismatch),
		Entry("a record lost", from, func(d *Delta) { d.Records = d.Records[1:] }, result.DigestMismatch),
		Entry("a removal lost", from, func(d *Delta) { d.Removed = nil }, result.DigestMismatch),
		Entry("sent as a whole version", from, func(d *Delta) { d.Base = 0 }, result.DigestMismatch),
	)

	It("is available from the history for the last 64 versions only", func() {
		var h History
		h.Add(nil, numbered(1))
		for v := mesh.Version(2); v <= 100; v++ {
			h.Add(numbered(v-1), numbered(v))
		}
		for _, have := range []mesh.Version{36, 70, 99} {
			d, ok := h.Delta(have, numbered(100))
			Expect(ok).To(BeTrue())
			Expect(Apply(numbered(have), d)).To(Equal(numbered(100)))
		}
		_, ok := h.Delta(35, numbered(100))
		Expect(ok).To(BeFalse())
	})

	It("covers records that were added and removed again within the history", func() {
		var h History
		one, two, three := build(1, service("a", 1)), build(2, service("a", 1), service("b", 1)), build(3, service("a", 1))
		h.Add(nil, one)
		h.Add(one, two)
		h.Add(two, three)
		d, ok := h.Delta(2, three)
		Expect(ok).To(BeTrue())
		Expect(Apply(two, d)).To(Equal(three))
	})

	It("is not available across a gap in the history, where changes would be lost", func() {
		var h History
		h.Add(numbered(1), numbered(2))
		h.Add(numbered(5), numbered(6))
		_, ok := h.Delta(1, numbered(6))
		Expect(ok).To(BeFalse())
	})

	Describe("in parts", func() {
		whole := build(3, many(9000)...)
		parts, err := Split(FullDelta(whole))

		It("stays below the message limit and is reassembled unchanged", func() {
			Expect(err).NotTo(HaveOccurred())
			Expect(len(parts)).To(BeNumerically(">", 1))
			var a Assembler
			for i, part := range parts {
				encoded, err := encMode.Marshal(part.Records)
				Expect(err).NotTo(HaveOccurred())
				Expect(len(encoded)).To(BeNumerically("<", 512<<10))
				d, err := a.Add("n", part, i, len(parts))
				Expect(err).NotTo(HaveOccurred())
				Expect(d == nil).To(Equal(i < len(parts)-1))
				if d != nil {
					Expect(Apply(nil, *d)).To(Equal(whole))
				}
			}
		})

		It("is not joined when a part is missing or from another sender", func() {
			var a Assembler
			_, err := a.Add("n", parts[0], 0, len(parts))
			Expect(err).NotTo(HaveOccurred())
			_, err = a.Add("other", parts[1], 1, len(parts))
			Expect(result.Of(err)).To(BeIdenticalTo(result.BadMessage))
			_, err = a.Add("n", parts[1], 1, len(parts))
			Expect(result.Of(err)).To(BeIdenticalTo(result.BadMessage))
		})
	})
})

var _ = Describe("Merge", func() {
	base := build(5, service("a", 1), service("b", 1), route("r", "/", "a"))
	head := build(8, service("a", 1), service("b", 2), service("c", 1), route("r", "/", "a"))
	keyB := mesh.RecordKey{Kind: mesh.KindService, ID: "b"}

	// Guards against an edit that silently undoes the change of another operator.
	DescribeTable("keeps the changes of both sides or reports the conflict", func(edit Edit, code *result.Code, want ...mesh.Record) {
		records, merged, err := Merge(base, head, edit)
		Expect(result.Of(err)).To(BeIdenticalTo(code))
		if err != nil {
			if code == result.Conflict {
				Expect(result.AsError(err).Details["changed"]).To(Equal(`service "b" changed, service "c" added`))
			}
			return
		}
		Expect(merged).To(BeTrue())
		Expect(records).To(Equal(build(9, want...).Records))
	},
		Entry("another record", Edit{Records: []mesh.Record{service("a", 9)}}, result.OK,
			service("a", 9), service("b", 2), service("c", 1), route("r", "/", "a")),
		Entry("a whole file with one change", Edit{Records: []mesh.Record{service("a", 9), service("b", 1), route("r", "/", "a")}}, result.OK,
			service("a", 9), service("b", 2), service("c", 1), route("r", "/", "a")),
		Entry("the same change on both sides", Edit{Records: []mesh.Record{service("b", 2), service("d", 1)}}, result.OK,
			service("a", 1), service("b", 2), service("c", 1), service("d", 1), route("r", "/", "a")),
		Entry("another change of the same record", Edit{Records: []mesh.Record{service("b", 3)}}, result.Conflict),
		Entry("removal of a changed record", Edit{Remove: []mesh.RecordKey{keyB}}, result.Conflict),
		Entry("invalid by itself", Edit{Records: []mesh.Record{route("x", "/x", "none")}}, result.DanglingRef),
		Entry("removal of a record that does not exist", Edit{Remove: []mesh.RecordKey{{Kind: mesh.KindService, ID: "z"}}}, result.InvalidRecord),
	)

	It("refuses changes that are valid alone and invalid together", func() {
		without := build(6, service("a", 1), route("r", "/", "a"))
		_, _, err := Merge(base, without, Edit{Records: []mesh.Record{route("x", "/x", "b")}})
		Expect(IsConflict(err)).To(BeTrue())
	})

	It("does not report a merge for an edit of the newest version", func() {
		_, merged, err := Merge(head, head, Edit{Records: []mesh.Record{service("b", 3)}})
		Expect(err).NotTo(HaveOccurred())
		Expect(merged).To(BeFalse())
	})
})

var _ = Describe("Readers", func() {
	member := func(id mesh.NodeID, zone mesh.Zone, state mesh.NodeState) mesh.Member {
		return mesh.Member{Node: id, Zone: zone, State: state}
	}
	view := &mesh.View{Members: []mesh.Member{
		member("n1", "a", mesh.NodeAlive), member("n2", "a", mesh.NodeAlive), member("n3", "a", mesh.NodeAlive),
		member("n4", "a", mesh.NodeDead), member("n5", "b", mesh.NodeAlive),
	}}

	It("are the same two live nodes of a zone on every node", func() {
		readers := Readers(view, "a")
		Expect(readers).To(HaveLen(2))
		Expect(readers).NotTo(ContainElement(mesh.NodeID("n4")))
		count := 0
		for _, id := range []mesh.NodeID{"n1", "n2", "n3"} {
			if IsReader(view, mesh.Identity{Node: id, Zone: "a"}) {
				count++
				Expect(readers).To(ContainElement(id))
			}
		}
		Expect(count).To(Equal(2))
	})

	It("include a node without other known nodes in its zone", func() {
		Expect(IsReader(nil, mesh.Identity{Node: "n", Zone: "a"})).To(BeTrue())
		Expect(IsReader(view, mesh.Identity{Node: "n", Zone: "c"})).To(BeTrue())
	})

	// Guards against a burst of reads when 1,200 nodes lose their readers or when
	// the platform recovers.
	It("are supplemented by other nodes only after 5 s, spread over a window that doubles", func() {
		plan := NewReadPlan(DefaultBackoff, start)
		Expect(plan.Due(start, false, 0.5)).To(BeTrue())
		plan.RecordRead(start, nil, 0.5)
		Expect(plan.Due(after(4900*time.Millisecond), false, 0.5)).To(BeFalse())
		Expect(plan.Due(after(5*time.Second), false, 0.5)).To(BeFalse())
		Expect(plan.Due(after(9900*time.Millisecond), false, 0.5)).To(BeFalse())
		Expect(plan.Due(after(10*time.Second), false, 0.5)).To(BeTrue())
		plan.RecordRead(after(10*time.Second), result.PlatformDown.Err(), 0.99)
		Expect(plan.Due(after(19*time.Second), false, 0)).To(BeFalse())
		Expect(plan.Due(after(20*time.Second), false, 0)).To(BeTrue())
		plan.RecordConfirmation(after(20 * time.Second))
		Expect(plan.Due(after(21*time.Second), false, 0)).To(BeFalse())
		Expect(plan.Due(after(21*time.Second), true, 0)).To(BeTrue())
	})

	DescribeTable("spread fallback reads over a bounded window", func(failed int, want time.Duration) {
		Expect(DefaultBackoff.Delay(failed, 1)).To(Equal(want))
	},
		Entry(nil, 0, 10*time.Second), Entry(nil, 1, 20*time.Second), Entry(nil, 2, 40*time.Second),
		Entry(nil, 3, time.Minute), Entry(nil, 1000, time.Minute),
	)
})
