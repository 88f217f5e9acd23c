package callrouter

import (
	"context"
	"math/rand/v2"
	"time"

	"teaselring/decision/limit"
	"teaselring/decision/retry"
	"teaselring/decision/routing"
	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/result"
)

// router owns in-flight counts, endpoint statistics, caller limits and budgets.
type router struct {
	in      dutyIn
	route   *routing.Router
	callers *limit.CallerLimits
	budgets *retry.Budgets
	policy  retry.Policy
	random  *rand.Rand
	seed    uint64
}

const (
	callCapacity  = 4096 // calls in flight on one entry node
	callerDefault = 1024 // of one caller without a record
)

func newDuty(in dutyIn) kernel.Duty {
	r := &router{
		in:      in,
		route:   routing.New(routing.DefaultParams()),
		callers: limit.NewCallerLimits(limit.CallerParams{Capacity: callCapacity, Default: callerDefault}),
		budgets: retry.NewBudgets(retry.DefaultBudgetParams()),
		policy:  retry.DefaultPolicy(),
		random:  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		seed:    rand.Uint64(),
	}
	return kernel.Duty{
		Name: "router", Owns: "in-flight counts, endpoint statistics, caller limits, retry budgets",
		In: []string{"router.picks", "router.outcomes", "router.retries"}, Out: []string{"guard.samples"},
		Run: r.run,
	}
}

func (r *router) run(ctx context.Context) error {
	sweep := time.NewTicker(time.Minute)
	defer sweep.Stop()
	for {
		select {
		case ask := <-r.in.Picks.C():
			r.pick(ask)
		case f := <-r.in.Outcomes.C():
			r.finish(ctx, f)
		case ask := <-r.in.Retries.C():
			r.retry(ask)
		case now := <-sweep.C:
			r.budgets.Expire(now)
		case <-ctx.Done():
			return nil
		}
	}
}

func (r *router) pick(ask kernel.Ask[port.Pick, mesh.Target]) {
	q := ask.Query
	now := time.Now()
	if err := r.admit(&q, now); err != nil {
		ask.Fail(err)
		return
	}
	target, err := r.choose(&q, now)
	if err != nil {
		r.undo(&q, now)
		ask.Fail(err)
		return
	}
	r.route.Begin(target, now)
	if !ask.Answer(target) {
		r.route.Cancel(target)
		r.undo(&q, now)
	}
}

func (r *router) admit(q *port.Pick, now time.Time) error {
	if q.Retried {
		if !r.budgets.Spend(q.Call.Caller, now) {
			return result.RetryBudgetSpent.Err()
		}
		return nil
	}
	declared, percent := r.callerRecord(q.Call.Caller)
	if err := r.callers.Acquire(q.Call.Caller, declared); err != nil {
		return err
	}
	r.budgets.Call(q.Call.Caller, percent, now)
	return nil
}

func (r *router) undo(q *port.Pick, now time.Time) {
	if q.Retried {
		r.budgets.Refund(q.Call.Caller, now)
		return
	}
	r.callers.Release(q.Call.Caller)
}

func (r *router) callerRecord(id mesh.CallerID) (inFlight, percent int) {
	if s := r.in.Snapshot.Load(); s != nil {
		if record, ok := s.Callers[id]; ok {
			return record.InFlight, record.RetryPercent
		}
	}
	return 0, retry.DefaultPercent
}

func (r *router) choose(q *port.Pick, now time.Time) (mesh.Target, error) {
	view := r.in.View.Load()
	if view == nil {
		return mesh.Target{}, result.NoEndpoint.Err()
	}
	r.route.Observe(view)
	var splits *mesh.Splits
	if r.in.Splits != nil {
		if splits = r.in.Splits.Load(); splits == nil {
			return mesh.Target{}, result.NoConfiguration.Errorf("the moves in progress are not known yet")
		}
	}
	draw := q.Draw
	if draw == 0 {
		draw = routing.CallDraw(r.seed, &q.Call)
	}
	return r.route.Pick(&routing.Query{Call: &q.Call, Tried: q.Tried, Draw: draw}, splits, r.random, now)
}

func (r *router) finish(ctx context.Context, f port.Finished) {
	if !f.NoAttempt {
		r.route.End(f.Outcome, time.Now())
		if r.in.Samples != nil {
			_ = r.in.Samples.Send(ctx, f.Outcome)
		}
	}
	if f.CallEnded {
		r.callers.Release(f.Outcome.Caller)
	}
}

func (r *router) retry(ask kernel.Ask[port.MayRetry, port.RetryVerdict]) {
	q := ask.Query
	v := r.policy.Judge(&retry.Attempt{
		Call: &q.Call, Outcome: &q.Outcome, Made: q.Attempts,
		RetriedBelow: q.RetriedBelow, RetriedAbove: q.RetriedAbove,
		Expected: r.route.Expected(q.Call.Service),
	}, r.budgets, r.random.Float64(), time.Now())
	ask.Answer(port.RetryVerdict{Retry: v.Retry, Wait: v.Wait, Mark: v.Mark, Why: string(v.Why)})
}
