package accountlimits

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"

	"teaselring/decision/quota"
	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/result"
)

const (
	// maxWait is how long a request waits for credit: an answer of a granting node that
	// stands still for a moment.
	maxWait = 90 * time.Millisecond
	// waitTick is the interval in which due asks are sent and waits end while requests
	// wait, tick that while none waits, idleTick that without limits.
	waitTick = 20 * time.Millisecond
	tick     = 50 * time.Millisecond
	idleTick = 500 * time.Millisecond
	// maxRounds bounds the asks to the node itself at one moment.
	maxRounds = 3
)

// duty owns the credit that the node holds and the buckets from which it grants credit.
type duty struct {
	dutyIn
	holder  *quota.Holder
	grantor *quota.Grantor
	waiting map[mesh.AccountName][]waitingRequest // in order of arrival

	snapshot *mesh.Snapshot // that the limits were taken from
	lowering *quota.Lowering
	limits   map[mesh.AccountName]quota.Limit
	view     *mesh.View
	complete bool // the view has all nodes

	admitted, refused, asks, failed metrics.Counter
	credits                         metrics.Gauge
	waits                           metrics.Histogram // ms
}

type waitingRequest struct {
	request kernel.Request[port.AccountCharge, struct{}]
	since   time.Time
}

func newDuty(in dutyIn) kernel.Duty {
	d := newLimits(in, time.Now())
	return kernel.Duty{
		Name: "account-limits", Owns: "the credit of client accounts that this node holds, and the buckets from which it grants credit",
		In: []string{chargeRing, returnRing, askRing, answerRing, statusRing}, Out: []string{sendRing}, Run: d.run,
	}
}

func newLimits(in dutyIn, now time.Time) *duty {
	s := in.PlatformSettings
	settings := quota.Settings{Window: s.AccountWindow, Overage: s.AccountOverage, Slack: s.AccountSlack}
	boot := rand.Uint64()
	counter := func(name string) metrics.Counter { return metrics.NewRegisteredCounter("accounts."+name, in.Metrics) }
	return &duty{
		dutyIn: in, waiting: map[mesh.AccountName][]waitingRequest{},
		holder:  quota.NewHolder(settings, in.Identity.Node, boot, now, s.FirstStart),
		grantor: quota.NewGrantor(settings, boot, now), lowering: quota.NewLowering(settings),
		admitted: counter("admitted"), refused: counter("refused"),
		asks: counter("asks"), failed: counter("asks_failed"), credits: metrics.NewRegisteredGauge("accounts.credits", in.Metrics),
		waits: metrics.NewRegisteredHistogram("accounts.wait_ms", in.Metrics, metrics.NewExpDecaySample(1028, 0.015)),
	}
}

func (d *duty) run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case request := <-d.Charges.C():
			none := len(d.waiting) == 0
			d.charge(ctx, time.Now(), request)
			if none && len(d.waiting) > 0 {
				timer.Reset(waitTick)
			}
		case request := <-d.Statuses.C():
			d.refresh()
			request.Respond(d.holder.Status(time.Now(), d.grantor))
		case r := <-d.Returns.C():
			d.holder.Return(r.Account)
		case request := <-d.Inbox.C():
			d.answer(time.Now(), request)
		case a := <-d.Answers.C():
			d.handleAnswer(ctx, time.Now(), &a)
		case <-timer.C:
			d.tick(ctx, time.Now())
			timer.Reset(d.interval())
		}
	}
}

func (d *duty) interval() time.Duration {
	switch {
	case len(d.waiting) > 0:
		return waitTick
	case len(d.limits) > 0:
		return tick
	}
	return idleTick
}

func (d *duty) tick(ctx context.Context, now time.Time) {
	d.refresh()
	if len(d.limits) > 0 || len(d.waiting) > 0 {
		d.endWaits(now)
		d.sendAsks(ctx, now)
	}
	d.credits.Update(int64(d.holder.Credits()))
}

// refresh takes over a new configuration or view.
func (d *duty) refresh() {
	if s := d.Snapshot.Load(); s != d.snapshot || d.lowering.Pending() {
		d.snapshot = s
		d.limits = d.lowering.InEffect(time.Now(), configuredLimits(s))
		d.holder.SetLimits(d.limits)
	}
	view := d.View.Load()
	if view == nil || (view == d.view && d.complete) {
		return
	}
	complete := d.complete || port.ViewCoversRows(view, d.Rows.Load())
	if view == d.view && !complete {
		return
	}
	d.view, d.complete = view, complete
	var nodes []mesh.NodeID
	for i := range view.Members {
		if m := &view.Members[i]; m.State == mesh.NodeAlive {
			nodes = append(nodes, m.Node)
		}
	}
	d.holder.SetNodes(nodes, d.complete)
}

// configuredLimits returns the limits of the accounts that have one.
func configuredLimits(s *mesh.Snapshot) map[mesh.AccountName]quota.Limit {
	limits := map[mesh.AccountName]quota.Limit{}
	if s == nil {
		return limits
	}
	for name, a := range s.Accounts {
		if a.Rate > 0 {
			limits[name] = quota.Limit{Rate: a.Rate, Burst: a.Burst}
		}
	}
	return limits
}

