package rolloutrows

import (
	"context"
	"strings"
	"time"

	"github.com/phuslu/log"
	"go.uber.org/fx"

	"teaselring/decision/replica"
	"teaselring/decision/rollout"
	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
)

type dutyIn struct {
	fx.In
	Identity mesh.Identity
	Wake     wake
	Ordered  *port.OrdersChangedRing
	Samples  *port.SampleRing
	Inbox    *inbox
	Verdicts *verdicts
	Reports  *reports
	Writes   *writes
	Splits   *port.SplitsCell
	Rows     *port.RowsCell
	Clock    *port.ClockCell
	Orders   *port.OrdersCell
	View     *port.ViewCell
	Table    port.OperatorTable
	Platform *port.PlatformSettings
	Logger   *log.Logger
}

// duty owns this node's state of all moves.
type duty struct {
	dutyIn
	services map[mesh.ServiceID]*service
	set      *replica.Set // rows that services was decoded from
}

// service is the state of a service with an order.
type service struct {
	rollout     mesh.Rollout // as in the row
	revision    uint64       // of the row; 0: there is no row
	condition   uint64       // revision of the row that the store has; 0: it has none
	lost        bool         // the store has lost the row
	own         *rollout.Evidence
	pooled      *rollout.Evidence
	badReason   string           // why the new version is bad; final
	avoidReason string           // why this node sends the new version no calls
	progress    rollout.Progress // as the evaluator reported it last
	view        *mesh.View       // last view passed to own
	writeDue    time.Time        // when the first node may write; zero: no state to write
}

func newDuty(in dutyIn) kernel.Duty {
	d := &duty{dutyIn: in, services: map[mesh.ServiceID]*service{}}
	return kernel.Duty{
		Name: "rollouts", Owns: "the shares of new versions, the evidence about them",
		In: []string{wakeRing, orderRing, sampleRing, inboxRing, verdictRing}, Out: []string{reportRing, writeRing}, Run: d.run,
	}
}

func (d *duty) run(ctx context.Context) error {
	timer := time.NewTimer(evaluationInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.Wake.ring.C():
		case <-d.Ordered.C():
		case o := <-d.Samples.C():
			d.observe(&o, time.Now())
			continue
		case request := <-d.Inbox.C():
			request.Respond(d.receive(&request.Payload, time.Now()))
		case v := <-d.Verdicts.C():
			d.applyVerdict(&v)
		case <-timer.C:
			d.report(ctx)
		}
		d.loadRows()
		d.updateServers(time.Now())
		d.step(ctx, time.Now())
		d.publish()
		if d.active() {
			timer.Reset(evaluationInterval)
		}
	}
}

// active reports whether a move is in progress. Without one the timer is not set, so
// that an idle node is not woken.
func (d *duty) active() bool {
	orders := d.Orders.Load()
	if orders == nil {
		return false
	}
	for id, order := range orders.ByService {
		s := d.services[id]
		if s == nil || !rollout.Answered(&s.rollout, &order) || s.rollout.Phase == mesh.MoveShifting || s.lost || rollout.RowToRecord(&s.rollout, &order) != 0 {
			return true
		}
	}
	return false
}

// loadRows decodes new rows of moves. It runs before each decision: a node that has
// just listed the rows must not treat a service with a move as one without.
func (d *duty) loadRows() {
	set := d.Rows.Load()
	if set == d.set {
		return
	}
	d.set = set
	set.Each(port.NodeTable, func(r replica.Row) {
		name, ok := strings.CutPrefix(r.Key, port.RolloutRowPrefix)
		if !ok {
			return
		}
		s := d.service(mesh.ServiceID(name))
		s.condition, s.lost = r.Condition(), r.Lost
		if r.Revision == s.revision {
			return
		}
		s.revision = r.Revision
		var row mesh.Rollout
		if err := port.DecodeRow(r.Value, &row); err != nil || string(row.Service) != name {
			d.Logger.Error().Str("key", r.Key).Err(err).Msg("row of a move can't be read")
			return
		}
		if row.Order != s.rollout.Order {
			*s = service{revision: r.Revision, condition: s.condition, lost: s.lost, own: rollout.NewEvidence(), pooled: rollout.NewEvidence()}
		}
		s.rollout = row
		d.Logger.Info().Str("service", name).Str("old", string(row.Old)).Str("new", string(row.New)).
			Str("phase", string(row.Phase)).Str("reason", row.Reason).Uint64("revision", r.Revision).Msg("move known")
	})
}

