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
	tickInterval = 100 * time.Millisecond
	// minPublishInterval limits how often the view is published during a burst of
	// changes: a copy of 1,200 members takes about 0.3 ms.
	minPublishInterval = 20 * time.Millisecond
	// maxBatch bounds the messages handled before the view is published.
	maxBatch = 256
	// leaveSpreadTime is the time from the push of the entry "left" to the response
	// to the request to leave. A message passes a link in a few milliseconds.
	leaveSpreadTime = 300 * time.Millisecond
	// When only the configuration version has changed, the push of the node's own
	// entry is delayed by a random part of spreadDelayPerMember for each member. With 1,200 members,
	// 1,000 versions a day and about 120 bytes on 14 link transmissions, an entry
	// from every node for every version would take 23 KB/s, more than a node's
	// 17 KB/s.
	spreadDelayPerMember = 500 * time.Millisecond
	minSpreadDelay       = 2 * time.Second
)

// members is the duty that owns the view.
type members struct {
	dependencies
	state       *membership.State
	antiEntropy antiEntropy
	meters      *meters

	started       time.Time
	receivedView  bool         // a peer has sent its full view
	spreadVersion mesh.Version // version in the last pushed entry of this node
	nextSpread    time.Time    // time of the next push of a newer version; zero: none pending
	leaving       []leave
	published     time.Time
	ticks         uint64
}

type leave struct {
	request   kernel.Request[port.Leaving, struct{}]
	respondAt time.Time
}

func newMembers(p dependencies) *members {
	return &members{dependencies: p, meters: newMeters(p.Metrics), antiEntropy: newAntiEntropy()}
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
	m.initSelf(time.Now())
	ticker := time.NewTicker(tickInterval)
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
		case request := <-m.Leaving.C():
			m.leave(request, time.Now())
		}
		if err != nil {
			return err
		}
		if now := time.Now(); now.Sub(m.published) >= minPublishInterval {
			m.publish(now)
		}
	}
}

// initSelf creates the node's own entry. The incarnation is the start time in ms;
// it may rise until the node joins.
func (m *members) initSelf(now time.Time) {
	m.started = now
	m.state = membership.New(mesh.Member{
		Node: m.Identity.Node, Zone: m.Identity.Zone, Region: m.Identity.Region,
		Incarnation: mesh.Incarnation(now.UnixMilli()),
	}, m.Settings.config())
	m.publish(now)
}

// receive handles a message and up to maxBatch-1 queued ones.
func (m *members) receive(in port.MembersMessage, now time.Time) error {
	for range maxBatch {
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

// tick handles the queued messages first, so that a suspicion does not expire
// while its refutation is in the inbox.
func (m *members) tick(now time.Time) error {
	for queued := m.Inbox.Len(); queued > 0; queued-- {
		if err := m.handle(<-m.Inbox.C(), now); err != nil {
			return err
		}
	}
	m.state.Tick(now)
	m.join(now)
	m.spreadInForce(now)
	m.spreadChanges(nil, "")
	m.respondToLeaving(now)
	if m.ticks%10 == 0 {
		m.meters.update(m.state)
	}
	m.ticks++
	return nil
}

// join ends the wait for the node's last incarnation when a peer has sent its
// view, there are no seeds, or join_wait has passed.
func (m *members) join(now time.Time) {
	address := m.Address.Load()
	if m.state.Joined() || address == nil {
		return
	}
	seeds := m.Seeds.Load()
	alone := seeds != nil && len(seeds.Addresses) == 0 && seeds.Complete
	if !m.receivedView && !alone && now.Sub(m.started) < m.Settings.JoinWait.Duration {
		return
	}
	m.state.UpdateSelf(func(own *mesh.Member) { own.PeerAddress = address.String() })
	m.state.Join()
	m.Logger.Info().Uint64("incarnation", uint64(m.state.Self().Incarnation)).Msg("joined")
}

func (m *members) handle(in port.MembersMessage, now time.Time) error {
	if in.Event != nil {
		m.handleLinkEvent(in.Event, now)
		return nil
	}
	m.state.RecordMessage(in.From, now)
	switch msg := in.Message.(type) {
	case wire.Heartbeat:
		m.state.SetInForce(in.From, msg.InForce)
		m.compareDigest(in.From, msg.ViewDigest, now)
	case wire.MembersRequest:
		m.handleRequest(in.From, msg.Buckets)
	case wire.Members:
		if err := m.state.Merge(msg.Members, now); err != nil {
			return err
		}
		m.receivedView = m.receivedView || msg.Full
		m.spreadChanges(msg.Members, in.From)
	}
	return nil
}

func (m *members) handleLinkEvent(e *port.LinkEvent, now time.Time) {
	peer := e.Hello.Node
	switch {
	case e.Up:
		m.state.LinkUp(peer, now)
		m.state.SetInForce(peer, e.Hello.InForce)
		m.antiEntropy.linkUp(peer)
		if !m.state.Joined() || e.Hello.ViewDigest != m.state.Digest() {
			m.request(peer, now)
		}
	case e.Silent:
		m.state.PeerUnreachable(peer, e.Hello.Incarnation, now)
		m.antiEntropy.linkDown(peer)
	case e.Lost:
		m.state.LinkLost(peer)
		m.antiEntropy.linkDown(peer)
	default:
		m.state.LinkClosed(peer)
		m.antiEntropy.linkDown(peer)
	}
	m.spreadChanges(nil, "")
}

func (m *members) local(l port.Local) {
	m.state.UpdateSelf(func(own *mesh.Member) { own.Endpoint = l.Endpoint })
	m.spreadChanges(nil, "")
}

// spreadInForce puts the configuration version in force into the node's own entry
// and pushes the entry after a random delay.
func (m *members) spreadInForce(now time.Time) {
	if m.Snapshot == nil {
		return
	}
	snapshot := m.Snapshot.Load()
	if snapshot == nil {
		return
	}
	m.state.SetInForce(m.Identity.Node, snapshot.Version)
	switch {
	case snapshot.Version == m.spreadVersion:
	case m.nextSpread.IsZero():
		bound := max(minSpreadDelay, time.Duration(m.state.Len())*spreadDelayPerMember)
		m.nextSpread = now.Add(time.Duration(rand.Float64() * float64(bound)))
	case !now.Before(m.nextSpread):
		m.spreadVersion, m.nextSpread = snapshot.Version, time.Time{}
		m.state.UpdateSelf(func(*mesh.Member) {})
	}
}

func (m *members) leave(request kernel.Request[port.Leaving, struct{}], now time.Time) {
	m.state.Leave()
	m.spreadChanges(nil, "")
	m.leaving = append(m.leaving, leave{request, now.Add(leaveSpreadTime)})
}

func (m *members) respondToLeaving(now time.Time) {
	for len(m.leaving) > 0 && !now.Before(m.leaving[0].respondAt) {
		m.leaving[0].request.Respond(struct{}{})
		m.leaving = m.leaving[1:]
	}
}

// publish stores the view if it has changed. Changes within minPublishInterval
// are published at a later tick.
func (m *members) publish(now time.Time) {
	if view := m.state.View(); view != nil {
		m.View.Store(view)
		m.published = now
	}
}
