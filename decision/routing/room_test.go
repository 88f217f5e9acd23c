package routing

import (
	"errors"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/mesh"
	"teaselring/result"
)

// bursts returns a load that rises for a part of each period.
func bursts(high, low float64, part, period time.Duration) func(int, time.Duration) float64 {
	return func(_ int, t time.Duration) float64 {
		if t%period < part {
			return high
		}
		return low
	}
}

// told returns the Retry-After of a refusal.
func told(_ *replayCall, err error, _ *rand.Rand) time.Duration {
	var refusal *Refusal
	Expect(errors.As(err, &refusal)).To(BeTrue())
	return refusal.RetryAfter
}

var _ = Describe("refused callers that return", func() {
	pattern := replayPattern{zones: 3, servers: 36, entries: 24, seconds: 16, retryAfter: told}

	// With a random Retry-After of 0.1 to 0.5 of the target, 59% of those who returned were
	// refused again in bursts, and 1.1% of the calls in the end.
	It("find room after a burst", func() {
		pattern.load = bursts(1.5, 0.6, time.Second, 4*time.Second)
		x := pattern.runSeeds(2)
		Expect(float64(x.returnedRefused) / float64(x.returned)).To(BeNumerically("<", 0.35))
		Expect(float64(x.refused) / float64(x.calls)).To(BeNumerically("<", 0.005))
	})

	// 10.6% were refused again.
	It("find room under steady high load", func() {
		pattern.load = steady(0.95)
		x := pattern.runSeeds(2)
		Expect(float64(x.returnedRefused) / float64(x.returned)).To(BeNumerically("<", 0.09))
	})

	// A call was sent to up to six full owner nodes each time, 11.9 attempts for each call.
	It("are refused after few attempts while the shortage lasts", func() {
		short := pattern
		short.load, short.seconds = steady(1.15), 10
		x := short.runSeeds(1)
		Expect(float64(x.attempts) / float64(x.calls)).To(BeNumerically("<", 9))
	})
})

var _ = Describe("the schedule of returns", func() {
	answering := func(perSecond int) *returns {
		t := &returns{}
		for i := range 5 * perSecond {
			t.recordAnswer(start.Add(time.Duration(i) * time.Second / time.Duration(perSecond)))
		}
		return t
	}
	now := start.Add(5 * time.Second)

	It("spaces returns by a tenth of the rate of answers, and the rest over the end of the limit", func() {
		t := answering(100)
		for i := range 5 {
			Expect(t.book(0, 0, time.Second, 0, now)).To(BeNumerically("~", time.Duration(i)*100*time.Millisecond, 5*time.Millisecond))
		}
		for range 100 {
			Expect(t.book(0, 0, time.Second, 0.5, now)).To(BeNumerically("<=", time.Second))
		}
		Expect(t.book(0, 0, time.Second, 0.5, now)).To(Equal(875 * time.Millisecond))
		later := now.Add(time.Second)
		for i := range 100 {
			t.recordAnswer(now.Add(time.Duration(i+1) * 10 * time.Millisecond))
		}
		Expect(t.book(0, 0, time.Second, 0, later)).To(BeNumerically("<", 10*time.Millisecond), "all have returned")
	})

	It("lets urgent callers return before less urgent ones", func() {
		t := answering(100)
		for range 5 {
			t.book(returnRanks-1, 0, time.Second, 0, now)
		}
		Expect(t.book(0, 0, time.Second, 0, now)).To(BeZero())
		Expect(t.book(returnRanks-1, 0, time.Second, 0, now)).To(BeNumerically("~", 600*time.Millisecond, 30*time.Millisecond))
	})
})

// Callers do not wait longer, and would return without room being known.
var _ = Describe("the time of a refusal", func() {
	It("is at most a third of the time left", func() {
		r := nearAndFar()
		for _, node := range []mesh.NodeID{"near", "far"} {
			r.complete(node, "", 100*time.Millisecond, start)
			t := mesh.Target{Node: node, Incarnation: 1}
			r.Begin(t, start)
			r.End(mesh.Outcome{Target: t, Code: result.QueueFull.Number, Shed: true, Load: &mesh.Load{InFlight: 4, Queued: 1000, Limit: 4}}, start)
		}
		call := &mesh.Call{Service: "s", SoftDeadline: start.Add(500 * time.Millisecond), StartBy: start.Add(300 * time.Millisecond), Deadline: start.Add(900 * time.Millisecond)}
		_, err := r.Pick(&Query{Call: call, Refusals: 1}, nil, rand.New(rand.NewPCG(1, 1)), start)
		Expect(result.Of(err)).To(Equal(result.QueueFull))
		Expect(told(nil, err, nil)).To(And(BeNumerically(">", 0), BeNumerically("<=", 300*time.Millisecond)))
	})
})

// While all servers of a service refused half of their calls with slots free, callers were
// sent away for up to a third of their time, as if there were no room.
var _ = Describe("a caller whose call a server refused", func() {
	returnTime := func(load *mesh.Load) time.Duration {
		r := nearAndFar()
		call := &mesh.Call{Service: "s", Deadline: start.Add(6 * time.Second)}
		last := &mesh.Outcome{Code: result.Shed.Number, Shed: true, Load: load}
		var sum time.Duration
		for range 20 {
			sum += r.ReturnTime(call, last, rand.New(rand.NewPCG(1, 1)), start)
		}
		return sum / 20
	}
	It("returns at once if the server had free slots, and in turn if it had none", func() {
		Expect(returnTime(&mesh.Load{InFlight: 1, Limit: 6})).To(BeNumerically("<", 50*time.Millisecond))
		Expect(returnTime(&mesh.Load{InFlight: 6, Queued: 2, Limit: 6})).To(BeNumerically(">", time.Second))
	})
})
