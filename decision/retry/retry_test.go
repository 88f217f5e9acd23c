package retry

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/mesh"
	"teaselring/result"
)

var (
	start  = time.Unix(1000, 0)
	policy = DefaultPolicy()
)

func callOf(method string, class mesh.Class) *mesh.Call {
	return &mesh.Call{Method: method, Class: class, Key: "k", Caller: "shop", Deadline: start.Add(time.Second)}
}

var _ = DescribeTable("what an outcome allows",
	func(method string, class mesh.Class, o mesh.Outcome, want Reason) {
		a := &Attempt{Call: callOf(method, class), Outcome: &o, Made: 1, Account: "shop", Percent: 10}
		v := policy.Judge(a, NewBudgets(DefaultBudgetParams()), 0.5, start)
		Expect(v.Why).To(Equal(want))
		Expect(v.Retry).To(Equal(want == WhyAllowed))
	},
	Entry("a once call that did not run", "POST", mesh.ClassOnce, mesh.Outcome{Code: 1009}, WhyAllowed),
	Entry("a once call that was shed", "POST", mesh.ClassOnce, mesh.Outcome{Status: 503, Shed: true}, WhyAllowed),
	Entry("a once call that may have run", "POST", mesh.ClassOnce, mesh.Outcome{Code: 1008}, WhyUnsafe),
	Entry("a once call sent as GET that may have run", "GET", mesh.ClassOnce, mesh.Outcome{Code: 1008}, WhyUnsafe),
	Entry("a POST that may have run", "POST", mesh.ClassUpload, mesh.Outcome{Code: 1008}, WhyUnsafe),
	Entry("a GET that may have run", "GET", mesh.ClassRead, mesh.Outcome{Code: 1008}, WhyAllowed),
	Entry("a GET whose upstream crashed", "GET", mesh.ClassRead, mesh.Outcome{Code: 1024}, WhyAllowed),
	Entry("a POST that was fenced", "POST", mesh.ClassUpload, mesh.Outcome{Code: 1020}, WhyAllowed),
	Entry("a duplicate attempt", "GET", mesh.ClassRead, mesh.Outcome{Code: 1026}, WhyUnsafe),
	Entry("an answered failure", "GET", mesh.ClassRead, mesh.Outcome{Status: 500, Failed: true}, WhyAnswered),
	Entry("a quarantined request", "GET", mesh.ClassRead, mesh.Outcome{Code: 1018}, WhyFutile),
	Entry("a caller over its limit", "GET", mesh.ClassRead, mesh.Outcome{Code: 1012}, WhyFutile),
	Entry("a key that has run", "POST", mesh.ClassOnce, mesh.Outcome{Code: 1014}, WhyFutile),
	Entry("an unknown code", "GET", mesh.ClassRead, mesh.Outcome{Code: 4242}, WhyUnsafe),
)

var _ = DescribeTable("what stands against a retry",
	func(change func(*Attempt, *Budgets), want Reason) {
		a := &Attempt{Call: callOf("GET", mesh.ClassRead), Outcome: &mesh.Outcome{Code: 1009}, Made: 1, Account: "shop", Percent: 10}
		budgets := NewBudgets(DefaultBudgetParams())
		change(a, budgets)
		v := policy.Judge(a, budgets, 0.5, start)
		Expect(v).To(Equal(Verdict{Mark: want != WhyUnsafe, Why: want}))
	},
	Entry("a node below decided", func(a *Attempt, _ *Budgets) { a.RetriedBelow = true }, WhyElsewhere),
	Entry("a node above retries", func(a *Attempt, _ *Budgets) { a.RetriedAbove = true }, WhyElsewhere),
	Entry("attempts used", func(a *Attempt, _ *Budgets) { a.Made = 3 }, WhyAttempts),
	Entry("no time left", func(a *Attempt, _ *Budgets) { a.Expected = 996 * time.Millisecond }, WhyDeadline),
	Entry("no budget", func(_ *Attempt, b *Budgets) {
		for b.Spend("shop", DefaultPercent, start) {
		}
	}, WhyBudget),
	Entry("a record without retries", func(a *Attempt, _ *Budgets) { a.Percent = 0 }, WhyBudget),
	Entry("a once call without a key", func(a *Attempt, _ *Budgets) { a.Call.Class, a.Call.Key = mesh.ClassOnce, "" }, WhyUnsafe),
)

var _ = Describe("Back-off", func() {
	It("is drawn from zero to a span that doubles up to its maximum", func() {
		Expect(policy.backoff(1, 0)).To(BeZero())
		Expect(policy.backoff(1, 0.5)).To(Equal(5 * time.Millisecond))
		Expect(policy.backoff(3, 0.5)).To(Equal(20 * time.Millisecond))
		Expect(policy.backoff(60, 0.5)).To(Equal(125 * time.Millisecond))
	})
})

