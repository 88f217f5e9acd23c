// Package retry decides whether a failed attempt may be tried again, and keeps
// the budgets that bound the extra load of retries.
package retry

import (
	"math"
	"time"

	"teaselring/mesh"
)

// BudgetParams are the constants of the budgets.
type BudgetParams struct {
	// Burst is the number of retries that a caller may make before its calls
	// have earned any.
	Burst float64
	// Window is the time in which unused tokens lose most of their worth, so
	// that they stand for recent calls.
	Window time.Duration
	// MaxCallers bounds the callers with a budget of their own. Others share one.
	MaxCallers int
	// Idle is the time after which the budget of a silent caller is dropped.
	Idle time.Duration
}

// DefaultBudgetParams returns the values used in production.
func DefaultBudgetParams() BudgetParams {
	return BudgetParams{Burst: 3, Window: 10 * time.Second, MaxCallers: 4096, Idle: 10 * time.Minute}
}

// DefaultPercent is the share of retries of a caller without a record.
const DefaultPercent = 10

const (
	// shareEarned is the part of a platform's ratio of repeats that calls earn, and
	// keepPart the part of its window for which what they earned is kept. A window
	// sees what is earned in it and what was kept before: 0.8 * (1 + 0.2) = 0.96 of
	// the ratio.
	shareEarned = 0.8
	keepPart    = 0.2
	// platformBurst is half of what the platforms known allow each node beyond
	// the ratio (2.5 to 5.3).
	platformBurst = 1.5
)

// ForPlatform returns the constants of budgets and the percentage that calls
// earn, where a platform bounds the repeats of all nodes together.
func ForPlatform(p BudgetParams, ratio float64, window time.Duration) (BudgetParams, int) {
	p.Burst = min(p.Burst, platformBurst)
	p.Window = time.Duration(keepPart * float64(window))
	return p, int(100 * shareEarned * ratio)
}

// Budgets holds one token bucket for each caller. A call earns a part of a
// token and a retry costs a whole one, so retries stay below the percentage of
// calls plus the burst. It is not safe for concurrent use.
type Budgets struct {
	params  BudgetParams
	buckets map[mesh.CallerID]*bucket
}

type bucket struct {
	tokens float64
	at     time.Time // of the last change
}

// overflow is the key of the shared bucket. Header values can't contain NUL.
const overflow mesh.CallerID = "\x00"

// NewBudgets returns budgets without callers.
func NewBudgets(params BudgetParams) *Budgets {
	return &Budgets{params: params, buckets: map[mesh.CallerID]*bucket{}}
}

// Call earns the caller its share of a retry.
func (b *Budgets) Call(id mesh.CallerID, percent int, now time.Time) {
	b.bucket(id, now).tokens += float64(percent) / 100
}

// Has reports whether the caller's budget allows a retry now. A caller with a
// percentage of 0 has none, not even the burst.
func (b *Budgets) Has(id mesh.CallerID, percent int, now time.Time) bool {
	return percent > 0 && b.bucket(id, now).tokens >= 1
}

// Spend charges a retry and reports whether the budget allowed it.
func (b *Budgets) Spend(id mesh.CallerID, percent int, now time.Time) bool {
	if !b.Has(id, percent, now) {
		return false
	}
	b.bucket(id, now).tokens--
	return true
}

// Refund returns the charge of a retry that was not made.
func (b *Budgets) Refund(id mesh.CallerID, now time.Time) { b.bucket(id, now).tokens++ }

// bucket returns the caller's bucket with its tokens aged. Only what exceeds
// the burst ages, so that a quiet caller keeps a few retries.
func (b *Budgets) bucket(id mesh.CallerID, now time.Time) *bucket {
	k := b.buckets[id]
	if k == nil {
		if len(b.buckets) >= b.params.MaxCallers {
			id = overflow
			if k = b.buckets[id]; k != nil {
				return k.age(now, &b.params)
			}
		}
		k = &bucket{tokens: b.params.Burst, at: now}
		b.buckets[id] = k
	}
	return k.age(now, &b.params)
}

func (k *bucket) age(now time.Time, p *BudgetParams) *bucket {
	if passed := now.Sub(k.at); passed > 0 {
		if extra := k.tokens - p.Burst; extra > 0 {
			k.tokens = p.Burst + extra*math.Exp(-float64(passed)/float64(p.Window))
		}
		k.at = now
	}
	return k
}

// Expire drops the budgets of callers that have been silent.
func (b *Budgets) Expire(now time.Time) {
	for id, k := range b.buckets {
		if now.Sub(k.at) >= b.params.Idle {
			delete(b.buckets, id)
		}
	}
}

// Len returns the number of callers with a budget.
func (b *Budgets) Len() int { return len(b.buckets) }
