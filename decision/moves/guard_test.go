package moves

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/mesh"
	"teaselring/result"
)

const target = 10 * time.Minute

func rowAt(phase mesh.MovePhase, share float64, step uint64, at time.Time) mesh.Move {
	return mesh.Move{
		ID: "m", Service: "svc", Old: "1", New: "2", Declared: start, Target: start.Add(target),
		Phase: phase, Share: share, Step: step, Epoch: 1, Holder: "h", LeaseUntil: at.Add(LeaseDuration),
	}
}

func shareOf(g *Guard, at time.Time) float64 { return g.Splits(at).ByService["svc"].Share }

func responseOf(version mesh.UpstreamVersion, node int, failed bool) *mesh.Outcome {
	return &mesh.Outcome{
		Target: mesh.Target{Node: mesh.NodeID(fmt.Sprint("u", version, node)), Service: "svc", Version: version},
		Route:  "r", Status: 200, Failed: failed, Duration: 20 * time.Millisecond,
	}
}

var _ = Describe("the guard's share", func() {
	var g *Guard
	at := func(d time.Duration) time.Time { return start.Add(d) }
	BeforeEach(func() { g = NewGuard(SockOffice, "a", 1) })

	// The holder may be paused or cut off while the version turns bad.
	It("never grows without a lease", func() {
		g.ApplyRows([]mesh.Move{rowAt(mesh.MoveShifting, 0.2, 2, at(0))}, at(0))
		Expect(shareOf(g, at(time.Second))).To(Equal(0.2))
		stale := rowAt(mesh.MoveShifting, 0.7, 3, at(0))
		g.ApplyRows([]mesh.Move{stale}, at(30*time.Second))
		Expect(shareOf(g, at(30*time.Second))).To(Equal(0.2))
		Expect(shareOf(g, at(60*time.Second))).To(Equal(0.2))
		g.ApplyRows([]mesh.Move{rowAt(mesh.MoveShifting, 0.1, 4, at(0))}, at(70*time.Second))
		Expect(shareOf(g, at(70*time.Second))).To(Equal(0.1))
	})

	// A node that starts in a platform outage receives old rows from its peers.
	It("stays zero on a node that receives only an expired lease", func() {
		g.ApplyRows([]mesh.Move{rowAt(mesh.MoveShifting, 0.7, 5, at(0))}, at(time.Minute))
		Expect(shareOf(g, at(time.Minute))).To(BeZero())
	})

	DescribeTable("follows the phase",
		func(phase mesh.MovePhase, share float64, when time.Duration, want float64) {
			g.ApplyRows([]mesh.Move{rowAt(phase, share, 2, at(when))}, at(when))
			Expect(shareOf(g, at(when))).To(Equal(want))
		},
		Entry("declared", mesh.MoveDeclared, 0.0, time.Second, 0.0),
		Entry("shifting", mesh.MoveShifting, 0.4, time.Second, 0.4),
		Entry("watching", mesh.MoveWatching, 1.0, time.Second, 1.0),
		Entry("at the target time without done", mesh.MoveWatching, 1.0, target, 0.0),
		Entry("done", mesh.MoveDone, 1.0, time.Second, 1.0),
		Entry("done, long after the target time", mesh.MoveDone, 1.0, 100*target, 1.0),
		Entry("taking back", mesh.MoveTakingBack, 0.0, time.Second, 0.0),
		Entry("taken back", mesh.MoveTakenBack, 0.0, time.Second, 0.0),
	)

	// Messages may be reordered: a raise sent before a take-back may arrive
	// last.
	It("ignores a row that is older than the one it has", func() {
		g.ApplyRows([]mesh.Move{rowAt(mesh.MoveTakenBack, 0, 9, at(0))}, at(0))
		Expect(g.ApplyRows([]mesh.Move{rowAt(mesh.MoveShifting, 0.7, 8, at(0))}, at(time.Second))).To(BeFalse())
		Expect(shareOf(g, at(time.Second))).To(BeZero())
	})
})