func (d *duty) service(id mesh.ServiceID) *service {
	if d.services[id] == nil {
		d.services[id] = &service{own: rollout.NewEvidence(), pooled: rollout.NewEvidence()}
	}
	return d.services[id]
}

// updateServers passes a new view to the evidence about moves in progress.
func (d *duty) updateServers(now time.Time) {
	view := d.View.Load()
	if view == nil {
		return
	}
	for id, s := range d.services {
		if s.rollout.Phase == mesh.MoveShifting && s.view != view {
			s.own.UpdateServers(view, id, now)
			s.view = view
		}
	}
}

func (d *duty) observe(o *mesh.Outcome, now time.Time) {
	if s := d.services[o.Target.Service]; s != nil && s.rollout.Phase == mesh.MoveShifting {
		s.own.Observe(&s.rollout, o, now)
	}
}

// receive adds a node's report to the pooled evidence and returns the verdict.
func (d *duty) receive(r *report, now time.Time) verdict {
	s := d.services[r.Service]
	if s == nil || s.rollout.Order != r.Order {
		return verdict{Service: r.Service, Order: r.Order}
	}
	s.pooled.Add(r.Routes, now)
	if why := s.pooled.Bad(now); why != "" {
		d.markBad(r.Service, r.Order, why)
	}
	return verdict{Service: r.Service, Order: r.Order, Bad: s.badReason, Progress: s.pooled.Progress()}
}

// applyVerdict applies what the evaluator knows about a new version.
func (d *duty) applyVerdict(v *verdict) {
	if s := d.services[v.Service]; s != nil && s.rollout.Order == v.Order {
		s.progress = v.Progress
	}
	d.markBad(v.Service, v.Order, v.Bad)
}

// markBad records that a new version is bad. This node sends it no more calls.
func (d *duty) markBad(id mesh.ServiceID, order uint64, why string) {
	s := d.services[id]
	if why == "" || s == nil || s.rollout.Order != order || s.badReason != "" {
		return
	}
	s.badReason = why
	d.Logger.Warn().Str("service", string(id)).Str("version", string(s.rollout.New)).Str("why", why).Msg("new version is bad")
}

// report sends this node's observations to the evaluator; the evaluator processes its
// own directly.
func (d *duty) report(ctx context.Context) {
	now := time.Now()
	for id, s := range d.services {
		routes := s.own.Flush()
		if s.rollout.Phase != mesh.MoveShifting || len(routes) == 0 {
			continue
		}
		r := report{Service: id, Order: s.rollout.Order, Routes: routes}
		evaluators := rollout.Evaluators(id, d.View.Load())
		if len(evaluators) == 0 || evaluators[0].Node == d.Identity.Node {
			own := d.receive(&r, now)
			d.applyVerdict(&own)
			continue
		}
		s.pooled.Add(routes, now)
		d.markAvoided(s, s.pooled.Bad(now))
		out := outgoingReport{report: r}
		for _, m := range evaluators {
			if m.Node != d.Identity.Node && len(out.evaluators) < 2 {
				out.evaluators = append(out.evaluators, m.PeerAddress)
			}
		}
		_ = d.Reports.Send(ctx, out) // replaces the oldest, never fails
	}
}

// markAvoided records that the new version is bad by the evidence of this node, which
// sends it no more calls. It is not a verdict: among many nodes, a few observe several
// failures by chance.
func (d *duty) markAvoided(s *service, why string) {
	if why == "" || s.avoidReason != "" {
		return
	}
	s.avoidReason = why
	d.Logger.Warn().Str("service", string(s.rollout.Service)).Str("version", string(s.rollout.New)).Str("why", why).
		Msg("new version avoided by this node")
}

