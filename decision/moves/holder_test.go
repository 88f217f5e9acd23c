package moves

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/mesh"
	"teaselring/result"
)

// evidenceFor returns a verdict with the given nats for every excess.
func evidenceFor(nats float64) mesh.Verdict {
	v := mesh.Verdict{Nodes: 12, Calls: 100}
	for i := range v.GoodEvidence {
		v.GoodEvidence[i] = nats
	}
	return v
}

// hold runs a holder once a second until the move ends, and passes every row to
// onRow.
func hold(s Settings, verdict func(time.Duration) mesh.Verdict, onRow func(time.Duration, mesh.Move)) mesh.Move {
	h, row := NewHolder(s), rowAt(mesh.MoveDeclared, 0, 1, start)
	for t := time.Duration(0); t < 2*target && !row.Phase.Ended(); t += time.Second {
		v := verdict(t)
		next, changed := h.Next(row, &v, start.Add(t))
		if changed {
			Expect(CheckStep(&row, &next)).To(Succeed())
		}
		row = next
		if onRow != nil {
			onRow(t, row)
		}
	}
	return row
}

var _ = Describe("the holder", func() {
	good := func(time.Duration) mesh.Verdict { return evidenceFor(12) }

	It("finishes a good move before its target and watches at full share first", func() {
		var full, done time.Duration
		last := hold(LicenceMesh, good, func(t time.Duration, row mesh.Move) {
			if row.Phase == mesh.MoveWatching && full == 0 {
				full = t
			}
			if row.Phase == mesh.MoveDone {
				done = t
			}
			Expect(row.Late).To(BeFalse())
		})
		Expect(last.Phase).To(Equal(mesh.MoveDone))
		Expect(done).To(BeNumerically("<", target))
		Expect(done - full).To(BeNumerically(">=", time.Minute))
	})

	It("keeps the share small until the evidence allows more", func() {
		last := hold(SockOffice, func(time.Duration) mesh.Verdict { return evidenceFor(0.5) },
			func(_ time.Duration, row mesh.Move) { Expect(row.Share).To(BeNumerically("<=", 0.05)) })
		Expect(last.Phase).To(Equal(mesh.MoveTakenBack))
	})

	// A move without calls must not end as done because nothing bad was seen,
	// and its operator must be notified before the target.
	It("takes a move back without enough evidence by the target and reports it as late before", func() {
		var late time.Duration
		last := hold(SockOffice, func(time.Duration) mesh.Verdict { return mesh.Verdict{} },
			func(t time.Duration, row mesh.Move) {
				if row.Late && late == 0 {
					late = t
				}
			})
		Expect(last.Phase).To(Equal(mesh.MoveTakenBack))
		Expect(last.Reason).To(ContainSubstring("by the target time"))
		Expect(late).To(And(BeNumerically(">", 0), BeNumerically("<", target-30*time.Second)))
	})

	// Faults that need full load appear in the watch period only.
	DescribeTable("takes back or delays in the watch period",
		func(change func(*mesh.Verdict), phase mesh.MovePhase) {
			last := hold(SockOffice, func(t time.Duration) mesh.Verdict {
				v := evidenceFor(12)
				if t > 8*time.Minute {
					change(&v)
				}
				return v
			}, nil)
			Expect(last.Phase).To(Equal(phase))
		},
		Entry("bad", func(v *mesh.Verdict) { v.Bad, v.Reason = true, "failures" }, mesh.MoveTakenBack),
		Entry("cut by a quarter of the nodes", func(v *mesh.Verdict) { v.Cuts = 3 }, mesh.MoveTakenBack),
		Entry("cut by one node", func(v *mesh.Verdict) { v.Cuts = 1 }, mesh.MoveDone),
		Entry("recheck that does not end", func(v *mesh.Verdict) { v.Recheck = true }, mesh.MoveTakenBack),
	)

	It("catches up after a pause that leaves enough time", func() {
		h, row := NewHolder(SockOffice), rowAt(mesh.MoveDeclared, 0, 1, start)
		for t := 4 * time.Minute; t < target && !row.Phase.Ended(); t += time.Second {
			v := evidenceFor(12)
			row, _ = h.Next(row, &v, start.Add(t))
		}
		Expect(row.Phase).To(Equal(mesh.MoveDone))
	})
})

