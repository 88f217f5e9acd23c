// Package retry decides whether a failed attempt may be retried, and keeps the
// budgets that bound the additional load of retries.
package retry

import (
	"math"
	"time"

	"teaselring/mesh"
)

// BudgetParams are the constants of the budgets.
type BudgetParams struct {
	// Burst is the number of retries that a new caller may make before its calls
	// have earned any. Tokens up to it don't decay.
	Burst float64
	// Reserve is the number of tokens that retries of little gain leave for others.
	Reserve float64
	// DecayTime is the time constant of the exponential decay of unused tokens,
	// so that only recent calls count.
	DecayTime time.Duration
	// MaxCallers bounds the callers with their own budget. All others share one.
	MaxCallers int
	// IdleTimeout is the time after which the budget of a caller without calls is removed.
	IdleTimeout time.Duration
}

// DefaultBudgetParams returns the values used in production.
func DefaultBudgetParams() BudgetParams {
	return BudgetParams{Burst: 3, DecayTime: 10 * time.Second, MaxCallers: 4096, IdleTimeout: 10 * time.Minute}
}

// DefaultRetryPercent is the retry percentage of a caller without a record.
const DefaultRetryPercent = 10

const (
	// earnedShare is the share of a platform's retry ratio that calls earn, and
	// decayTimeShare the decay time as a share of the platform's window. The retries
	// in a window are paid by tokens earned in it and by those kept from before:
	// 0.8 * (1 + 0.2) = 0.96 of the ratio.
	earnedShare    = 0.8
	decayTimeShare = 0.2
	// platformBurst is about half of what the known platforms allow each node
	// beyond the ratio (2.5 to 5.3).
	platformBurst = 1.5
	// platformReserve lets calls of little gain use a budget that is unused, so that a quiet
	// node still retries them.
	platformReserve = platformBurst - 1
)

// ForPlatform returns the budget parameters and the retry percentage for a platform
// that limits the ratio of retries to calls over all nodes together.
func ForPlatform(p BudgetParams, ratio float64, window time.Duration) (BudgetParams, int) {
	p.Burst = min(p.Burst, platformBurst)
	p.Reserve = min(platformReserve, max(p.Burst-1, 0))
	p.DecayTime = time.Duration(decayTimeShare * float64(window))
	return p, int(100 * earnedShare * ratio)
}

// Budgets holds one token bucket for each caller. A call adds a fraction of a token
// and a retry takes a whole one, so retries stay below the percentage of calls plus
// the burst. It is not safe for concurrent use.
type Budgets struct {
	params  BudgetParams
	buckets map[mesh.CallerID]*bucket
}

type bucket struct {
	tokens    float64
	updatedAt time.Time
}

// overflowCaller is the key of the shared bucket. Header values, and so caller ids,
// can't contain NUL.
const overflowCaller mesh.CallerID = "\x00"

// NewBudgets returns an empty set of budgets.
func NewBudgets(params BudgetParams) *Budgets {
	return &Budgets{params: params, buckets: map[mesh.CallerID]*bucket{}}
}

// Call adds the tokens that one call earns its caller.
func (b *Budgets) Call(id mesh.CallerID, percent int, now time.Time) {
	b.bucket(id, now).tokens += float64(percent) / 100
}

// CanRetry reports whether the caller's budget allows a retry now. With a
// percentage of 0 a caller has no budget, not even the burst.
func (b *Budgets) CanRetry(id mesh.CallerID, percent int, now time.Time) bool {
	return percent > 0 && b.bucket(id, now).tokens >= 1
}

// Spend charges a retry if the budget allows it, and reports whether it does.
func (b *Budgets) Spend(id mesh.CallerID, percent int, now time.Time) bool {
	if !b.CanRetry(id, percent, now) {
		return false
	}
	b.bucket(id, now).tokens--
	return true
}

// Refund returns the charge of a retry that was not made.
func (b *Budgets) Refund(id mesh.CallerID, now time.Time) { b.bucket(id, now).tokens++ }

// bucket returns the caller's bucket after decay. Only tokens beyond the burst
// decay, so that a caller with few calls keeps a few retries.
func (b *Budgets) bucket(id mesh.CallerID, now time.Time) *bucket {
	k := b.buckets[id]
	if k == nil {
		if len(b.buckets) >= b.params.MaxCallers {
			id = overflowCaller
			if k = b.buckets[id]; k != nil {
				return k.decay(now, &b.params)
			}
		}
		k = &bucket{tokens: b.params.Burst, updatedAt: now}
		b.buckets[id] = k
	}
	return k.decay(now, &b.params)
}

func (k *bucket) decay(now time.Time, p *BudgetParams) *bucket {
	if elapsed := now.Sub(k.updatedAt); elapsed > 0 {
		if excess := k.tokens - p.Burst; excess > 0 {
			k.tokens = p.Burst + excess*math.Exp(-float64(elapsed)/float64(p.DecayTime))
		}
		k.updatedAt = now
	}
	return k
}

// Expire removes the budgets of callers that have made no calls for IdleTimeout.
func (b *Budgets) Expire(now time.Time) {
	for id, k := range b.buckets {
		if now.Sub(k.updatedAt) >= b.params.IdleTimeout {
			delete(b.buckets, id)
		}
	}
}

// Len returns the number of budgets, with the shared one.
func (b *Budgets) Len() int { return len(b.buckets) }