var _ = Describe("Budgets", func() {
	It("counts only recent calls", func() {
		b := NewBudgets(DefaultBudgetParams())
		for range 1000 {
			b.Call("shop", 10, start)
		}
		later, spent := start.Add(time.Minute), 0
		for b.Spend("shop", DefaultPercent, later) {
			spent++
		}
		Expect(spent).To(BeNumerically("~", 3, 1), "an old quiet time must not pay for a storm of retries")
	})

	It("keeps callers apart and bounds their number", func() {
		p := DefaultBudgetParams()
		p.MaxCallers = 2
		b := NewBudgets(p)
		for range 100 {
			b.Call("shop", 10, start)
		}
		b.Call("billing", 0, start)
		for b.Spend("billing", DefaultPercent, start) {
		}
		Expect(b.Has("shop", DefaultPercent, start)).To(BeTrue())
		for i := range 100 {
			b.Call(mesh.CallerID(fmt.Sprint(i)), 10, start)
		}
		Expect(b.Len()).To(Equal(3))
		b.Expire(start.Add(time.Hour))
		Expect(b.Len()).To(BeZero())
	})
})

// The platform counts the repeats of all nodes in any window of 10 s. With a share
// of 0.1 that was kept for 10 s half of what it allows stayed unused, and earning
// all of it broke the rule.
var _ = Describe("Budgets of a platform", func() {
	const ratio, slack, nodes, window = 0.2, 58.0, 12, 10 * time.Second

	It("stay within the ratio and its slack in every window and use most of it", func() {
		params, percent := ForPlatform(DefaultBudgetParams(), ratio, window)
		budgets := make([]*Budgets, nodes)
		for i := range budgets {
			budgets[i] = NewBudgets(params)
		}
		const each = 10 * time.Millisecond // between two calls of a node
		const steps = int(40 * time.Second / each)
		repeats := make([]int, steps)
		for step := range steps {
			now := start.Add(time.Duration(step) * each)
			for _, b := range budgets {
				b.Call("s", percent, now)
				if step >= steps/2 && b.Spend("s", percent, now) { // half of the time nothing fails
					repeats[step]++
				}
			}
		}
		span, most := int(window/each), 0
		for from := 0; from+span <= steps; from++ {
			sum := 0
			for _, n := range repeats[from : from+span] {
				sum += n
			}
			most = max(most, sum)
		}
		allowed := ratio*float64(span*nodes) + slack
		Expect(float64(most)).To(BeNumerically("<=", allowed))
		Expect(float64(most)).To(BeNumerically(">=", 0.75*allowed))
	})
})

// A chain of services, each behind its own entry node. The last hop always
// fails to connect. Without the header rule each hop would multiply the load.
type chain struct {
	budgets  []*Budgets
	rnd      *rand.Rand
	now      time.Time
	lastHops int
	// passOn tells whether services hand the node's failure on unchanged, with
	// code and header, or answer with a failure of their own.
	passOn bool
}

func (c *chain) call(hop int) (outcome mesh.Outcome, marked bool) {
	if hop == len(c.budgets) {
		c.lastHops++
		return mesh.Outcome{Code: result.ConnectFailed.Number, Failed: true}, false
	}
	call := callOf("GET", mesh.ClassRead)
	call.Deadline = c.now.Add(time.Minute)
	c.budgets[hop].Call(call.Caller, DefaultPercent, c.now)
	for made := 1; ; made++ {
		o, below := c.call(hop + 1)
		a := &Attempt{Call: call, Outcome: &o, Made: made, RetriedBelow: below, Account: call.Caller, Percent: DefaultPercent}
		v := policy.Judge(a, c.budgets[hop], c.rnd.Float64(), c.now)
		if !v.Retry || !c.budgets[hop].Spend(call.Caller, DefaultPercent, c.now) {
			if c.passOn {
				return o, v.Mark
			}
			return mesh.Outcome{Status: 502, Failed: true}, false
		}
	}
}

var _ = DescribeTable("a chain 12 deep whose last hop fails stays within 1.1 times the load",
	func(passOn bool) {
		c := &chain{rnd: rand.New(rand.NewPCG(5, 5)), now: start, passOn: passOn}
		for range 12 {
			c.budgets = append(c.budgets, NewBudgets(DefaultBudgetParams()))
		}
		const calls = 5000
		for range calls {
			c.call(0)
			c.now = c.now.Add(10 * time.Millisecond)
		}
		Expect(c.lastHops).To(BeNumerically("<=", calls*1.1+DefaultBudgetParams().Burst))
		Expect(c.lastHops).To(BeNumerically(">=", calls*1.09), "the budget should be used")
	},
	Entry("when services hand the failure on", true),
	Entry("when services answer with their own failure", false),
)