func (d *duty) limit(name mesh.AccountName) (quota.Limit, bool) {
	l, limited := d.limits[name]
	return l, limited
}

// charge decides on one request.
func (d *duty) charge(ctx context.Context, now time.Time, request kernel.Request[port.AccountCharge, struct{}]) {
	d.refresh()
	name := request.Payload.Account
	switch d.holder.Take(now, name) {
	case quota.Admitted:
		d.admit(request)
	case quota.Refused:
		d.refuse(now, request)
	case quota.Waiting:
		d.waiting[name] = append(d.waiting[name], waitingRequest{request, now})
		d.sendAsks(ctx, now)
	}
}

func (d *duty) admit(request kernel.Request[port.AccountCharge, struct{}]) {
	if !request.Respond(struct{}{}) {
		d.holder.Return(request.Payload.Account) // the client has left
		return
	}
	d.admitted.Inc(1)
}

func (d *duty) refuse(now time.Time, request kernel.Request[port.AccountCharge, struct{}]) {
	d.refused.Inc(1)
	name := request.Payload.Account
	after, excess := d.holder.Room(now, name, rand.Float64())
	l := d.limits[name]
	request.Fail(result.AccountLimit.Errorf("account %q is at its limit of %g requests per second with a burst of %g over all nodes, which refuse %.0f per second; room is expected in %v",
		name, l.Rate, l.Burst, excess, after.Round(time.Millisecond)).With(port.RetryAfterDetail, strconv.FormatFloat(after.Seconds(), 'f', 3, 64)))
}

// endWaits refuses the requests that waited for too long.
func (d *duty) endWaits(now time.Time) {
	for name, queue := range d.waiting {
		for len(queue) > 0 && now.Sub(queue[0].since) >= maxWait {
			d.holder.Abandon(now, name)
			d.waits.Update(now.Sub(queue[0].since).Milliseconds())
			d.refuse(now, queue[0].request)
			queue = queue[1:]
		}
		d.setWaiting(name, queue)
	}
}

func (d *duty) setWaiting(name mesh.AccountName, queue []waitingRequest) {
	if len(queue) == 0 {
		delete(d.waiting, name)
		return
	}
	d.waiting[name] = queue
}

// answer grants credit to another node.
func (d *duty) answer(now time.Time, request kernel.Request[quota.Ask, quota.Answer]) {
	d.refresh()
	answer, ok := d.grantor.Answer(now, &request.Payload, d.holder.Nodes(), d.limit)
	if !ok {
		request.Fail(result.BadMessage.Errorf("an older ask of node %q", request.Payload.Node))
		return
	}
	request.Respond(answer)
}

// sendAsks sends the asks that are due. Those to the node itself are answered at once,
// which may make others due.
func (d *duty) sendAsks(ctx context.Context, now time.Time) {
	for again, rounds := true, 0; again && rounds < maxRounds; rounds++ {
		again = false
		for _, o := range d.holder.Asks(now) {
			if o.To == d.Identity.Node {
				if answer, ok := d.grantor.Answer(now, &o.Ask, d.holder.Nodes(), d.limit); ok {
					d.apply(now, &o, &answer)
					again = true
				} else {
					d.holder.Failed(now, &o, false)
				}
				continue
			}
			d.send(ctx, now, o)
		}
	}
}

func (d *duty) send(ctx context.Context, now time.Time, o quota.Outgoing) {
	d.asks.Inc(1)
	m := d.view.Member(o.To)
	if m == nil {
		d.holder.Failed(now, &o, false)
		return
	}
	if err := d.Sends.Send(ctx, outgoing{Outgoing: o, address: m.PeerAddress}); err != nil {
		d.holder.Failed(now, &o, false)
	}
}

func (d *duty) handleAnswer(ctx context.Context, now time.Time, a *answered) {
	skipped := d.holder.Skipped(a.out.To)
	if a.err == nil {
		d.apply(now, &a.out, a.answer)
	} else {
		d.failed.Inc(1)
		// A refused connection proves that the process of the granting node has ended.
		d.holder.Failed(now, &a.out, errors.Is(a.err, syscall.ECONNREFUSED))
	}
	if s := d.holder.Skipped(a.out.To); s != skipped {
		d.Logger.Warn().Str("node", string(a.out.To)).Bool("skipped", s).Err(a.err).Msg("granting node of account limits changed")
	}
	d.sendAsks(ctx, now)
}

// apply uses an answer and ends the waits that it decides.
func (d *duty) apply(now time.Time, o *quota.Outgoing, answer *quota.Answer) {
	for _, decided := range d.holder.Answered(now, o, answer) {
		queue := d.waiting[decided.Account]
		for _, w := range queue[:min(decided.Admitted+decided.Refused, len(queue))] {
			d.waits.Update(now.Sub(w.since).Milliseconds())
		}
		admitted := min(decided.Admitted, len(queue))
		for _, w := range queue[:admitted] {
			d.admit(w.request)
		}
		queue = queue[admitted:]
		refused := min(decided.Refused, len(queue))
		for _, w := range queue[:refused] {
			d.refuse(now, w.request)
		}
		d.setWaiting(decided.Account, queue[refused:])
	}
}
