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

// localPollInterval is the interval at which the state of the local upstream is
// polled while no call arrives.
const localPollInterval = 100 * time.Millisecond

type dutyIn struct {
	fx.In
	Settings         *Settings
	Admits           *port.AdmitRing
	Releases         *port.ReleaseRing
	Settles          *port.SettleRing
	Crashes          *port.CrashInbox
	Recent           *port.RecentCrashesRing
	Learned          *port.LearnedCrashesCell `optional:"true"`
	Local            *port.LocalCell
	View             *port.ViewCell
	Snapshot         *port.SnapshotCell
	Load             *port.LoadCell
	PlatformSettings *port.PlatformSettings `optional:"true"`
	Evacuations      *port.EvacuationsCell  `optional:"true"`
	Identity         mesh.Identity          `optional:"true"`
	Pushes           *port.PushRing         `optional:"true"`
	Audit            *port.AuditRing        `optional:"true"`
	Metrics          metrics.Registry
	Logger           *log.Logger
}

// duty owns the slots and queue of the local upstream, the attempt table and
// the quarantine.
type duty struct {
	in         dutyIn
	slots      *limit.Slots
	attempts   *limit.Attempts
	quarantine *quarantine.Table
	learned    *port.LearnedCrashes // the reports last recorded in the quarantine
	cold       coldState
	active     map[mesh.AttemptID]*attempt // waiting or running
	upstream   upstream
	self       self

	started, refused, fenced metrics.Counter
}

// attempt is an attempt that waits in the queue or runs.
type attempt struct {
	request kernel.Request[port.Admit, port.Admission]
	process string // of the upstream that runs it; empty while it waits
}

func newDuty(in dutyIn) kernel.Duty {
	d := &duty{
		in:         in,
		slots:      limit.NewSlots(in.Settings.slots()),
		attempts:   limit.NewAttempts(limit.MaxAttempts),
		quarantine: quarantine.New(in.Settings.quarantine()),
		active:     map[mesh.AttemptID]*attempt{},
		cold:       newColdState(in.Metrics),
		started:    metrics.NewRegisteredCounter("slots.started", in.Metrics),
		refused:    metrics.NewRegisteredCounter("slots.refused", in.Metrics),
		fenced:     metrics.NewRegisteredCounter("slots.fenced", in.Metrics),
	}
	d.slots.SetStartBound(d.cold.gate)
	return kernel.Duty{
		Name: "slots", Owns: "slots and queue of the local upstream, whether it is cold, attempt table, quarantine",
		In: []string{admitRing, releaseRing, settleRing, crashRing, recentRing}, Out: []string{pushRing, auditRing},
		Run: d.run,
	}
}

// run handles one event at a time. One timer drives the deadlines of waiting
// attempts and the poll of the local upstream.
func (d *duty) run(ctx context.Context) error {
	timer := time.NewTimer(localPollInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case request := <-d.in.Admits.C():
			d.refreshUpstream(ctx, time.Now())
			d.admit(request, time.Now())
		case released := <-d.in.Releases.C():
			d.release(&released, time.Now())
		case request := <-d.in.Settles.C():
			d.settle(request, time.Now())
		case crash := <-d.in.Crashes.C():
			d.recordCrash(ctx, &crash, time.Now())
		case request := <-d.in.Recent.C():
			d.refreshUpstream(ctx, time.Now())
			request.Respond(d.quarantine.Recent(request.Payload.Service, time.Now()))
		case now := <-timer.C:
			d.refreshUpstream(ctx, now)
		}
		d.dispatch(time.Now())
		timer.Reset(d.nextWake(time.Now()))
	}
}

func (d *duty) nextWake(now time.Time) time.Duration {
	next := localPollInterval
	if deadline, waiting := d.slots.NextExpiry(); waiting {
		next = min(next, max(0, deadline.Sub(now)))
	}
	if start, waiting := d.slots.NextStart(now); waiting {
		next = min(next, max(0, start.Sub(now)))
	}
	return next
}

// admit queues an attempt. The attempt table is checked first: an attempt that
// began before must never be refused with a "not run" code.
func (d *duty) admit(request kernel.Request[port.Admit, port.Admission], now time.Time) {
	if request.Closed() {
		return
	}
	q := &request.Payload
	if !d.self.isCurrent(d.in.View.Load(), q.Incarnation) {
		d.refuse(request, result.WrongIncarnation.Err())
		return
	}
	if err := d.attempts.Admit(q.Attempt, q.Call.Deadline, now); err != nil {
		d.refuse(request, err)
		return
	}
	err := d.checkTarget(q)
	if err == nil && q.Call.Fingerprint != 0 && d.quarantine.Blocked(q.Call.Service, q.Call.Fingerprint, now) {
		err = result.Quarantined.Err()
	}
	if err == nil {
		err = d.enqueue(q, now)
	}
	if err != nil {
		d.attempts.Fence(q.Attempt)
		d.refuse(request, err)
		return
	}
	d.active[q.Attempt] = &attempt{request: request}
}

