package callrouter

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/fx"

	"teaselring/decision/limit"
	"teaselring/decision/retry"
	"teaselring/decision/routing"
	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/result"
)

// budgetSweepInterval is the interval at which idle retry budgets are removed.
const budgetSweepInterval = time.Minute

type dutyIn struct {
	fx.In
	Settings         *Settings
	Picks            *port.PickRing
	Outcomes         *port.OutcomeRing
	Retries          *port.RetryRing
	View             *port.ViewCell
	Snapshot         *port.SnapshotCell
	Splits           *port.SplitsCell       `optional:"true"`
	Samples          *port.SampleRing       `optional:"true"`
	PlatformSettings *port.PlatformSettings `optional:"true"`
	Evacuations      *port.EvacuationsCell  `optional:"true"`
	Metrics          metrics.Registry
}

// duty owns the entry node's state of endpoints and callers.
type duty struct {
	in           dutyIn
	rnd          *rand.Rand
	seed         uint64 // of the draws derived from calls
	router       *routing.Router
	callers      *limit.CallerLimits
	budgets      *retry.Budgets
	retryPercent int // retry budget of a service in percent of its calls; used where budgets are per service
	policy       retry.Policy

	picked, spilled, refused, retriesAllowed, retriesDenied metrics.Counter
	refusedFull                                             metrics.Counter // no slot in time
}

func newDuty(in dutyIn) kernel.Duty {
	params, retryPercent := in.Settings.budgets(), retry.DefaultRetryPercent
	if in.PlatformSettings != nil {
		params, retryPercent = retry.ForPlatform(params, in.PlatformSettings.RetryRatio, in.PlatformSettings.RetryWindow)
	}
	d := &duty{
		in: in, retryPercent: retryPercent, rnd: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), seed: rand.Uint64(),
		router:         routing.New(in.Settings.routing()),
		callers:        limit.NewCallerLimits(in.Settings.callers()),
		budgets:        retry.NewBudgets(params),
		policy:         in.Settings.policy(),
		picked:         metrics.NewRegisteredCounter("router.picked", in.Metrics),
		spilled:        metrics.NewRegisteredCounter("router.left_zone", in.Metrics),
		refusedFull:    metrics.NewRegisteredCounter("router.refused_full", in.Metrics),
		refused:        metrics.NewRegisteredCounter("router.refused", in.Metrics),
		retriesAllowed: metrics.NewRegisteredCounter("router.retries_allowed", in.Metrics),
		retriesDenied:  metrics.NewRegisteredCounter("router.retries_denied", in.Metrics),
	}
	return kernel.Duty{
		Name: "router", Owns: "in-flight counts, endpoint statistics, caller limits, retry budgets",
		In: []string{pickRing, outcomeRing, retryRing}, Out: []string{sampleRing},
		Run: d.run,
	}
}

func (d *duty) run(ctx context.Context) error {
	sweep := time.NewTicker(budgetSweepInterval)
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case request := <-d.in.Picks.C():
			d.pick(request, time.Now())
		case finished := <-d.in.Outcomes.C():
			d.finish(ctx, &finished, time.Now())
		case request := <-d.in.Retries.C():
			d.decideRetry(request, time.Now())
		case now := <-sweep.C:
			d.budgets.Expire(now)
		}
	}
}

// pick responds with an endpoint. When the choice fails or the request is
// cancelled, it undoes its reservations.
func (d *duty) pick(request kernel.Request[port.Pick, mesh.Target], now time.Time) {
	if request.Closed() {
		return
	}
	q := &request.Payload
	if err := d.reserve(q, now); err != nil {
		d.refused.Inc(1)
		request.Fail(err)
		return
	}
	target, err := d.choose(q, now)
	if err != nil {
		d.countRefusal(err)
		d.unreserve(q, now)
		request.Fail(err)
		return
	}
	d.router.Begin(target, now)
	if !request.Respond(target) {
		d.router.Cancel(target)
		d.unreserve(q, now)
		return
	}
	d.picked.Inc(1)
	if target.Spillover {
		d.spilled.Inc(1)
	}
}

// countRefusal counts a call without an endpoint, and the owner nodes passed over by
// reason.
func (d *duty) countRefusal(err error) {
	d.refused.Inc(1)
	var refusal *routing.Refusal
	if !errors.As(err, &refusal) {
		return
	}
	if result.Of(err) == result.QueueFull {
		d.refusedFull.Inc(1)
	}
	for _, c := range refusal.Passed.ByReason() {
		if c.Count > 0 {
			metrics.GetOrRegisterCounter("router.passed_over."+c.Reason, d.in.Metrics).Inc(int64(c.Count))
		}
	}
}

