package retry

import (
	"time"

	"teaselring/mesh"
	"teaselring/result"
)

// Policy holds the constants of the decision.
type Policy struct {
	MaxAttempts int           // of one call, with the first
	BackoffBase time.Duration // largest wait before the second attempt; doubles
	BackoffMax  time.Duration
	// MinRemaining is the least time that must be left for the next attempt
	// when nothing is known about the service.
	MinRemaining time.Duration
}

// DefaultPolicy returns the values used in production.
func DefaultPolicy() Policy {
	return Policy{
		MaxAttempts: 3, BackoffBase: 10 * time.Millisecond, BackoffMax: 250 * time.Millisecond,
		MinRemaining: 5 * time.Millisecond,
	}
}

// Attempt describes a failed attempt of a call.
type Attempt struct {
	Call         *mesh.Call
	Outcome      *mesh.Outcome
	Made         int           // attempts made, with this one
	RetriedBelow bool          // the answer carried Teasel-Retried
	RetriedAbove bool          // the caller's request carried Teasel-Retried
	Expected     time.Duration // of an answer of the service, 0 when unknown
	Account      mesh.CallerID // whose budget is charged
	Percent      int           // of that budget
	MaxAttempts  int           // of the call's route; 0: the policy's
}

// Verdict is the decision about an attempt.
type Verdict struct {
	Retry bool
	Wait  time.Duration // full jitter
	// Mark is set when the answer must carry Teasel-Retried, since a node above
	// must not decide about the same failure again.
	Mark bool
	Why  Reason
}

// Reason names what decided a verdict.
type Reason string

// Reasons.
const (
	WhyAllowed   Reason = "allowed"
	WhyAnswered  Reason = "the upstream answered"
	WhyUnsafe    Reason = "the call may have run and is not idempotent"
	WhyFutile    Reason = "another attempt can't help"
	WhyElsewhere Reason = "retries of the call are decided by another node"
	WhyAttempts  Reason = "the call has used its attempts"
	WhyDeadline  Reason = "too little time is left"
	WhyBudget    Reason = "the caller's retry budget is spent"
)

// Judge decides whether the attempt may be tried again. Draw is uniform in
// [0, 1). The budget is only looked at; Budgets.Spend charges it.
func (p *Policy) Judge(a *Attempt, budgets *Budgets, draw float64, now time.Time) Verdict {
	if why := permitted(a); why != WhyAllowed {
		return Verdict{Why: why, Mark: a.RetriedBelow}
	}
	// From here on the failure could be retried, and the decision is taken
	// here: whatever it is, nodes above must not take it again.
	wait := p.backoff(a.Made, draw)
	switch {
	case a.RetriedBelow || a.RetriedAbove:
		return Verdict{Mark: true, Why: WhyElsewhere}
	case a.Made >= p.maxAttempts(a):
		return Verdict{Mark: true, Why: WhyAttempts}
	case now.Add(wait + max(a.Expected, p.MinRemaining)).After(a.Call.Deadline):
		return Verdict{Mark: true, Why: WhyDeadline}
	case !budgets.Has(a.Account, a.Percent, now):
		return Verdict{Mark: true, Why: WhyBudget}
	}
	return Verdict{Retry: true, Wait: wait, Mark: true, Why: WhyAllowed}
}

func (p *Policy) maxAttempts(a *Attempt) int {
	if a.MaxAttempts > 0 {
		return a.MaxAttempts
	}
	return p.MaxAttempts
}

// permitted decides by what is known about the attempt alone. A complete
// answer of the upstream is final, whatever its status: it is the response to
// the request, and it may already stand for a failure further down.
func permitted(a *Attempt) Reason {
	o := a.Outcome
	if a.Call.Class == mesh.ClassOnce && a.Call.Key == "" {
		return WhyUnsafe
	}
	if o.Code == 0 {
		if o.Shed {
			return WhyAllowed
		}
		return WhyAnswered
	}
	code := result.ByNumber(o.Code)
	switch {
	case futile(code):
		return WhyFutile
	case code.Ran == result.NotRun && code.Retry == result.RetrySafe:
		return WhyAllowed
	case code.Ran == result.MayHaveRun && code.Retry == result.RetryIfIdempotent && a.Call.Idempotent():
		return WhyAllowed
	case code.Ran == result.MayHaveRun:
		return WhyUnsafe
	}
	return WhyFutile
}

// futile lists codes that prove "not run" but that another attempt from this
// node would meet again, or that end the call.
func futile(c *result.Code) bool {
	switch c {
	case result.NoEndpoint, result.NoConfiguration, result.CallerLimit, result.CallerGone, result.DeadlineBefore,
		result.DeadlineDuring, result.RetryBudgetSpent, result.KeyStoreDown, result.Stopped:
		return true
	}
	return false
}

// backoff draws the wait after the given number of attempts with full jitter.
func (p *Policy) backoff(made int, draw float64) time.Duration {
	span := p.BackoffMax
	if made >= 1 && made <= 16 {
		span = min(p.BackoffBase<<(made-1), p.BackoffMax)
	}
	return time.Duration(draw * float64(span))
}
