package retry

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/mesh"
	"teaselring/result"
)

// retried replays calls at an entry node with a platform's budget: servers refuse three in
// ten under load, and one in 50 is lost. It returns the shares that got a retry.
func retried(params BudgetParams, percent, perSecond int) (lost, refused float64) {
	budgets, policy, rnd := NewBudgets(params), DefaultPolicy(), rand.New(rand.NewPCG(1, 1))
	now := time.Unix(1000, 0)
	count, granted := map[*result.Code]float64{}, map[*result.Code]float64{}
	for range 200 * perSecond {
		now = now.Add(time.Duration(rnd.ExpFloat64() / float64(perSecond) * 1e9))
		budgets.Call("s", percent, now)
		var code *result.Code
		switch n := rnd.IntN(100); {
		case n < 2:
			code = result.ConnectionLost
		case n < 32:
			code = result.Shed
		default:
			continue
		}
		call := &mesh.Call{Class: mesh.ClassRead, Deadline: now.Add(time.Second), SoftDeadline: now.Add(500 * time.Millisecond)}
		a := &Attempt{Call: call, Outcome: &mesh.Outcome{Code: code.Number}, AttemptCount: 1, ChargedCaller: "s", RetryPercent: percent, ExpectedLatency: 100 * time.Millisecond}
		count[code]++
		if policy.Decide(a, budgets, 0, now).Retry && budgets.Spend("s", percent, now) {
			granted[code]++
		}
	}
	return granted[result.ConnectionLost] / count[result.ConnectionLost], granted[result.Shed] / count[result.Shed]
}

var _ = Describe("a budget that refused calls use up", func() {
	It("retries more of the calls that were lost", func() {
		params, percent := ForPlatform(DefaultBudgetParams(), 0.2, 10*time.Second)
		for _, perSecond := range []int{5, 50} {
			lost, refused := retried(params, percent, perSecond)
			params := params
			params.Reserve = 0
			lostBefore, refusedBefore := retried(params, percent, perSecond)
			GinkgoWriter.Printf("%d/s: lost %.2f -> %.2f, refused %.2f -> %.2f\n", perSecond, lostBefore, lost, refusedBefore, refused)
			Expect(lost).To(BeNumerically(">", lostBefore+0.1))
			Expect(refused).To(BeNumerically(">", refusedBefore-0.1))
		}
	})

	// A quiet node has no more than the burst.
	It("retries a refused call while it is unused, and urgent ones as long as it lasts", func() {
		params, percent := ForPlatform(DefaultBudgetParams(), 0.2, 10*time.Second)
		budgets, policy, now := NewBudgets(params), DefaultPolicy(), time.Unix(1000, 0)
		shed := func(call mesh.Call) DecisionReason {
			call.Class, call.Deadline = mesh.ClassRead, now.Add(time.Second)
			return policy.Decide(&Attempt{Call: &call, Outcome: &mesh.Outcome{Code: result.Shed.Number}, AttemptCount: 1, ChargedCaller: "s", RetryPercent: percent}, budgets, 0, now).Reason
		}
		Expect(shed(mesh.Call{})).To(Equal(ReasonAllowed))
		budgets.bucket("s", now).tokens = 1.2
		Expect(shed(mesh.Call{})).To(Equal(ReasonBudget))
		Expect(shed(mesh.Call{HasPriority: true})).To(Equal(ReasonAllowed))
	})
})