func (d *duty) refuse(request kernel.Request[port.Admit, port.Admission], err error) {
	d.refused.Inc(1)
	request.Fail(err)
}

// enqueue adds the attempt to the queue. When the queue is full, it drops the
// cancelled attempts and tries once more.
func (d *duty) enqueue(q *port.Admit, now time.Time) error {
	request := limit.Request{
		Attempt: q.Attempt, Class: q.Call.Class, Deadline: q.Call.Deadline, StartBy: q.Call.StartBy,
		SoftDeadline: q.Call.SoftDeadline, Account: q.Call.Account,
		Priority: q.Call.Priority, HasPriority: q.Call.HasPriority,
	}
	evicted, err := d.slots.Enqueue(request, now)
	if err != nil && d.dropCancelled() {
		evicted, err = d.slots.Enqueue(request, now)
	}
	if evicted != nil {
		d.drop(evicted.Attempt, evicted.Err)
	}
	return err
}

func (d *duty) dropCancelled() bool {
	cancelled := d.slots.Prune(func(id mesh.AttemptID) bool { return d.active[id].request.Closed() })
	for _, id := range cancelled {
		d.drop(id, result.CallerGone.Err())
	}
	return len(cancelled) > 0
}

// drop refuses a waiting attempt, which then never begins.
func (d *duty) drop(id mesh.AttemptID, err error) {
	a := d.active[id]
	if a == nil {
		return
	}
	delete(d.active, id)
	d.attempts.Fence(id)
	d.refuse(a.request, err)
}

// dispatch starts waiting attempts until no slot is free. A cancelled attempt is
// not started; its slot goes to the next one.
func (d *duty) dispatch(now time.Time) {
	for again := true; again; {
		again = false
		started, refused := d.slots.Dispatch(now)
		for _, r := range refused {
			d.drop(r.Attempt, r.Err)
		}
		for _, id := range started {
			if !d.start(id) {
				d.slots.Withdraw(id)
				again = true
			}
		}
	}
	load := d.slots.Load()
	if last := d.in.Load.Load(); last == nil || *last != load {
		d.in.Load.Store(&load)
	}
}

// start begins an attempt. It checks the target again, since the upstream may
// have been replaced while the attempt waited.
func (d *duty) start(id mesh.AttemptID) bool {
	a := d.active[id]
	if err := d.checkTarget(&a.request.Payload); err != nil {
		d.drop(id, err)
		return false
	}
	admitted := port.Admission{
		Upstream: d.upstream.local.Address, Process: d.upstream.local.Endpoint.Process,
		Instance: d.upstream.local.Endpoint.Instance, Load: d.slots.Load(),
	}
	if !a.request.Respond(admitted) {
		d.drop(id, result.CallerGone.Err())
		return false
	}
	d.attempts.Begin(id)
	a.process = admitted.Process
	d.started.Inc(1)
	return true
}

func (d *duty) release(released *port.SlotRelease, now time.Time) {
	a := d.active[released.Attempt]
	if a == nil || a.process == "" {
		return
	}
	delete(d.active, released.Attempt)
	d.attempts.End(released.Attempt)
	call := &a.request.Payload.Call
	if released.Load != nil && released.Load.Slowness > 0 {
		d.slots.SetSlowness(released.Load.Slowness)
	}
	if released.Unreachable {
		d.slots.Withdraw(released.Attempt)
		d.cold.gate.Suspect(now)
		d.upstream.recordDown(a.process, now)
		return
	}
	if released.ConnectionLost {
		d.slots.Abandon(released.Attempt) // no sample of the upstream's latency
		d.upstream.recordLost(a.process, call.Fingerprint, now)
		if a.process == d.upstream.local.Endpoint.Process {
			d.cold.gate.ConnectionLost(d.slots.Running(), now)
		}
		return
	}
	d.slots.Release(released.Attempt, released.Shed, released.Load, now)
	if released.Status != 0 && !released.Shed && call.Fingerprint != 0 {
		d.quarantine.RecordCompletion(call.Service, call.Fingerprint, now)
	}
}

// settle reports whether an attempt never began, and fences it. Attempts addressed
// to an earlier incarnation of the node are unknown and never settled as not run.
func (d *duty) settle(request kernel.Request[port.Settle, port.Settled], now time.Time) {
	q := &request.Payload
	notRun := d.self.isCurrent(d.in.View.Load(), q.Incarnation) && d.attempts.Settle(q.Attempt, q.Deadline, now)
	if notRun {
		d.fenced.Inc(1)
		if d.active[q.Attempt] != nil {
			d.slots.Prune(func(id mesh.AttemptID) bool { return id == q.Attempt })
			d.drop(q.Attempt, result.Fenced.Err())
		}
	}
	request.Respond(port.Settled{NotRun: notRun})
}
