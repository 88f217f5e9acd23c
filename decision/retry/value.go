package retry

import (
	"time"

	"teaselring/mesh"
	"teaselring/result"
)

// Load pattern: servers refuse a share of all calls under load while some connections
// break. Retries of refused calls used up the budget, and calls that were lost, which
// nobody may repeat but this node, got none.

// gainsLittle reports whether a retry of the call is worth less than others: its caller can
// be told that it has not run and when to repeat it, or the response would miss the
// target. Urgent calls are always worth a retry.
func (a *Attempt) gainsLittle(wait time.Duration, now time.Time) bool {
	if a.Call.HasPriority && a.Call.Priority == 0 {
		return false
	}
	notRun := a.Outcome.Code == 0 || result.ByNumber(a.Outcome.Code).Ran == result.NotRun
	soft := a.Call.SoftDeadline
	return notRun || (!soft.IsZero() && now.Add(wait+a.ExpectedLatency).After(soft))
}

// covers reports whether the caller's budget allows a retry and leaves the reserve for
// calls that gain more, if this one gains little.
func (b *Budgets) covers(id mesh.CallerID, percent int, gainsLittle bool, now time.Time) bool {
	if !b.CanRetry(id, percent, now) {
		return false
	}
	return !gainsLittle || b.bucket(id, now).tokens >= 1+b.params.Reserve
}
