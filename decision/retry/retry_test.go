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

var _ = DescribeTable("the decision by the outcome",
	func(method string, class mesh.Class, o mesh.Outcome, want DecisionReason) {
		a := &Attempt{Call: callOf(method, class), Outcome: &o, AttemptCount: 1, ChargedCaller: "shop", RetryPercent: 10}
		v := policy.Decide(a, NewBudgets(DefaultBudgetParams()), 0.5, start)
		Expect(v.Reason).To(Equal(want))
		Expect(v.Retry).To(Equal(want == ReasonAllowed))
	},
	Entry("a once call that did not run", "POST", mesh.ClassOnce, mesh.Outcome{Code: 1009}, ReasonAllowed),
	Entry("a once call that was shed", "POST", mesh.ClassOnce, mesh.Outcome{Status: 503, Shed: true}, ReasonAllowed),
	Entry("a once call that may have run", "POST", mesh.ClassOnce, mesh.Outcome{Code: 1008}, ReasonNotIdempotent),
	Entry("a once call sent as GET that may have run", "GET", mesh.ClassOnce, mesh.Outcome{Code: 1008}, ReasonNotIdempotent),
	Entry("an upload sent by POST that may have run", "POST", mesh.ClassUpload, mesh.Outcome{Code: 1008}, ReasonNotIdempotent),
	Entry("an upload sent by PUT that may have run", "PUT", mesh.ClassUpload, mesh.Outcome{Code: 1008}, ReasonNotIdempotent),
	Entry("an upload sent by DELETE whose upstream crashed", "DELETE", mesh.ClassUpload, mesh.Outcome{Code: 1024}, ReasonNotIdempotent),
	Entry("a read sent by POST that may have run", "POST", mesh.ClassRead, mesh.Outcome{Code: 1008}, ReasonAllowed),
	Entry("a GET that may have run", "GET", mesh.ClassRead, mesh.Outcome{Code: 1008}, ReasonAllowed),
	Entry("a GET whose upstream crashed", "GET", mesh.ClassRead, mesh.Outcome{Code: 1024}, ReasonAllowed),
	Entry("a POST that was fenced", "POST", mesh.ClassUpload, mesh.Outcome{Code: 1020}, ReasonAllowed),
	Entry("a duplicate attempt", "GET", mesh.ClassRead, mesh.Outcome{Code: 1026}, ReasonNotIdempotent),
	Entry("a failure response of the upstream", "GET", mesh.ClassRead, mesh.Outcome{Status: 500, Failed: true}, ReasonAnswered),
	Entry("a quarantined request", "GET", mesh.ClassRead, mesh.Outcome{Code: 1018}, ReasonNotRetryable),
	Entry("a caller over its limit", "GET", mesh.ClassRead, mesh.Outcome{Code: 1012}, ReasonNotRetryable),
	Entry("a key that has run", "POST", mesh.ClassOnce, mesh.Outcome{Code: 1014}, ReasonNotRetryable),
	Entry("an unknown code", "GET", mesh.ClassRead, mesh.Outcome{Code: 4242}, ReasonNotIdempotent),
)

// Guards against an upload that runs twice because its client sent it by PUT: a failure
// that leaves open whether the call has run is retried for class read only, by any
// method; one with proof that it has not run, for every class.
var _ = DescribeTable("the decision on every outcome, by every method,",
	func(class mesh.Class) {
		retried := func(method string, class mesh.Class, code *result.Code) bool {
			a := &Attempt{Call: callOf(method, class), Outcome: &mesh.Outcome{Code: code.Number}, AttemptCount: 1, ChargedCaller: "shop", RetryPercent: 10}
			return policy.Decide(a, NewBudgets(DefaultBudgetParams()), 0.5, start).Retry
		}
		for _, code := range result.All() {
			if code.Ran == result.NotACall || code == result.OK {
				continue
			}
			want := retried("GET", mesh.ClassRead, code) && (class == mesh.ClassRead || code.Ran == result.NotRun)
			for _, method := range []string{"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE", "POST", "PATCH", "REPORT"} {
				Expect(retried(method, class, code)).To(Equal(want), "%s, %s", method, code.Name)
			}
		}
	},
	Entry("of class once", mesh.ClassOnce),
	Entry("of class upload", mesh.ClassUpload),
	Entry("of class read", mesh.ClassRead),
	Entry("without a class", mesh.Class("")),
	Entry("of an unknown class", mesh.Class("unknown")),
)

var _ = DescribeTable("a retry is denied",
	func(change func(*Attempt, *Budgets), want DecisionReason) {
		a := &Attempt{Call: callOf("GET", mesh.ClassRead), Outcome: &mesh.Outcome{Code: 1009}, AttemptCount: 1, ChargedCaller: "shop", RetryPercent: 10}
		budgets := NewBudgets(DefaultBudgetParams())
		change(a, budgets)
		v := policy.Decide(a, budgets, 0.5, start)
		Expect(v).To(Equal(Decision{MarkRetried: want != ReasonNotIdempotent, Reason: want}))
	},
	Entry("the response carries Teasel-Retried", func(a *Attempt, _ *Budgets) { a.ResponseRetried = true }, ReasonDecidedElsewhere),
	Entry("the request carries Teasel-Retried", func(a *Attempt, _ *Budgets) { a.RequestRetried = true }, ReasonDecidedElsewhere),
	Entry("all attempts used", func(a *Attempt, _ *Budgets) { a.AttemptCount = 3 }, ReasonMaxAttempts),
	Entry("no time left", func(a *Attempt, _ *Budgets) { a.ExpectedLatency = 996 * time.Millisecond }, ReasonDeadline),
	Entry("no budget", func(_ *Attempt, b *Budgets) {
		for b.Spend("shop", DefaultRetryPercent, start) {
		}
	}, ReasonBudget),
	Entry("a record without retries", func(a *Attempt, _ *Budgets) { a.RetryPercent = 0 }, ReasonBudget),
	Entry("a once call without a key", func(a *Attempt, _ *Budgets) { a.Call.Class, a.Call.Key = mesh.ClassOnce, "" }, ReasonNotIdempotent),
)

