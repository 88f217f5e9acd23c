package callslots

import (
	"context"
	"time"

	"teaselring/decision/limit"
	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/result"
)

type admitAsk = kernel.Ask[port.Admit, port.Admitted]

// slots owns the slots, the queue and the attempt table of the local upstream.
type slots struct {
	in       dutyIn
	slots    *limit.Slots
	attempts *limit.Attempts
	waiting  map[mesh.AttemptID]admitAsk
}

func newDuty(in dutyIn) kernel.Duty {
	s := &slots{
		in: in, slots: limit.NewSlots(limit.DefaultParams()),
		attempts: limit.NewAttempts(limit.MaxAttempts), waiting: map[mesh.AttemptID]admitAsk{},
	}
	return kernel.Duty{
		Name: "slots", Owns: "slots and queue of the local upstream, attempt table",
		In: []string{"slots.admit", "slots.release", "slots.settle"}, Run: s.run,
	}
}

func (s *slots) run(ctx context.Context) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	expire := time.NewTicker(time.Second)
	defer expire.Stop()
	for {
		select {
		case ask := <-s.in.Admits.C():
			s.admit(ask)
		case r := <-s.in.Releases.C():
			s.slots.Release(r.Attempt, r.Shed, time.Now())
			s.attempts.End(r.Attempt)
		case ask := <-s.in.Settles.C():
			s.settle(ask)
		case now := <-expire.C:
			s.attempts.Expire(now)
		case <-timer.C:
		case <-ctx.Done():
			return nil
		}
		s.dispatch()
		if at, ok := s.slots.NextDeadline(); ok {
			timer.Reset(time.Until(at))
		}
	}
}

func (s *slots) admit(ask admitAsk) {
	q := ask.Query
	local, err := s.check(&q)
	if err != nil {
		ask.Fail(err)
		return
	}
	s.resize(local)
	now := time.Now()
	if err := s.attempts.Admit(q.Attempt, q.Call.Deadline, now); err != nil {
		ask.Fail(err)
		return
	}
	evicted, err := s.slots.Enqueue(limit.Request{Attempt: q.Attempt, Class: q.Call.Class, Deadline: q.Call.Deadline}, now)
	if evicted != nil {
		s.refuse(*evicted)
	}
	if err != nil {
		s.attempts.Fence(q.Attempt)
		ask.Fail(err)
		return
	}
	s.waiting[q.Attempt] = ask
}

func (s *slots) check(q *port.Admit) (*port.Local, error) {
	view := s.in.View.Load()
	if view == nil || view.Member(s.in.Identity.Node) == nil {
		return nil, result.NoEndpoint.Err()
	}
	if self := view.Member(s.in.Identity.Node); self.Incarnation != q.Incarnation {
		return nil, result.WrongIncarnation.Err()
	}
	local := s.in.Local.Load()
	if local == nil || local.Endpoint.Service != q.Call.Service || local.Endpoint.Version != q.Version {
		return nil, result.NoEndpoint.Err()
	}
	if local.Endpoint.State != mesh.EndpointReady {
		return nil, result.Draining.Err()
	}
	return local, nil
}

func (s *slots) resize(local *port.Local) {
	n, queue := local.Endpoint.Slots, 0
	if snapshot := s.in.Snapshot.Load(); snapshot != nil {
		if service, ok := snapshot.Services[local.Endpoint.Service]; ok {
			n, queue = min(n, service.Slots), service.Queue
		}
	}
	s.slots.Resize(n, queue)
}

func (s *slots) dispatch() {
	now := time.Now()
	for _, id := range s.slots.Prune(func(id mesh.AttemptID) bool { return s.waiting[id].Closed() }) {
		s.attempts.Fence(id)
		delete(s.waiting, id)
	}
	started, refused := s.slots.Dispatch(now)
	for _, r := range refused {
		s.refuse(r)
	}
	for _, id := range started {
		s.start(id)
	}
}

func (s *slots) start(id mesh.AttemptID) {
	ask := s.waiting[id]
	delete(s.waiting, id)
	local := s.in.Local.Load()
	if !s.attempts.Begin(id) || local == nil {
		s.slots.Abandon(id)
		ask.Fail(result.Fenced.Err())
		return
	}
	if !ask.Answer(port.Admitted{Upstream: local.Address, Process: local.Endpoint.Process, Load: s.slots.Load()}) {
		s.slots.Abandon(id)
		s.attempts.End(id)
	}
}

func (s *slots) refuse(r limit.Refusal) {
	s.attempts.Fence(r.Attempt)
	s.waiting[r.Attempt].Fail(r.Err)
	delete(s.waiting, r.Attempt)
}

func (s *slots) settle(ask kernel.Ask[port.Settle, port.Settled]) {
	q := ask.Query
	view := s.in.View.Load()
	self := (*mesh.Member)(nil)
	if view != nil {
		self = view.Member(s.in.Identity.Node)
	}
	if self == nil || self.Incarnation != q.Incarnation {
		ask.Answer(port.Settled{})
		return
	}
	ask.Answer(port.Settled{NotRun: s.attempts.Settle(q.Attempt, q.Deadline, time.Now())})
}
