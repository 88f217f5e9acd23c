package rolloutrows

import (
	"context"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
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
	Logger   *log.Logger
}

// duty owns the state of all moves as this node knows it.
type duty struct {
	dutyIn
	services map[mesh.ServiceID]*service
	set      *replica.Set // that services was decoded from
}

// service is one service with an order.
type service struct {
	rollout  mesh.Rollout // as the row says
	revision uint64       // of the row, 0: there is none
	own      *rollout.Evidence
	pooled   *rollout.Evidence
	bad      string     // why the new version is bad, for good
	avoided  string     // why this node sends it no calls
	view     *mesh.View // whose servers the evidence knows
	wanted   time.Time
}

func newDuty(in dutyIn) kernel.Duty {
	d := &duty{dutyIn: in, services: map[mesh.ServiceID]*service{}}
	return kernel.Duty{
		Name: "rollouts", Owns: "the shares of new versions, the evidence about them",
		In: []string{wakeRing, sampleRing, inboxRing, verdictRing}, Out: []string{reportRing, writeRing}, Run: d.run,
	}
}

func (d *duty) run(ctx context.Context) error {
	timer := time.NewTimer(tick)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.Wake.ring.C():
		case o := <-d.Samples.C():
			d.observe(&o, time.Now())
			continue
		case ask := <-d.Inbox.C():
			ask.Respond(d.receive(&ask.Payload, time.Now()))
		case v := <-d.Verdicts.C():
			d.condemn(v.Service, v.Order, v.Bad)
		case <-timer.C:
			d.report(ctx)
		}
		d.rows()
		d.see(time.Now())
		d.step(ctx, time.Now())
		d.publish()
		if d.active() {
			timer.Reset(tick)
		}
	}
}

// active reports whether some move is in progress, so that an idle node sleeps.
func (d *duty) active() bool {
	orders := d.Orders.Load()
	if orders == nil {
		return false
	}
	for id, order := range orders.ByService {
		s := d.services[id]
		if s == nil || s.rollout.Order < order.Revision || s.rollout.Phase == mesh.MoveShifting {
			return true
		}
	}
	return false
}