// drive runs calls through one guard for some seconds and returns its last
// report.
func drive(g *Guard, from time.Time, seconds int, newFails func(second, call int) bool) mesh.Evidence {
	var last mesh.Evidence
	for s := range seconds {
		now := from.Add(time.Duration(s) * time.Second)
		row := rowAt(mesh.MoveShifting, 0.2, uint64(s+2), now)
		g.ApplyRows([]mesh.Move{row}, now)
		for i := range 40 {
			g.Observe(responseOf("1", i%4, false), now)
			if i%5 == 0 {
				g.Observe(responseOf("2", i%4, newFails(s, i)), now)
			}
		}
		last = g.Tick(now)[0]
	}
	return last
}

var _ = Describe("the guard's evidence", func() {
	// New processes fail and are slow while they fill their caches.
	It("does not count a cold start as badness", func() {
		g := NewGuard(LicenceMesh, "a", 1)
		e := drive(g, start, 60, func(s, _ int) bool { return s < 9 })
		Expect(e.Cut).To(BeFalse())
		Expect(e.Routes[0].New.Failures).To(BeZero())
		Expect(e.Routes[0].New.Calls).NotTo(BeZero())
	})

	It("recognises the cold start of a replaced process", func() {
		g := NewGuard(LicenceMesh, "a", 1)
		drive(g, start, 30, func(int, int) bool { return false })
		view := &mesh.View{}
		for i := range 4 {
			view.Members = append(view.Members, mesh.Member{
				Node: mesh.NodeID(fmt.Sprint("u2", i)), Endpoint: mesh.Endpoint{Process: "next"},
			})
		}
		g.Members(view, start.Add(30*time.Second))
		e := drive(g, start.Add(30*time.Second), 9, func(int, int) bool { return true })
		Expect(e.Routes[0].New.Failures).To(BeZero())
	})

	// A node that is cut off from the others still has to act.
	It("cuts by itself when failures go on after the cold start", func() {
		g := NewGuard(SockOffice, "a", 1)
		e := drive(g, start, 40, func(_, call int) bool { return call%10 == 0 })
		Expect(e.Cut).To(BeTrue())
		Expect(e.Reason).To(ContainSubstring("failures"))
		Expect(shareOf(g, start.Add(40*time.Second))).To(BeZero())
	})

	// Another node's cut is no evidence.
	It("does not follow a cut that no evidence supports", func() {
		g := NewGuard(SockOffice, "a", 1)
		drive(g, start, 20, func(int, int) bool { return false })
		g.Receive(&mesh.Evidence{Move: "m", Node: "b", Incarnation: 1, Sequence: 1, Cut: true})
		e := drive(g, start.Add(20*time.Second), 20, func(int, int) bool { return false })
		Expect(e.Cut).To(BeFalse())
	})

	refused := func(change func(*mesh.Outcome)) *mesh.Outcome {
		o := responseOf("2", 0, false)
		o.Status = 503
		change(o)
		return o
	}
	DescribeTable("classifies outcomes",
		func(o *mesh.Outcome, times int, want mesh.Tally) {
			s := newSampler("m", "a", 1)
			warm := start.Add(time.Minute)
			s.processes[o.Target.Node] = &process{firstSeen: start, firstCall: start, calls: 1000}
			for range times {
				s.observe(o, true, 12, warm)
			}
			got := s.nextReport().Routes[0].New
			got.Latency = mesh.Tally{}.Latency
			Expect(got).To(Equal(want))
		},
		Entry("shedding under load is no failure", refused(func(o *mesh.Outcome) {
			o.Shed, o.Load = true, &mesh.Load{InFlight: 6, Queued: 2, Limit: 6}
		}), 2, mesh.Tally{Shed: 2}),
		Entry("shedding without load is a failure", refused(func(o *mesh.Outcome) {
			o.Shed, o.Load = true, &mesh.Load{InFlight: 1, Limit: 6}
		}), 2, mesh.Tally{Calls: 2, Failures: 2}),
		Entry("a platform outage on the way is no failure of the upstream", refused(func(o *mesh.Outcome) {
			o.Code = result.KeyStoreDown.Number
		}), 2, mesh.Tally{}),
		Entry("a crash counts once for all calls it ended", refused(func(o *mesh.Outcome) {
			o.Crashed, o.Failed = true, true
		}), 5, mesh.Tally{Calls: 1, Crashes: 1}),
	)
})