// reserve counts a first attempt against the caller's limit of calls in flight
// and charges the retry budget for a retry.
func (d *duty) reserve(q *port.Pick, now time.Time) error {
	if !q.Call.Deadline.After(now) {
		return result.DeadlineBefore.Err()
	}
	id := q.Call.Caller
	limits := d.callerLimits(&q.Call)
	if q.FirstAttempt {
		if err := d.callers.Acquire(id, limits.maxInFlight); err != nil {
			return err
		}
		d.budgets.Call(limits.chargedCaller, limits.retryPercent, now)
	}
	if q.Retried && !d.budgets.Spend(limits.chargedCaller, limits.retryPercent, now) {
		if q.FirstAttempt {
			d.callers.Release(id)
		}
		return result.RetryBudgetSpent.Errorf("the retry budget of caller %q is spent", id)
	}
	return nil
}

func (d *duty) unreserve(q *port.Pick, now time.Time) {
	if q.Retried {
		d.budgets.Refund(d.callerLimits(&q.Call).chargedCaller, now)
	}
	if q.FirstAttempt {
		d.callers.Release(q.Call.Caller)
	}
}

// callerLimits are the limits of a calling service.
type callerLimits struct {
	maxInFlight   int           // 0: the caller has no record
	chargedCaller mesh.CallerID // whose retry budget is charged
	retryPercent  int
}

// callerLimits returns the limits in the caller's record. Callers without a record
// share one retry budget, so that a new caller name gains no extra retries.
func (d *duty) callerLimits(call *mesh.Call) callerLimits {
	if snapshot := d.in.Snapshot.Load(); snapshot != nil {
		if snapshot.RetryByService {
			return callerLimits{chargedCaller: mesh.CallerID(call.Service), retryPercent: d.retryPercent}
		}
		if record, declared := snapshot.Callers[call.Caller]; declared {
			return callerLimits{record.InFlight, call.Caller, record.RetryPercent}
		}
	}
	return callerLimits{chargedCaller: "", retryPercent: retry.DefaultRetryPercent}
}

func (d *duty) choose(q *port.Pick, now time.Time) (mesh.Target, error) {
	d.router.SetView(d.in.View.Load())
	var splits *mesh.Splits
	if d.in.Splits != nil {
		if splits = d.in.Splits.Load(); splits == nil {
			return mesh.Target{}, result.NoConfiguration.Errorf("the moves in progress are not loaded yet")
		}
	}
	query := &routing.Query{Call: &q.Call, Tried: q.Tried, Refusals: q.Refusals, Draw: routing.CallDraw(d.seed, &q.Call)}
	if d.in.Evacuations != nil {
		if evacuations := d.in.Evacuations.Load(); evacuations != nil {
			query.Evacuated = evacuations.Zones
		}
	}
	return d.router.Pick(query, splits, d.rnd, now)
}

func (d *duty) finish(ctx context.Context, finished *port.OutcomeReport, now time.Time) {
	if !finished.NoAttempt {
		d.router.End(finished.Outcome, now)
		if d.in.Samples != nil {
			_ = d.in.Samples.Send(ctx, finished.Outcome) // replaces the oldest, never fails
		}
	}
	if finished.CallEnded {
		d.callers.Release(finished.Outcome.Caller)
	}
}

func (d *duty) decideRetry(request kernel.Request[port.RetryRequest, port.RetryDecision], now time.Time) {
	q := &request.Payload
	limits := d.callerLimits(&q.Call)
	verdict := d.policy.Decide(&retry.Attempt{
		Call: &q.Call, Outcome: &q.Outcome, AttemptCount: q.Attempts,
		ResponseRetried: q.ResponseRetried, RequestRetried: q.RequestRetried,
		ExpectedLatency: d.router.ExpectedLatency(q.Call.Service), ChargedCaller: limits.chargedCaller, RetryPercent: limits.retryPercent,
		MaxAttempts: q.MaxAttempts,
	}, d.budgets, d.rnd.Float64(), now)
	decision := port.RetryDecision{Retry: verdict.Retry, Wait: verdict.Wait, MarkRetried: verdict.MarkRetried, Reason: string(verdict.Reason)}
	if verdict.Retry {
		d.retriesAllowed.Inc(1)
	} else {
		d.retriesDenied.Inc(1)
		if result.ByNumber(q.Outcome.Code).Ran == result.NotRun {
			decision.RetryAfter = d.router.ReturnTime(&q.Call, &q.Outcome, d.rnd, now)
		}
	}
	request.Respond(decision)
}
