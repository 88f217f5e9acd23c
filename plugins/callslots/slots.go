package callslots

import (
	"context"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/fx"

	"teaselring/decision/limit"
	"teaselring/decision/quarantine"
	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/result"
)

// pollLocal is the time between two looks at the state of the local upstream
// while no call arrives.
const pollLocal = 100 * time.Millisecond

type dutyIn struct {
	fx.In
	Settings *Settings
	Admits   *port.AdmitRing
	Releases *port.ReleaseRing
	Settles  *port.SettleRing
	Crashes  *port.CrashInbox
	Local    *port.LocalCell
	View     *port.ViewCell
	Snapshot *port.SnapshotCell
	Load     *port.LoadCell
	Site     *port.Site      `optional:"true"`
	Pushes   *port.PushRing  `optional:"true"`
	Audit    *port.AuditRing `optional:"true"`
	Metrics  metrics.Registry
	Logger   *log.Logger
}

// duty owns the slots and queue of the local upstream, the attempt table and
// the quarantine.
type duty struct {
	in         dutyIn
	slots      *limit.Slots
	attempts   *limit.Attempts
	quarantine *quarantine.Table
	open       map[mesh.AttemptID]*attempt // waiting or running
	upstream   upstream
	self       self

	started, refused, settled metrics.Counter
}

// attempt is one that waits in the queue or runs.
type attempt struct {
	ask     kernel.Ask[port.Admit, port.Admitted]
	process string // that runs it, empty while it waits
}

func newDuty(in dutyIn) kernel.Duty {
	d := &duty{
		in:         in,
		slots:      limit.NewSlots(in.Settings.slots()),
		attempts:   limit.NewAttempts(limit.MaxAttempts),
		quarantine: quarantine.New(in.Settings.quarantine()),
		open:       map[mesh.AttemptID]*attempt{},
		started:    metrics.NewRegisteredCounter("slots.started", in.Metrics),
		refused:    metrics.NewRegisteredCounter("slots.refused", in.Metrics),
		settled:    metrics.NewRegisteredCounter("slots.fenced", in.Metrics),
	}
	return kernel.Duty{
		Name: "slots", Owns: "slots and queue of the local upstream, attempt table, quarantine",
		In: []string{admitRing, releaseRing, settleRing, crashRing}, Out: []string{pushRing, auditRing},
		Run: d.run,
	}
}

// run handles one event at a time. One timer drives the deadlines of waiters
// and the look at the local upstream.
func (d *duty) run(ctx context.Context) error {
	timer := time.NewTimer(pollLocal)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case ask := <-d.in.Admits.C():
			d.observe(ctx, time.Now())
			d.admit(ask, time.Now())
		case r := <-d.in.Releases.C():
			d.release(&r, time.Now())
		case ask := <-d.in.Settles.C():
			d.settle(ask, time.Now())
		case c := <-d.in.Crashes.C():
			d.record(ctx, &c, time.Now())
		case now := <-timer.C:
			d.observe(ctx, now)
		}
		d.dispatch(time.Now())
		timer.Reset(d.nextWake(time.Now()))
	}
}

func (d *duty) nextWake(now time.Time) time.Duration {
	next := pollLocal
	if deadline, waiting := d.slots.NextDeadline(); waiting {
		next = min(next, max(0, deadline.Sub(now)))
	}
	return next
}

// admit enters an attempt. The attempt table is asked first: an attempt that
// began before must never be answered with a code that says "not run".
func (d *duty) admit(ask kernel.Ask[port.Admit, port.Admitted], now time.Time) {
	if ask.Closed() {
		return
	}
	q := &ask.Query
	if !d.self.is(d.in.View.Load(), q.Incarnation) {
		d.refuse(ask, result.WrongIncarnation.Err())
		return
	}
	if err := d.attempts.Admit(q.Attempt, q.Call.Deadline, now); err != nil {
		d.refuse(ask, err)
		return
	}
	err := d.upstream.accepts(q)
	if err == nil && q.Call.Fingerprint != 0 && d.quarantine.Blocked(q.Call.Service, q.Call.Fingerprint, now) {
		err = result.Quarantined.Err()
	}
	if err == nil {
		err = d.enqueue(q, now)
	}
	if err != nil {
		d.attempts.Fence(q.Attempt)
		d.refuse(ask, err)
		return
	}
	d.open[q.Attempt] = &attempt{ask: ask}
}

