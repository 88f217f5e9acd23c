package membershipview

import (
	"context"
	"math/rand/v2"
	"time"

	"teaselring/decision/membership"
	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/wire"
)

const (
	tickEvery = 100 * time.Millisecond
	// Within a burst of changes the view is published at most this often,
	// outside of ticks: a copy of 1,200 members takes about 0.3 ms.
	publishEvery = 20 * time.Millisecond
	// batch bounds the messages that are merged before the view is published.
	batch = 256
	// leaveWait is the time from the spread of the node's leaving to the answer
	// to who asked for it. A message passes a link in a few milliseconds.
	leaveWait = 300 * time.Millisecond
	// A new configuration version alone lets the own entry be spread after a
	// random part of this time, for each member. With 1,200 members, 1,000
	// versions a day and about 120 bytes on 14 passes over links, an entry of
	// every node for every version would take 23 KB/s of a node's 17 KB/s.
	inForcePerMember = 500 * time.Millisecond
	inForceAtLeast   = 2 * time.Second
)

// members is the duty that owns the view.
type members struct {
	parts
	state  *membership.State
	repair repair
	meters *meters

	started   time.Time
	answered  bool         // a peer has answered with its view
	spread    mesh.Version // version in force that was spread last
	spreadDue time.Time    // when a newer one is spread, zero when there is none
	leaving   []leave
	published time.Time
	ticks     uint64
}

type leave struct {
	ask kernel.Request[port.Leaving, struct{}]
	at  time.Time
}

func newMembers(p parts) *members {
	return &members{parts: p, meters: newMeters(p.Metrics), repair: newRepair()}
}

func (m *members) duty() kernel.Duty {
	return kernel.Duty{
		Name: "members",
		Owns: "the view of all nodes and endpoints",
		In:   []string{"members.updates", "members.local", "members.leaving"},
		Out:  []string{"links.push"},
		Run:  m.run,
	}
}

func (m *members) run(ctx context.Context) error {
	m.begin(time.Now())
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		var err error
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			err = m.tick(time.Now())
		case in := <-m.Inbox.C():
			err = m.receive(in, time.Now())
		case local := <-m.Local.C():
			m.local(local)
		case ask := <-m.Leaving.C():
			m.leave(ask, time.Now())
		}
		if err != nil {
			return err
		}
		if now := time.Now(); now.Sub(m.published) >= publishEvery {
			m.publish(now)
		}
	}
}

// begin sets the node's own entry. The incarnation is the start time in ms; it
// may rise until the node joins.
func (m *members) begin(now time.Time) {
	m.started = now
	m.state = membership.New(mesh.Member{
		Node: m.Identity.Node, Zone: m.Identity.Zone, Region: m.Identity.Region,
		Incarnation: mesh.Incarnation(now.UnixMilli()),
	}, m.Settings.config())
	m.publish(now)
}

// receive handles a message and those that wait behind it.
func (m *members) receive(in port.MembersMessage, now time.Time) error {
	for range batch {
		if err := m.handle(in, now); err != nil {
			return err
		}
		select {
		case in = <-m.Inbox.C():
		default:
			return nil
		}
	}
	return nil
}

// tick first handles what has arrived, so that a refutation that waits in the
// inbox is not overtaken by the end of the suspicion.
func (m *members) tick(now time.Time) error {
	for waiting := m.Inbox.Len(); waiting > 0; waiting-- {
		if err := m.handle(<-m.Inbox.C(), now); err != nil {
			return err
		}
	}
	m.state.Tick(now)
	m.join(now)
	m.reportInForce(now)
	m.spreadChanges(nil, "")
	m.answerLeaving(now)
	if m.ticks%10 == 0 {
		m.meters.update(m.state)
	}
	m.ticks++
	return nil
}

// join ends the wait for news about the node's last incarnation: a peer has
// answered, there is nobody to ask, or the time is over.
func (m *members) join(now time.Time) {
	address := m.Address.Load()
	if m.state.Joined() || address == nil {
		return
	}
	seeds := m.Seeds.Load()
	alone := seeds != nil && len(seeds.Addresses) == 0 && seeds.Complete
	if !m.answered && !alone && now.Sub(m.started) < m.Settings.JoinWait.Duration {
		return
	}
	m.state.UpdateSelf(func(own *mesh.Member) { own.PeerAddress = address.String() })
	m.state.Join()
	m.Logger.Info().Uint64("incarnation", uint64(m.state.Self().Incarnation)).Msg("joined")
}

func (m *members) handle(in port.MembersMessage, now time.Time) error {
	if in.Event != nil {
		m.linkEvent(in.Event, now)
		return nil
	}
	m.state.RecordMessage(in.From, now)
	switch msg := in.Message.(type) {
	case wire.Heartbeat:
		m.state.SetInForce(in.From, msg.InForce)
		m.compare(in.From, msg.ViewDigest, now)
	case wire.MembersRequest:
		m.answerRequest(in.From, msg.Buckets)
	case wire.Members:
		if err := m.state.Merge(msg.Members, now); err != nil {
			return err
		}
		m.answered = m.answered || msg.Full
		m.spreadChanges(msg.Members, in.From)
	}
	return nil
}

func (m *members) linkEvent(e *port.LinkEvent, now time.Time) {
	peer := e.Hello.Node
	switch {
	case e.Up:
		m.state.LinkUp(peer, now)
		m.state.SetInForce(peer, e.Hello.InForce)
		m.repair.linkUp(peer)
		if !m.state.Joined() || e.Hello.ViewDigest != m.state.Digest() {
			m.request(peer, now)
		}
	case e.Silent:
		m.state.PeerUnreachable(peer, e.Hello.Incarnation, now)
		m.repair.linkDown(peer)
	case e.Lost:
		m.state.LinkLost(peer)
		m.repair.linkDown(peer)
	default:
		m.state.LinkClosed(peer)
		m.repair.linkDown(peer)
	}
	m.spreadChanges(nil, "")
}

func (m *members) local(l port.Local) {
	m.state.UpdateSelf(func(own *mesh.Member) { own.Endpoint = l.Endpoint })
	m.spreadChanges(nil, "")
}

// reportInForce puts the configuration version in force into the own entry,
// and spreads the entry some time later.
func (m *members) reportInForce(now time.Time) {
	if m.Snapshot == nil {
		return
	}
	snapshot := m.Snapshot.Load()
	if snapshot == nil {
		return
	}
	m.state.SetInForce(m.Identity.Node, snapshot.Version)
	switch {
	case snapshot.Version == m.spread:
	case m.spreadDue.IsZero():
		bound := max(inForceAtLeast, time.Duration(m.state.Len())*inForcePerMember)
		m.spreadDue = now.Add(time.Duration(rand.Float64() * float64(bound)))
	case !now.Before(m.spreadDue):
		m.spread, m.spreadDue = snapshot.Version, time.Time{}
		m.state.UpdateSelf(func(*mesh.Member) {})
	}
}

func (m *members) leave(ask kernel.Request[port.Leaving, struct{}], now time.Time) {
	m.state.Leave()
	m.spreadChanges(nil, "")
	m.leaving = append(m.leaving, leave{ask, now.Add(leaveWait)})
}

func (m *members) answerLeaving(now time.Time) {
	for len(m.leaving) > 0 && !now.Before(m.leaving[0].at) {
		m.leaving[0].ask.Respond(struct{}{})
		m.leaving = m.leaving[1:]
	}
}

// publish stores the view if it has changed. What is left out within
// publishEvery is stored at the next tick.
func (m *members) publish(now time.Time) {
	if view := m.state.View(); view != nil {
		m.View.Store(view)
		m.published = now
	}
}
