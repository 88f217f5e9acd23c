package retry

import (
	"time"

	"teaselring/mesh"
	"teaselring/result"
)

// Policy holds the parameters of the retry decision.
type Policy struct {
	MaxAttempts int           // of one call, including the first
	BackoffBase time.Duration // maximum wait before the second attempt; doubles with each attempt
	BackoffMax  time.Duration
	// MinRemaining is the minimum time that must be left for the next attempt,
	// also when the expected latency is shorter or unknown.
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
	Call            *mesh.Call
	Outcome         *mesh.Outcome
	AttemptCount    int           // attempts made, including this one
	ResponseRetried bool          // the response carried Teasel-Retried
	RequestRetried  bool          // the caller's request carried Teasel-Retried
	ExpectedLatency time.Duration // of a call to the service, 0 when unknown
	ChargedCaller   mesh.CallerID // the caller whose budget is charged
	RetryPercent    int           // of this budget
	MaxAttempts     int           // of the call's route; 0: that of the policy
}

// Decision is the retry decision about a failed attempt.
type Decision struct {
	Retry bool
	Wait  time.Duration // backoff with full jitter
	// MarkRetried is set when the response must carry Teasel-Retried, so that no node
	// closer to the caller decides about the same failure again.
	MarkRetried bool
	Reason      DecisionReason
}

// DecisionReason is the reason for a decision.
type DecisionReason string

// Reasons.
const (
	ReasonAllowed          DecisionReason = "allowed"
	ReasonAnswered         DecisionReason = "the upstream answered"
	ReasonNotIdempotent    DecisionReason = "the call may have run and is not idempotent"
	ReasonNotRetryable     DecisionReason = "another attempt can't help"
	ReasonDecidedElsewhere DecisionReason = "retries of the call are decided by another node"
	ReasonMaxAttempts      DecisionReason = "the call has used its attempts"
	ReasonDeadline         DecisionReason = "too little time is left"
	ReasonBudget           DecisionReason = "the caller's retry budget is spent"
)

// Decide returns whether the attempt may be retried. Draw is a uniform random
// number in [0, 1). Decide only checks the budget; Budgets.Spend charges it.
func (p *Policy) Decide(a *Attempt, budgets *Budgets, draw float64, now time.Time) Decision {
	if reason := checkOutcome(a); reason != ReasonAllowed {
		return Decision{Reason: reason, MarkRetried: a.ResponseRetried}
	}
	// The failure is retryable, so the decision is made here. Whatever it is, nodes
	// closer to the caller must not decide again.
	wait := p.backoff(a.AttemptCount, draw)
	switch {
	case a.ResponseRetried || a.RequestRetried:
		return Decision{MarkRetried: true, Reason: ReasonDecidedElsewhere}
	case a.AttemptCount >= p.maxAttempts(a):
		return Decision{MarkRetried: true, Reason: ReasonMaxAttempts}
	case now.Add(wait + max(a.ExpectedLatency, p.MinRemaining)).After(a.Call.Deadline):
		return Decision{MarkRetried: true, Reason: ReasonDeadline}
	case !budgets.covers(a.ChargedCaller, a.RetryPercent, a.gainsLittle(wait, now), now):
		return Decision{MarkRetried: true, Reason: ReasonBudget}
	}
	return Decision{Retry: true, Wait: wait, MarkRetried: true, Reason: ReasonAllowed}
}

func (p *Policy) maxAttempts(a *Attempt) int {
	if a.MaxAttempts > 0 {
		return a.MaxAttempts
	}
	return p.MaxAttempts
}

// checkOutcome decides by the attempt's outcome alone. A complete response of the
// upstream is final, whatever its status, and may already report a failure further
// along the call chain.
func checkOutcome(a *Attempt) DecisionReason {
	o := a.Outcome
	if a.Call.Class == mesh.ClassOnce && a.Call.Key == "" {
		return ReasonNotIdempotent
	}
	if o.Code == 0 {
		if o.Shed {
			return ReasonAllowed
		}
		return ReasonAnswered
	}
	code := result.ByNumber(o.Code)
	switch {
	case notRetryable(code):
		return ReasonNotRetryable
	case code.Ran == result.NotRun && code.Retry == result.RetrySafe:
		return ReasonAllowed
	case code.Ran == result.MayHaveRun && code.Retry == result.RetryIfIdempotent && a.Call.Idempotent():
		return ReasonAllowed
	case code.Ran == result.MayHaveRun:
		return ReasonNotIdempotent
	}
	return ReasonNotRetryable
}

// notRetryable reports whether a code ends the call, or proves "not run" but would
// recur on another attempt from this node.
func notRetryable(c *result.Code) bool {
	switch c {
	case result.NoEndpoint, result.NoConfiguration, result.CallerLimit, result.CallerGone, result.DeadlineBefore,
		result.DeadlineDuring, result.RetryBudgetSpent, result.KeyStoreDown, result.Stopped:
		return true
	}
	return false
}

// backoff returns the wait after a number of attempts, with full jitter.
func (p *Policy) backoff(attempts int, draw float64) time.Duration {
	ceiling := p.BackoffMax
	if attempts >= 1 && attempts <= 16 {
		ceiling = min(p.BackoffBase<<(attempts-1), p.BackoffMax)
	}
	return time.Duration(draw * float64(ceiling))
}