// rows takes over the rows of moves. It runs before each decision: a node that
// has just listed the rows must not take a service with a move for one without.
func (d *duty) rows() {
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
		if r.Revision <= s.revision {
			return
		}
		s.revision = r.Revision
		var row mesh.Rollout
		if err := cbor.Unmarshal(r.Value, &row); err != nil || string(row.Service) != name || row.Duration <= 0 {
			d.Logger.Error().Str("key", r.Key).Err(err).Msg("row of a move can't be read")
			return
		}
		if row.Order != s.rollout.Order {
			*s = service{revision: r.Revision, own: rollout.NewEvidence(), pooled: rollout.NewEvidence()}
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

// see tells the evidence about moves in progress which servers there are.
func (d *duty) see(now time.Time) {
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

// receive takes over another node's evidence and answers what is known.
func (d *duty) receive(r *report, now time.Time) verdict {
	s := d.services[r.Service]
	if s == nil || s.rollout.Order != r.Order {
		return verdict{Service: r.Service, Order: r.Order}
	}
	s.pooled.Add(r.Routes, now)
	if why := s.pooled.Bad(now); why != "" {
		d.condemn(r.Service, r.Order, why)
	}
	return verdict{Service: r.Service, Order: r.Order, Bad: s.bad}
}

// condemn notes that a new version is bad. It gets no more calls of this node.
func (d *duty) condemn(id mesh.ServiceID, order uint64, why string) {
	s := d.services[id]
	if why == "" || s == nil || s.rollout.Order != order || s.bad != "" {
		return
	}
	s.bad = why
	d.Logger.Warn().Str("service", string(id)).Str("version", string(s.rollout.New)).Str("why", why).Msg("new version is bad")
}

// report sends what this node observed to the judging node, or judges it.
func (d *duty) report(ctx context.Context) {
	now := time.Now()
	for id, s := range d.services {
		routes := s.own.Flush()
		if s.rollout.Phase != mesh.MoveShifting || len(routes) == 0 {
			continue
		}
		r := report{Service: id, Order: s.rollout.Order, Routes: routes}
		judges := rollout.Evaluators(id, d.View.Load())
		if len(judges) == 0 || judges[0].Node == d.Identity.Node {
			d.receive(&r, now)
			continue
		}
		s.pooled.Add(routes, now)
		d.avoid(s, s.pooled.Bad(now))
		out := sending{report: r}
		for _, m := range judges {
			if m.Node != d.Identity.Node && len(out.judges) < 2 {
				out.judges = append(out.judges, m.PeerAddress)
			}
		}
		_ = d.Reports.Send(ctx, out) // replaces the oldest, never fails
	}
}

// avoid notes that the new version looks bad from this node, which sends it no more
// calls. That is no verdict: among many nodes a few see several failures by chance.
func (d *duty) avoid(s *service, why string) {
	if why == "" || s.avoided != "" {
		return
	}
	s.avoided = why
	d.Logger.Warn().Str("service", string(s.rollout.Service)).Str("version", string(s.rollout.New)).Str("why", why).
		Msg("new version avoided by this node")
}

// step begins, ends and takes back moves.
func (d *duty) step(ctx context.Context, now time.Time) {
	orders, clock := d.Orders.Load(), d.Clock.Load()
	view := d.View.Load()
	if orders == nil || clock == nil || !d.set.Listed(port.NodeTable) || !port.ViewCoversRows(view, d.set) {
		return
	}
	for id, order := range orders.ByService {
		s := d.service(id)
		switch {
		case s.rollout.Order < order.Revision:
			var before *mesh.Rollout
			if s.revision != 0 {
				before = &s.rollout
			}
			next := rollout.Begin(&order, before, view, clock.Now(now))
			if next.Old == next.New && clock.Now(now) < order.FirstSeen+time.Duration(alonePart*float64(order.Duration)) {
				continue
			}
			d.write(ctx, id, s, next, now)
		case s.rollout.Phase == mesh.MoveShifting && s.bad != "":
			next := s.rollout
			next.Phase, next.Reason = mesh.MoveTakenBack, s.bad
			d.write(ctx, id, s, next, now)
		case rollout.Due(&s.rollout, clock.Now(now)):
			next := s.rollout
			next.Phase, next.Reason = rollout.EndPhase(&next, view)
			if s.avoided != "" { // the judging node does not answer, else it had written by now
				next.Phase, next.Reason = mesh.MoveTakenBack, s.avoided
			}
			d.write(ctx, id, s, next, now)
		default:
			s.wanted = time.Time{}
		}
	}
}

// alonePart is the part of its time for which an order waits while no version but
// its target is known: the servers of the other may be unknown yet, also while the
// store is down. What is left is enough to complete it, as nothing is to be moved.
const alonePart = 0.5

// write hands a state to the writer when it is this node's turn.
func (d *duty) write(ctx context.Context, id mesh.ServiceID, s *service, next mesh.Rollout, now time.Time) {
	if s.wanted.IsZero() {
		s.wanted = now
	}
	rank := 0
	for i, m := range rollout.Evaluators(id, d.View.Load()) {
		if m.Node == d.Identity.Node {
			rank = i
		}
	}
	if now.Sub(s.wanted) < time.Duration(rank)*turn {
		return
	}
	s.wanted = now.Add(writeAgain)
	_ = d.Writes.Send(ctx, write{rollout: next, revision: s.revision})
}

// publish stores how calls are divided.
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
		share := rollout.Share(r, clock.Now(time.Now()))
		if (s.bad != "" || s.avoided != "") && r.Phase == mesh.MoveShifting {
			share = 0
		}
		splits.ByService[id] = mesh.Split{Move: mesh.MoveID(id), Old: r.Old, New: r.New, Share: share}
	}
	if last := d.Splits.Load(); last != nil && len(last.ByService) == len(splits.ByService) {
		same := true
		for id, split := range splits.ByService {
			other := last.ByService[id]
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
