package coldstart

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestColdStart(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "coldstart")
}

var (
	start = time.Unix(1000, 0)
	usual = Params{Rate: 13, Overage: 1.5, Slack: 8, Heartbeat: 1500 * time.Millisecond}
)

func at(d time.Duration) time.Time { return start.Add(d) }

// newGate returns the gate of an upstream that was heard at the start.
func newGate(p Params, coldFor time.Duration) *Gate {
	g := new(Gate)
	g.SetParams(p)
	g.Observe(Status{HeardAt: start, ColdUntil: at(coldFor)})
	return g
}

// mostInASecond returns the largest number of times within any half-open second.
func mostInASecond(times []time.Time) (most int) {
	slices.SortFunc(times, time.Time.Compare)
	for i, first := range times {
		n := 0
		for _, t := range times[i:] {
			if t.Sub(first) < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// offer starts a call whenever one may start, from one time to another, and returns the
// starts.
func offer(g *Gate, from, to time.Duration) (starts []time.Time) {
	for t := at(from); t.Before(at(to)); t = t.Add(time.Millisecond) {
		for !g.StartTime(1, t).After(t) {
			g.Started(t)
			starts = append(starts, t)
		}
	}
	return starts
}

// Servers crashed 276 times in 30 s after a power loss; a cold one got up to 36 requests in
// a second where 27 are allowed.
var _ = DescribeTable("a cold upstream that is offered more than it tolerates", func(p Params, least int) {
	p.Heartbeat = 0
	rnd := rand.New(rand.NewPCG(3, 3))
	for range 20 {
		g := newGate(p, time.Hour)
		starts := offer(g, 0, 10*time.Second)
		Expect(len(starts)).To(BeNumerically(">=", least), "it is left idle")
		arrivals := make([]time.Time, len(starts))
		for i, s := range starts {
			arrivals[i] = s.Add(time.Duration(rnd.Int64N(int64(bunching))))
		}
		Expect(mostInASecond(arrivals)).To(BeNumerically("<=", p.Allowance()))
		Expect(mostInASecond(starts)).To(BeNumerically("<=", p.Rate+p.burst()+1), "it crashes well above its rate")
	}
},
	Entry("gets its rate", usual, 130),
	Entry("without slack keeps to its rate", Params{Rate: 13, Overage: 1}, 100),
	Entry("with one request a second", Params{Rate: 1, Overage: 1}, 8),
	Entry("with less than one request a second", Params{Rate: 0.4, Overage: 1.5}, 4),
)

var _ = Describe("a warm upstream that turns cold", func() {
	// The requests of the second before it turned cold count as well.
	It("gets no burst on top of what it got just before", func() {
		g := newGate(usual, 0)
		var starts []time.Time
		for t := time.Duration(0); t < time.Second; t += 40 * time.Millisecond { // 25 a second
			g.Started(at(t))
			starts = append(starts, at(t))
		}
		g.Observe(Status{HeardAt: at(time.Second), ColdUntil: at(4 * time.Second)})
		g.params.Heartbeat = 0
		starts = append(starts, offer(g, time.Second, 4*time.Second)...)
		Expect(mostInASecond(starts)).To(BeNumerically("<=", usual.Allowance()))
		Expect(len(starts)).To(BeNumerically(">=", 25+25))
	})

	It("is charged for a second at most, and credited for what it never got", func() {
		g := newGate(usual, 0)
		for range 1000 {
			g.Started(start)
		}
		g.Observe(Status{HeardAt: start, ColdUntil: at(time.Hour)})
		Expect(g.StartTime(1, start)).To(BeTemporally("<=", at(time.Second)))
		before := g.StartTime(1, start)
		g.Withdrawn()
		Expect(g.StartTime(1, start)).To(BeTemporally("<", before))
	})

	It("starts all calls when it is warm again", func() {
		g := newGate(usual, 300*time.Millisecond)
		Expect(g.StartTime(4, start)).To(Equal(start), "the burst")
		Expect(g.StartTime(5, start)).To(BeTemporally("~", at(77*time.Millisecond), time.Millisecond))
		Expect(g.StartTime(50, start)).To(Equal(at(300 * time.Millisecond)))
		Expect(g.Concurrency(200*time.Millisecond, start)).To(Equal(3))
		Expect(g.Concurrency(200*time.Millisecond, at(time.Second))).To(BeZero())
	})
})

// Guards against calls to an upstream that restarted unnoticed.
var _ = DescribeTable("an upstream counts as cold", func(change func(*Gate), now time.Duration, want bool) {
	g := newGate(usual, time.Second)
	change(g)
	cold, _ := g.Cold(at(now))
	Expect(cold).To(Equal(want))
},
	Entry("until the time that it states", func(*Gate) {}, 999*time.Millisecond, true),
	Entry("not after it", func(*Gate) {}, time.Second, false),
	Entry("when it is not heard of", func(*Gate) {}, 2*time.Second, true),
	Entry("when it was never heard", func(g *Gate) { g.Observe(Status{}) }, time.Second, true),
	Entry("when it refused a connection", func(g *Gate) { g.Suspect(at(time.Second)) }, 1100*time.Millisecond, true),
	Entry("not when it was heard since", func(g *Gate) {
		g.Suspect(at(time.Second))
		g.Observe(Status{HeardAt: at(1050 * time.Millisecond)})
	}, 1100*time.Millisecond, false),
	Entry("when its only connection broke", func(g *Gate) { g.ConnectionLost(0, at(time.Second)) }, 1100*time.Millisecond, true),
	Entry("when two connections broke at once", func(g *Gate) {
		g.ConnectionLost(5, at(time.Second))
		g.ConnectionLost(4, at(1010*time.Millisecond))
	}, 1100*time.Millisecond, true),
	Entry("not when one of many broke", func(g *Gate) {
		g.ConnectionLost(5, at(500*time.Millisecond))
		g.ConnectionLost(5, at(time.Second))
	}, 1100*time.Millisecond, false),
	Entry("never without a rate", func(g *Gate) {
		g.SetParams(Params{Overage: 1.5, Slack: 8})
		g.Suspect(at(time.Second))
	}, 1100*time.Millisecond, false),
)