var _ = Describe("Backoff", func() {
	It("is uniform from zero to a bound that doubles up to its maximum", func() {
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
		for b.Spend("shop", DefaultRetryPercent, later) {
			spent++
		}
		Expect(spent).To(BeNumerically("~", 3, 1), "tokens of old calls paid for a retry storm")
	})

	It("are separate for each caller and bounded in number", func() {
		p := DefaultBudgetParams()
		p.MaxCallers = 2
		b := NewBudgets(p)
		for range 100 {
			b.Call("shop", 10, start)
		}
		b.Call("billing", 0, start)
		for b.Spend("billing", DefaultRetryPercent, start) {
		}
		Expect(b.CanRetry("shop", DefaultRetryPercent, start)).To(BeTrue())
		for i := range 100 {
			b.Call(mesh.CallerID(fmt.Sprint(i)), 10, start)
		}
		Expect(b.Len()).To(Equal(3))
		b.Expire(start.Add(time.Hour))
		Expect(b.Len()).To(BeZero())
	})
})

// The platform counts the retries of all nodes in any window of 10 s. A share of 0.1
// with a decay time of 10 s left half of the allowed retries unused, and the full
// share exceeded the limit.
var _ = Describe("Budgets of a platform", func() {
	const ratio, slack, nodes, window = 0.2, 58.0, 12, 10 * time.Second

	It("stay within the ratio plus slack in every window and use most of it", func() {
		params, percent := ForPlatform(DefaultBudgetParams(), ratio, window)
		budgets := make([]*Budgets, nodes)
		for i := range budgets {
			budgets[i] = NewBudgets(params)
		}
		const callInterval = 10 * time.Millisecond // between two calls of a node
		const steps = int(40 * time.Second / callInterval)
		retries := make([]int, steps)
		for step := range steps {
			now := start.Add(time.Duration(step) * callInterval)
			for _, b := range budgets {
				b.Call("s", percent, now)
				if step >= steps/2 && b.Spend("s", percent, now) { // no failures in the first half
					retries[step]++
				}
			}
		}
		windowSteps, maxRetries := int(window/callInterval), 0
		for from := 0; from+windowSteps <= steps; from++ {
			sum := 0
			for _, n := range retries[from : from+windowSteps] {
				sum += n
			}
			maxRetries = max(maxRetries, sum)
		}
		allowed := ratio*float64(windowSteps*nodes) + slack
		Expect(float64(maxRetries)).To(BeNumerically("<=", allowed))
		Expect(float64(maxRetries)).To(BeNumerically(">=", 0.75*allowed))
	})
})

// chain is a chain of services, each behind its own entry node. The last hop always
// fails to connect. Without Teasel-Retried each hop would multiply the load.
type chain struct {
	budgets      []*Budgets
	rnd          *rand.Rand
	now          time.Time
	lastHopCalls int
	// propagateFailure is set if services return the node's failure unchanged, with
	// code and header, and unset if they respond with a failure of their own.
	propagateFailure bool
}

func (c *chain) call(hop int) (outcome mesh.Outcome, marked bool) {
	if hop == len(c.budgets) {
		c.lastHopCalls++
		return mesh.Outcome{Code: result.ConnectFailed.Number, Failed: true}, false
	}
	call := callOf("GET", mesh.ClassRead)
	call.Deadline = c.now.Add(time.Minute)
	c.budgets[hop].Call(call.Caller, DefaultRetryPercent, c.now)
	for made := 1; ; made++ {
		o, below := c.call(hop + 1)
		a := &Attempt{Call: call, Outcome: &o, AttemptCount: made, ResponseRetried: below, ChargedCaller: call.Caller, RetryPercent: DefaultRetryPercent}
		v := policy.Decide(a, c.budgets[hop], c.rnd.Float64(), c.now)
		if !v.Retry || !c.budgets[hop].Spend(call.Caller, DefaultRetryPercent, c.now) {
			if c.propagateFailure {
				return o, v.MarkRetried
			}
			return mesh.Outcome{Status: 502, Failed: true}, false
		}
	}
}

var _ = DescribeTable("a chain of 12 services whose last hop fails stays within 1.1 times the load",
	func(propagateFailure bool) {
		c := &chain{rnd: rand.New(rand.NewPCG(5, 5)), now: start, propagateFailure: propagateFailure}
		for range 12 {
			c.budgets = append(c.budgets, NewBudgets(DefaultBudgetParams()))
		}
		const calls = 5000
		for range calls {
			c.call(0)
			c.now = c.now.Add(10 * time.Millisecond)
		}
		Expect(c.lastHopCalls).To(BeNumerically("<=", calls*1.1+DefaultBudgetParams().Burst))
		Expect(c.lastHopCalls).To(BeNumerically(">=", calls*1.09), "the budget should be used")
	},
	Entry("when services return the failure unchanged", true),
	Entry("when services respond with their own failure", false),
)
