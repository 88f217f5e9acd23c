package routing

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/mesh"
	"teaselring/result"
)

// refuse begins and ends attempts that are shed with the given load report.
func (r *Router) refuse(node mesh.NodeID, times int, load mesh.Load, now time.Time) {
	target := mesh.Target{Node: node, Incarnation: 1, Service: "s", Version: "v"}
	for range times {
		r.Begin(target, now)
		r.End(mesh.Outcome{Target: target, Route: "x", Code: result.Shed.Number, Shed: true, Load: &load}, now)
	}
}

var _ = Describe("servers that refuse calls with slots free", func() {
	const timeLeft = 500 * time.Millisecond
	free := mesh.Load{InFlight: 1, Limit: 4}
	run := func(near, far int) (r *Router, now time.Time) {
		r, now = nearAndFar(), start
		for range 40 {
			now = now.Add(20 * time.Millisecond)
			r.complete("near", "x", 100*time.Millisecond, now)
			r.complete("far", "x", 100*time.Millisecond, now)
			r.refuse("near", near, free, now)
			r.refuse("far", far, free, now)
		}
		return r, now.Add(baselineMaxAge)
	}

	// Such refusals counted only as load, which decays, so the server kept getting
	// calls.
	It("are avoided when others run their calls", func() {
		r, now := run(3, 0)
		Expect(r.pickNode("x", timeLeft, now)).To(BeEquivalentTo("far"))
	})

	// All calls left their zone, although the other zones refused as many.
	It("keep the calls of their zone when all servers refuse alike", func() {
		r, now := run(3, 3)
		for range 20 {
			Expect(r.pickNode("x", timeLeft, now)).To(BeEquivalentTo("near"))
		}
	})

	It("do not count as full", func() {
		r, now := run(1, 1)
		Expect(r.nodes["near"].load(now, &r.params)).To(BeNumerically("<", 3))
		r.refuse("near", 1, mesh.Load{InFlight: 4, Queued: 1, Limit: 4}, now)
		Expect(r.nodes["near"].load(now, &r.params)).To(BeNumerically(">=", 3.9))
	})
})
