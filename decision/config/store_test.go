package config

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/mesh"
	"teaselring/result"
)

var _ = Describe("Store", func() {
	var s *Store
	take := func(v *mesh.Snapshot) {
		GinkgoHelper()
		Expect(s.AcceptHead(start, start, headOf(v), contentOf(v), false)).To(Succeed())
		Expect(s.Advance(start, 0)).To(BeTrue())
	}
	inForce := func() mesh.Version { return versionOf(s.Active()) }

	BeforeEach(func() { s = NewStore(start) })

	It("takes higher versions only, so that crossing messages never set it back", func() {
		take(numbered(5))
		Expect(result.Of(s.AcceptDelta(start, FullDelta(numbered(4))))).To(BeIdenticalTo(result.StaleVersion))
		Expect(result.Of(s.AcceptDelta(start, FullDelta(numbered(5))))).To(BeIdenticalTo(result.StaleVersion))
		Expect(s.AcceptDelta(start, Diff(numbered(5), numbered(7)))).To(Succeed())
		Expect(s.Advance(start, 0)).To(BeTrue())
		Expect(inForce()).To(BeEquivalentTo(7))
		Expect(s.Needs(6)).To(BeFalse())
	})

	It("keeps its version when the platform shows a lower head", func() {
		take(numbered(5))
		old := numbered(3)
		Expect(s.AcceptHead(after(time.Second), start, headOf(old), contentOf(old), false)).To(Succeed(), "the read began before version 5 was accepted")
		err := s.AcceptHead(after(time.Second), after(time.Second), headOf(old), contentOf(old), false)
		Expect(result.Of(err)).To(BeIdenticalTo(result.StaleVersion))
		Expect(s.Advance(after(time.Minute), 0)).To(BeFalse())
		Expect(inForce()).To(BeEquivalentTo(5))
	})

	It("rejects other content under the number of the version held", func() {
		take(numbered(5))
		other := build(5, service("shop", 1))
		err := s.AcceptHead(start, after(time.Second), headOf(other), contentOf(other), false)
		Expect(result.Of(err)).To(BeIdenticalTo(result.DigestMismatch))
		Expect(s.ConfirmedAt()).To(Equal(start))
	})

	// Guards against a bad version that is applied in part or retried forever.
	It("never applies a bad version, remembers why and goes on with a newer one", func() {
		take(numbered(1))
		before := *s.Active()
		records := []mesh.Record{service("shop", 2), route("r", "/", "none")}
		content, err := Encode(records)
		Expect(err).NotTo(HaveOccurred())
		bad := Head{Version: 2, Digest: DigestOf(content)}
		Expect(result.Of(s.AcceptHead(start, start, bad, content, false))).To(BeIdenticalTo(result.DanglingRef))
		Expect(s.Advance(after(time.Hour), 0)).To(BeFalse())
		Expect(*s.Active()).To(Equal(before))
		Expect(s.Refusal().Version).To(BeEquivalentTo(2))
		Expect(s.Refusal().Code).To(BeIdenticalTo(result.DanglingRef))

		Expect(s.Needs(2)).To(BeFalse())
		Expect(s.AcceptHead(start, start, bad, content, false)).To(Succeed(), "not retried")
		Expect(s.Newest()).To(Equal(s.Active()))
		Expect(s.AcceptDelta(start, Diff(numbered(1), numbered(3)))).To(Succeed())
		Expect(s.Advance(start, 0)).To(BeTrue())
		Expect(s.Refusal()).To(Equal(Refusal{}))
	})

	It("tries a version again after an object store that lagged behind the table", func() {
		take(numbered(1))
		stale := s.AcceptHead(start, start, headOf(numbered(2)), contentOf(numbered(1)), false)
		Expect(result.Of(stale)).To(BeIdenticalTo(result.StaleObject))
		Expect(inForce()).To(BeEquivalentTo(1))
		Expect(s.Refusal().Code).To(BeIdenticalTo(result.StaleObject))
		take(numbered(2))
		Expect(s.Refusal()).To(Equal(Refusal{}))
	})

	It("requests the full version after a delta with the wrong base", func() {
		take(numbered(3))
		have, do := s.BeginFetch(start, 6)
		Expect([]any{have, do}).To(Equal([]any{mesh.Version(3), true}))
		Expect(result.Of(s.AcceptDelta(start, Diff(numbered(4), numbered(6))))).To(BeIdenticalTo(result.WrongBase))
		Expect(inForce()).To(BeEquivalentTo(3))
		have, do = s.BeginFetch(start, 6)
		Expect([]any{have, do}).To(Equal([]any{mesh.Version(0), true}))
	})

	It("fetches a version from one peer at a time", func() {
		take(numbered(3))
		_, do := s.BeginFetch(start, 6)
		Expect(do).To(BeTrue())
		_, do = s.BeginFetch(after(FetchTimeout-1), 6)
		Expect(do).To(BeFalse())
		_, do = s.BeginFetch(after(FetchTimeout), 6)
		Expect(do).To(BeTrue())
		_, do = s.BeginFetch(after(FetchTimeout), 7)
		Expect(do).To(BeTrue())
	})

	Describe("that learns a version from the platform", func() {
		BeforeEach(func() {
			take(numbered(1))
			v := numbered(2)
			Expect(s.AcceptHead(start, start, headOf(v), contentOf(v), true)).To(Succeed())
		})

		// Guards against a version that only a crashed reader had in force: when the
		// reader restarts during an outage, no peer holds that version.
		It("waits until a peer holds it", func() {
			Expect(s.Advance(after(AckTimeout-1), 5)).To(BeFalse())
			Expect(s.Newest().Version).To(BeEquivalentTo(2))
			s.RecordAck(1)
			Expect(s.Advance(start, 5)).To(BeFalse())
			s.RecordAck(2)
			Expect(s.Advance(start, 5)).To(BeTrue())
			Expect(s.ConfirmedAt()).To(Equal(start))
		})

		It("does not wait longer than 500 ms", func() {
			Expect(s.Advance(after(AckTimeout), 5)).To(BeTrue())
		})

		It("takes a newer version of a peer in its place", func() {
			Expect(s.AcceptDelta(start, Diff(numbered(2), numbered(3)))).To(Succeed())
			Expect(s.Advance(start, 5)).To(BeTrue())
			Expect(inForce()).To(BeEquivalentTo(3))
		})
	})

	Describe("that starts with the platform down", func() {
		report := func(at time.Duration, peer mesh.NodeID, v, remembered mesh.Version) {
			s.RecordPeerReport(after(at), peer, v, remembered)
		}

		// Guards against a restarted node that reverts to an older version because a
		// lagging peer responds first.
		It("is not set back by a lagging peer that answers first", func() {
			s.PlatformDown()
			report(0, "lagging", 4, 0)
			Expect(s.AcceptDelta(start, FullDelta(numbered(4)))).To(Succeed())
			Expect(s.Advance(after(SettleTime), 5)).To(BeFalse(), "one report of five peers")
			report(SettleTime, "a", 9, 0)
			report(SettleTime, "b", 8, 0)
			Expect(s.Advance(after(SettleTime), 5)).To(BeFalse(), "version 9 was reported but is not held")
			Expect(s.AcceptDelta(start, Diff(numbered(4), numbered(9)))).To(Succeed())
			Expect(s.Advance(after(SettleTime), 5)).To(BeTrue())
			Expect(inForce()).To(BeEquivalentTo(9))
		})

		It("waits for the settle time", func() {
			s.PlatformDown()
			for _, peer := range []mesh.NodeID{"a", "b", "c"} {
				report(0, peer, 4, 0)
			}
			Expect(s.AcceptDelta(start, FullDelta(numbered(4)))).To(Succeed())
			Expect(s.Advance(after(SettleTime-1), 3)).To(BeFalse())
			Expect(s.Advance(after(SettleTime), 3)).To(BeTrue())
		})

		It("accepts no version below the one that a peer remembers it had in force", func() {
			s.PlatformDown()
			report(0, "a", 4, 6)
			Expect(s.AcceptDelta(start, FullDelta(numbered(4)))).To(Succeed())
			Expect(s.Advance(after(time.Minute), 1)).To(BeFalse())
			Expect(s.AcceptDelta(start, FullDelta(numbered(6)))).To(Succeed())
			Expect(s.Advance(after(time.Minute), 1)).To(BeTrue())
		})

		It("waits for the platform's response before it takes a version of peers", func() {
			report(0, "a", 4, 0)
			Expect(s.AcceptDelta(start, FullDelta(numbered(4)))).To(Succeed())
			Expect(s.Advance(after(time.Minute), 1)).To(BeFalse())
			take(numbered(5))
		})

		It("accepts a peer's confirmation of the head from after its own start", func() {
			s.PlatformDown()
			Expect(s.AcceptDelta(start, FullDelta(numbered(4)))).To(Succeed())
			s.RecordPeerConfirmation(4, after(-time.Minute))
			Expect(s.Advance(after(time.Minute), 5)).To(BeFalse())
			s.RecordPeerConfirmation(4, after(10*time.Second))
			Expect(s.Advance(after(time.Minute), 5)).To(BeTrue())
		})

		It("accepts the head's version from a peer while the object store lags", func() {
			s.RecordMissingObject(headOf(numbered(5)), result.StaleObject.Err())
			Expect(s.AcceptDelta(start, FullDelta(numbered(4)))).To(Succeed())
			Expect(s.Advance(start, 1)).To(BeFalse())
			Expect(s.AcceptDelta(start, FullDelta(numbered(5)))).To(Succeed())
			Expect(s.Advance(start, 1)).To(BeTrue())
		})
	})
})