var _ = Describe("the lease", func() {
	held := rowAt(mesh.MoveShifting, 0.2, 7, start)

	DescribeTable("may be acquired",
		func(row mesh.Move, node mesh.NodeID, after time.Duration, want bool) {
			Expect(CanAcquireLease(&row, node, start.Add(after))).To(Equal(want))
		},
		Entry("by nobody while it runs", held, mesh.NodeID("b"), LeaseDuration, false),
		Entry("by nobody within the clock skew after it", held, mesh.NodeID("b"), LeaseDuration+time.Second, false),
		Entry("by another node afterwards", held, mesh.NodeID("b"), LeaseDuration+3*time.Second, true),
		Entry("at once when nobody has it", mesh.Move{Phase: mesh.MoveDeclared}, mesh.NodeID("b"), time.Duration(0), true),
		Entry("not after the end", mesh.Move{Phase: mesh.MoveDone}, mesh.NodeID("b"), time.Hour, false),
	)

	// A paused holder resumes and writes the step that it decided on before.
	It("refuses the late step of a paused holder after a take-over", func() {
		taken, err := AcquireLease(&held, "b", start.Add(time.Minute))
		Expect(err).NotTo(HaveOccurred())
		Expect(taken.Epoch).To(Equal(held.Epoch + 1))
		late := held
		late.Step, late.Share = taken.Step+1, 1
		Expect(result.Of(CheckStep(&taken, &late))).To(Equal(result.LeaseLost))
		Expect(HoldsLease(&taken, "h", held.Epoch, start.Add(time.Minute))).To(BeFalse())
		Expect(late.Newer(&taken)).To(BeFalse())
	})

	It("refuses a step that skips or repeats one", func() {
		for _, step := range []uint64{held.Step, held.Step + 2} {
			next := held
			next.Step = step
			Expect(result.Of(CheckStep(&held, &next))).To(Equal(result.LeaseLost))
		}
	})
})

var _ = DescribeTable("a new move that can't be accepted",
	func(change func(*mesh.Move), known []mesh.Move, code *result.Code) {
		view := &mesh.View{Members: []mesh.Member{
			{State: mesh.NodeAlive, Endpoint: mesh.Endpoint{Service: "svc", Version: "1", State: mesh.EndpointReady}},
			{State: mesh.NodeAlive, Endpoint: mesh.Endpoint{Service: "svc", Version: "2", State: mesh.EndpointReady}},
			{State: mesh.NodeDead, Endpoint: mesh.Endpoint{Service: "svc", Version: "3", State: mesh.EndpointReady}},
		}}
		m := mesh.Move{ID: "new", Service: "svc", Old: "1", New: "2", Target: start.Add(target)}
		change(&m)
		Expect(result.Of(Validate(&m, known, view, start))).To(Equal(code))
	},
	Entry("none", func(*mesh.Move) {}, nil, result.OK),
	Entry("version nobody announced", func(m *mesh.Move) { m.New = "9" }, nil, result.MoveUnknownVersion),
	Entry("version that only a dead node announced", func(m *mesh.Move) { m.New = "3" }, nil, result.MoveUnknownVersion),
	Entry("target in the past", func(m *mesh.Move) { m.Target = start.Add(-time.Second) }, nil, result.MovePastTarget),
	Entry("target too near", func(m *mesh.Move) { m.Target = start.Add(MinDuration - time.Second) }, nil, result.MovePastTarget),
	Entry("old = new", func(m *mesh.Move) { m.New = "1" }, nil, result.MoveInvalid),
	Entry("no service", func(m *mesh.Move) { m.Service = "" }, nil, result.MoveInvalid),
	Entry("id in use", func(*mesh.Move) {}, []mesh.Move{{ID: "new", Service: "x", Phase: mesh.MoveDone}}, result.MoveInvalid),
	Entry("another move of the service", func(*mesh.Move) {},
		[]mesh.Move{{ID: "o", Service: "svc", Phase: mesh.MoveWatching}}, result.MoveInProgress),
	Entry("an ended move of the service", func(*mesh.Move) {},
		[]mesh.Move{{ID: "o", Service: "svc", Phase: mesh.MoveTakenBack}}, result.OK),
)