func (d *duty) refuse(ask kernel.Ask[port.Admit, port.Admitted], err error) {
	d.refused.Inc(1)
	ask.Fail(err)
}

// enqueue puts the attempt into the queue. When there is no place it first
// drops the waiters whose askers have left.
func (d *duty) enqueue(q *port.Admit, now time.Time) error {
	request := limit.Request{
		Attempt: q.Attempt, Class: q.Call.Class, Deadline: q.Call.Deadline, StartBy: q.Call.StartBy,
		Aim:      q.Call.Aim,
		Priority: q.Call.Priority, Ranked: q.Call.Ranked,
	}
	evicted, err := d.slots.Enqueue(request, now)
	if err != nil && d.prune() {
		evicted, err = d.slots.Enqueue(request, now)
	}
	if evicted != nil {
		d.drop(evicted.Attempt, evicted.Err)
	}
	return err
}

func (d *duty) prune() bool {
	left := d.slots.Prune(func(id mesh.AttemptID) bool { return d.open[id].ask.Closed() })
	for _, id := range left {
		d.drop(id, result.CallerGone.Err())
	}
	return len(left) > 0
}

// drop ends an attempt that never begins.
func (d *duty) drop(id mesh.AttemptID, err error) {
	a := d.open[id]
	if a == nil {
		return
	}
	delete(d.open, id)
	d.attempts.Fence(id)
	d.refuse(a.ask, err)
}

// dispatch starts waiting attempts until no slot is free. An attempt whose
// asker has left is not started, so its slot goes to the next one.
func (d *duty) dispatch(now time.Time) {
	for again := true; again; {
		again = false
		started, refused := d.slots.Dispatch(now)
		for _, r := range refused {
			d.drop(r.Attempt, r.Err)
		}
		for _, id := range started {
			if !d.start(id) {
				d.slots.Abandon(id)
				again = true
			}
		}
	}
	load := d.slots.Load()
	if last := d.in.Load.Load(); last == nil || *last != load {
		d.in.Load.Store(&load)
	}
}

// start lets an attempt begin. It checks again that the upstream is the one
// that was chosen: it may have been replaced while the attempt waited.
func (d *duty) start(id mesh.AttemptID) bool {
	a := d.open[id]
	if err := d.upstream.accepts(&a.ask.Query); err != nil {
		d.drop(id, err)
		return false
	}
	admitted := port.Admitted{
		Upstream: d.upstream.local.Address, Process: d.upstream.local.Endpoint.Process,
		Instance: d.upstream.local.Endpoint.Instance, Load: d.slots.Load(),
	}
	if !a.ask.Answer(admitted) {
		d.drop(id, result.CallerGone.Err())
		return false
	}
	d.attempts.Begin(id)
	a.process = admitted.Process
	d.started.Inc(1)
	return true
}

func (d *duty) release(r *port.Released, now time.Time) {
	a := d.open[r.Attempt]
	if a == nil || a.process == "" {
		return
	}
	delete(d.open, r.Attempt)
	d.attempts.End(r.Attempt)
	call := &a.ask.Query.Call
	if r.Down {
		d.slots.Abandon(r.Attempt)
		d.upstream.noteDown(a.process, now)
		return
	}
	if r.Lost {
		d.slots.Abandon(r.Attempt) // says nothing about the speed of the upstream
		d.upstream.noteLost(a.process, call.Fingerprint, now)
		return
	}
	d.slots.Release(r.Attempt, r.Shed, r.Load, now)
	if r.Status != 0 && !r.Shed && call.Fingerprint != 0 {
		d.quarantine.Completed(call.Service, call.Fingerprint, now)
	}
}

// settle answers whether an attempt never began, and fences it. Nothing is
// known of attempts addressed to an earlier life of the node.
func (d *duty) settle(ask kernel.Ask[port.Settle, port.Settled], now time.Time) {
	q := &ask.Query
	notRun := d.self.is(d.in.View.Load(), q.Incarnation) && d.attempts.Settle(q.Attempt, q.Deadline, now)
	if notRun {
		d.settled.Inc(1)
		if d.open[q.Attempt] != nil {
			d.slots.Prune(func(id mesh.AttemptID) bool { return id == q.Attempt })
			d.drop(q.Attempt, result.Fenced.Err())
		}
	}
	ask.Answer(port.Settled{NotRun: notRun})
}