// step begins, ends and takes back moves.
func (d *duty) step(ctx context.Context, now time.Time) {
	orders, clock := d.Orders.Load(), d.Clock.Load()
	view := d.View.Load()
	if orders == nil || clock == nil || !port.ViewCoversRows(view, d.set) {
		return
	}
	for id, order := range orders.ByService {
		s := d.service(id)
		switch {
		case !rollout.Answered(&s.rollout, &order):
			if rollout.AwaitsRewrite(&order, clock.Now(now)) {
				continue
			}
			var before *mesh.Rollout
			if s.rollout.Order != 0 { // the row may be unreadable
				before = &s.rollout
			}
			next := rollout.Begin(&order, before, view, clock.Now(now))
			if next.Old == next.New && clock.Now(now) < order.FirstSeen+time.Duration(targetOnlyWait*float64(order.Duration)) {
				continue
			}
			d.write(ctx, id, s, next, now)
		case s.rollout.Phase == mesh.MoveShifting && s.badReason != "":
			next := s.rollout
			next.Phase, next.Reason = mesh.MoveTakenBack, s.badReason
			d.write(ctx, id, s, next, now)
		case rollout.Due(&s.rollout, clock.Now(now), &s.progress):
			next := s.rollout
			next.Phase, next.Reason = rollout.EndPhase(&next, view)
			if s.avoidReason != "" { // the evaluator failed, or it would have written by now
				next.Phase, next.Reason = mesh.MoveTakenBack, s.avoidReason
			}
			d.write(ctx, id, s, next, now)
		case s.lost, rollout.RowToRecord(&s.rollout, &order) != 0:
			next := s.rollout
			if row := rollout.RowToRecord(&next, &order); row != 0 {
				next.OrderRow = row
			}
			d.write(ctx, id, s, next, now)
		default:
			s.writeDue = time.Time{}
		}
	}
}

// targetOnlyWait is the share of its duration for which an order waits while only its
// target version is known: the view may not have the servers of another version yet,
// for example while the store is down. The remaining time is enough if there is nothing to
// move.
const targetOnlyWait = 0.5

// write hands a state to the writer when it is this node's turn.
func (d *duty) write(ctx context.Context, id mesh.ServiceID, s *service, next mesh.Rollout, now time.Time) {
	if s.writeDue.IsZero() {
		s.writeDue = now
	}
	rank := 0
	for i, m := range rollout.Evaluators(id, d.View.Load()) {
		if m.Node == d.Identity.Node {
			rank = i
		}
	}
	if now.Sub(s.writeDue) < time.Duration(rank)*writeTurn {
		return
	}
	s.writeDue = now.Add(writeRetryDelay)
	_ = d.Writes.Send(ctx, write{rollout: next, revision: s.condition})
}

func (d *duty) allowance() rollout.Allowance {
	return rollout.Allowance{Share: d.Platform.ExposureShare, Slack: d.Platform.ExposureSlack}
}

// publish stores the shares of calls if they changed.
func (d *duty) publish() {
	clock := d.Clock.Load()
	if clock == nil || !d.set.Listed(port.NodeTable) || !d.set.Listed(string(d.Table)) {
		return
	}
	splits := mesh.Splits{ByService: map[mesh.ServiceID]mesh.Split{}}
	for id, s := range d.services {
		r := &s.rollout
		if r.Order == 0 {
			continue
		}
		share := rollout.Share(r, clock.Now(time.Now()), &s.progress, d.allowance())
		if (s.badReason != "" || s.avoidReason != "") && r.Phase == mesh.MoveShifting {
			share = 0
		}
		splits.ByService[id] = mesh.Split{Move: mesh.MoveID(id), Old: r.Old, New: r.New, Share: share}
	}
	if previous := d.Splits.Load(); previous != nil && len(previous.ByService) == len(splits.ByService) {
		same := true
		for id, split := range splits.ByService {
			other := previous.ByService[id]
			same = same && other.Old == split.Old && other.New == split.New && other.Share == split.Share
		}
		if same {
			return
		}
	}
	for id, split := range splits.ByService {
		d.Logger.Info().Str("service", string(id)).Str("old", string(split.Old)).Str("new", string(split.New)).
			Float64("share", split.Share).Msg("share of the new version")
	}
	d.Splits.Store(&splits)
}
