package callrouter

import (
	"context"
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

// expiry is the time between two sweeps of idle retry budgets.
const expiry = time.Minute

type dutyIn struct {
	fx.In
	Settings *Settings
	Picks    *port.PickRing
	Outcomes *port.OutcomeRing
	Retries  *port.RetryRing
	View     *port.ViewCell
	Snapshot *port.SnapshotCell
	Splits   *port.SplitsCell `optional:"true"`
	Samples  *port.SampleRing `optional:"true"`
	Site     *port.Site       `optional:"true"`
	Metrics  metrics.Registry
}

// duty owns what the entry node knows about endpoints and callers.
type duty struct {
	in      dutyIn
	rnd     *rand.Rand
	seed    uint64 // of draws derived from calls
	router  *routing.Router
	callers *limit.CallerLimits
	budgets *retry.Budgets
	percent int // of the calls to a service that the node may repeat, without records of callers
	policy  retry.Policy

	picked, refused, retried, denied metrics.Counter
}

func newDuty(in dutyIn) kernel.Duty {
	params, percent := in.Settings.budgets(), retry.DefaultPercent
	if in.Site != nil {
		params, percent = retry.ForPlatform(params, in.Site.RetryRatio, in.Site.RetryWindow)
	}
	d := &duty{
		in: in, percent: percent, rnd: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), seed: rand.Uint64(),
		router:  routing.New(in.Settings.routing()),
		callers: limit.NewCallerLimits(in.Settings.callers()),
		budgets: retry.NewBudgets(params),
		policy:  in.Settings.policy(),
		picked:  metrics.NewRegisteredCounter("router.picked", in.Metrics),
		refused: metrics.NewRegisteredCounter("router.refused", in.Metrics),
		retried: metrics.NewRegisteredCounter("router.retries_allowed", in.Metrics),
		denied:  metrics.NewRegisteredCounter("router.retries_denied", in.Metrics),
	}
	return kernel.Duty{
		Name: "router", Owns: "in-flight counts, endpoint statistics, caller limits, retry budgets",
		In: []string{pickRing, outcomeRing, retryRing}, Out: []string{sampleRing},
		Run: d.run,
	}
}

func (d *duty) run(ctx context.Context) error {
	sweep := time.NewTicker(expiry)
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case ask := <-d.in.Picks.C():
			d.pick(ask, time.Now())
		case f := <-d.in.Outcomes.C():
			d.finish(ctx, &f, time.Now())
		case ask := <-d.in.Retries.C():
			d.judge(ask, time.Now())
		case now := <-sweep.C:
			d.budgets.Expire(now)
		}
	}
}

// pick answers with an endpoint. Whatever it reserved is returned when the
// choice fails or the asker has left.
func (d *duty) pick(ask kernel.Ask[port.Pick, mesh.Target], now time.Time) {
	if ask.Closed() {
		return
	}
	q := &ask.Query
	if err := d.reserve(q, now); err != nil {
		d.refused.Inc(1)
		ask.Fail(err)
		return
	}
	target, err := d.choose(q, now)
	if err != nil {
		d.refused.Inc(1)
		d.unreserve(q, now)
		ask.Fail(err)
		return
	}
	d.router.Begin(target, now)
	if !ask.Answer(target) {
		d.router.Cancel(target)
		d.unreserve(q, now)
		return
	}
	d.picked.Inc(1)
}

// reserve takes the caller's place for a first attempt and charges the budget
// for a retry.
func (d *duty) reserve(q *port.Pick, now time.Time) error {
	if !q.Call.Deadline.After(now) {
		return result.DeadlineBefore.Err()
	}
	id := q.Call.Caller
	c := d.caller(&q.Call)
	if q.First {
		if err := d.callers.Acquire(id, c.inFlight); err != nil {
			return err
		}
		d.budgets.Call(c.account, c.percent, now)
	}
	if q.Retried && !d.budgets.Spend(c.account, c.percent, now) {
		if q.First {
			d.callers.Release(id)
		}
		return result.RetryBudgetSpent.Errorf("the retry budget of caller %q is spent", id)
	}
	return nil
}

func (d *duty) unreserve(q *port.Pick, now time.Time) {
	if q.Retried {
		d.budgets.Refund(d.caller(&q.Call).account, now)
	}
	if q.First {
		d.callers.Release(q.Call.Caller)
	}
}

// caller holds the limits of a calling service.
type caller struct {
	inFlight int           // 0: no record
	account  mesh.CallerID // whose retry budget is charged
	percent  int
}

// caller returns the limits of the caller's record. Callers without a record
// share one retry budget, so that new names do not bring new retries.
func (d *duty) caller(call *mesh.Call) caller {
	if snapshot := d.in.Snapshot.Load(); snapshot != nil {
		if snapshot.RetryByService {
			return caller{account: mesh.CallerID(call.Service), percent: d.percent}
		}
		if record, declared := snapshot.Callers[call.Caller]; declared {
			return caller{record.InFlight, call.Caller, record.RetryPercent}
		}
	}
	return caller{account: "", percent: retry.DefaultPercent}
}

func (d *duty) choose(q *port.Pick, now time.Time) (mesh.Target, error) {
	d.router.Observe(d.in.View.Load())
	var splits *mesh.Splits
	if d.in.Splits != nil {
		if splits = d.in.Splits.Load(); splits == nil {
			return mesh.Target{}, result.NoConfiguration.Errorf("the moves in progress are not known yet")
		}
	}
	query := &routing.Query{Call: &q.Call, Tried: q.Tried, Draw: routing.CallDraw(d.seed, &q.Call)}
	return d.router.Pick(query, splits, d.rnd, now)
}

func (d *duty) finish(ctx context.Context, f *port.Finished, now time.Time) {
	if !f.NoAttempt {
		d.router.End(f.Outcome, now)
		if d.in.Samples != nil {
			_ = d.in.Samples.Send(ctx, f.Outcome) // replaces the oldest, never fails
		}
	}
	if f.CallEnded {
		d.callers.Release(f.Outcome.Caller)
	}
}

func (d *duty) judge(ask kernel.Ask[port.MayRetry, port.RetryVerdict], now time.Time) {
	q := &ask.Query
	c := d.caller(&q.Call)
	v := d.policy.Judge(&retry.Attempt{
		Call: &q.Call, Outcome: &q.Outcome, Made: q.Attempts,
		RetriedBelow: q.RetriedBelow, RetriedAbove: q.RetriedAbove,
		Expected: d.router.Expected(q.Call.Service), Account: c.account, Percent: c.percent,
		MaxAttempts: q.MaxAttempts,
	}, d.budgets, d.rnd.Float64(), now)
	if v.Retry {
		d.retried.Inc(1)
	} else {
		d.denied.Inc(1)
	}
	ask.Answer(port.RetryVerdict{Retry: v.Retry, Wait: v.Wait, Mark: v.Mark, Why: string(v.Why)})
}
