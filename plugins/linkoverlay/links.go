package linkoverlay

import (
	"context"
	"errors"
	"sync"
	"time"

	"teaselring/decision/overlay"
	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/wire"
)

// event is a report of a dialer, the acceptor or a reader to the links duty.
// Exactly one field is set.
type event struct {
	dialled  *dialResult
	accepted *acceptResult
	linkEnd  *linkEnd
	crash    *crashReceived
}

type acceptResult struct{ conn *connection } // nil when the handshake failed

type linkEnd struct {
	link   *link
	reason error
}

type crashReceived struct {
	from       peerIncarnation
	quarantine wire.Quarantine
}

// ticksPerHeartbeat sets the resolution at which silence is detected: a fifth of
// a heartbeat, 100 ms by default.
const ticksPerHeartbeat = 5

// links is the duty that owns the set of links.
type links struct {
	dependencies
	meters  *meters
	inboxes *inboxes
	running sync.WaitGroup // readers and writers

	byNode       map[mesh.NodeID]*link
	admission    overlay.Admission
	reservations []time.Time // deadlines of the links admitted but not yet reported by the acceptor
	plan         plan
	crashes      crashLog
	unsentEvents []port.MembersMessage // events that the full members inbox refused

	ticks              uint64
	sequence           uint64 // of heartbeats
	lastTick           time.Time
	ignoreSilenceUntil time.Time // no link is dropped as silent before this time
}

func newLinks(p dependencies) *links {
	l := &links{
		dependencies: p,
		meters:       newMeters(p.Metrics),
		byNode:       map[mesh.NodeID]*link{},
		admission: overlay.Admission{
			MaxLinks:  p.Settings.MaxAccepted,
			PerSecond: float64(p.Settings.AcceptPerSecond),
		},
		plan:    newPlan(),
		crashes: newCrashLog(),
	}
	l.inboxes = &inboxes{events: p.Events, members: p.Members, config: p.Config, moves: p.Moves, meters: l.meters}
	return l
}

func (l *links) duty() kernel.Duty {
	return kernel.Duty{
		Name: "links",
		Owns: "the set of links",
		In:   []string{"links.push", "links.events", "links.accepts"},
		Out:  []string{"links.dials", "link.send", "members.updates", "config.offers", "slots.crashes"},
		Run:  l.run,
	}
}

func (l *links) run(ctx context.Context) error {
	ticker := time.NewTicker(l.Settings.Heartbeat.Duration / ticksPerHeartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			l.stop()
			return nil
		case <-ticker.C:
			l.tick(time.Now())
		case p := <-l.Push.C():
			l.push(p)
		case e := <-l.Events.C():
			l.handle(e, time.Now())
		case a := <-l.Accepts.C():
			l.accept(a, time.Now())
		}
	}
}

func (l *links) tick(now time.Time) {
	l.sendUnsentEvents()
	l.detectPause(now)
	if !l.refreshHello() {
		return
	}
	for _, k := range l.byNode {
		if now.After(l.ignoreSilenceUntil) && now.Sub(*k.lastSeen.Load()) >= l.Settings.Silence.Duration {
			l.drop(k, errSilent)
		}
	}
	l.planDials(now)
	if l.ticks%ticksPerHeartbeat == 0 {
		l.heartbeat()
	}
	l.ticks++
	l.meters.up.Update(int64(len(l.byNode)))
	l.meters.accepted.Update(int64(l.acceptedLinks()))
}

// detectPause gives the readers one heartbeat to catch up after a pause of this
// process: what the peers sent meanwhile is still in the sockets' buffers.
func (l *links) detectPause(now time.Time) {
	if !l.lastTick.IsZero() && now.Sub(l.lastTick) > l.Settings.Heartbeat.Duration {
		l.ignoreSilenceUntil = now.Add(l.Settings.Heartbeat.Duration)
	}
	l.lastTick = now
}

// refreshHello updates the Hello. It returns false until the node's address and
// the view are set.
func (l *links) refreshHello() bool {
	address, view := l.Address.Load(), l.View.Load()
	if address == nil || view == nil {
		return false
	}
	h := wire.Hello{
		Protocol: wire.Protocol, Node: l.Identity.Node, Zone: l.Identity.Zone, Region: l.Identity.Region,
		PeerAddress: address.String(), InForce: l.inForce(),
	}
	if own := view.Member(l.Identity.Node); own != nil {
		h.Incarnation = own.Incarnation
	}
	h.ViewDigest = view.Digest
	if old := l.Hello.Load(); old == nil || *old != h {
		l.Hello.Store(&h)
	}
	return true
}

func (l *links) inForce() mesh.Version {
	if l.Snapshot == nil {
		return 0
	}
	if s := l.Snapshot.Load(); s != nil {
		return s.Version
	}
	return 0
}

func (l *links) handle(e event, now time.Time) {
	switch {
	case e.dialled != nil:
		l.dialled(e.dialled, now)
	case e.accepted != nil:
		l.releaseReservation()
		if e.accepted.conn != nil {
			l.add(e.accepted.conn, now)
		}
	case e.linkEnd != nil:
		if k := e.linkEnd.link; l.byNode[k.peer.Node] == k {
			l.drop(k, e.linkEnd.reason)
		}
	case e.crash != nil:
		l.crashReceived(e.crash, now)
	}
}

// accept reserves capacity for a link that the acceptor is about to upgrade, or
// refuses it.
func (l *links) accept(a kernel.Request[acceptRequest, struct{}], now time.Time) {
	for len(l.reservations) > 0 && now.After(l.reservations[0]) {
		l.reservations = l.reservations[1:]
	}
	if err := l.admission.Admit(now, l.acceptedLinks()+len(l.reservations)); err != nil {
		l.meters.refused.Inc(1)
		a.Fail(err)
		return
	}
	// The acceptor reports within the timeouts of the upgrade, the Hello and the
	// event.
	l.reservations = append(l.reservations, now.Add(3*l.Settings.DialTimeout.Duration))
	a.Respond(struct{}{})
}

func (l *links) releaseReservation() {
	if len(l.reservations) > 0 {
		l.reservations = l.reservations[1:]
	}
}

func (l *links) acceptedLinks() int {
	n := 0
	for _, k := range l.byNode {
		if k.dialer != l.Identity.Node {
			n++
		}
	}
	return n
}

// add turns a connection into a link, unless the existing link to the same node
// is kept.
func (l *links) add(c *connection, now time.Time) {
	k := newLink(c, now, l.Settings.SendRing)
	if old := l.byNode[c.peer.Node]; old != nil {
		restarted := c.peer.Incarnation > old.peer.Incarnation
		if !restarted && !overlay.KeepNewLink(old.dialer, c.dialer, l.Identity.Node, c.peer.Node) {
			k.end(errReplaced)
			l.start(k)
			return
		}
		l.drop(old, errReplaced)
	}
	l.byNode[c.peer.Node] = k
	l.reportLinkEvent(port.LinkEvent{Up: true, Hello: c.peer})
	if l.Config.Ring != nil {
		_ = l.Config.Send(k.ctx, port.LinkMessage[wire.Message]{From: c.peer.Node, Message: c.peer})
	}
	l.Logger.Info().Str("peer", string(c.peer.Node)).Str("dialer", string(c.dialer)).Msg("link up")
	l.start(k)
	l.sendRecentCrashes(k, now)
}

// start runs the reader and the writer of a link. For a link that has already
// ended they only exchange close messages.
func (l *links) start(k *link) {
	l.running.Go(func() { k.read(l.inboxes) })
	l.running.Go(func() { k.write(l.Settings.WriteTimeout.Duration, l.meters) })
}

// drop ends a link and reports it to the members duty.
func (l *links) drop(k *link, reason error) {
	delete(l.byNode, k.peer.Node)
	k.end(reason)
	down := port.LinkEvent{Hello: k.peer}
	switch {
	case errors.Is(reason, errSilent):
		down.Silent = true
		l.meters.silent.Inc(1)
	case errors.Is(reason, errClosed), errors.Is(reason, errReplaced), errors.Is(reason, errNotNeeded):
	default:
		down.Lost = true
	}
	if errors.Is(reason, errSlow) {
		l.meters.slow.Inc(1)
	}
	l.reportLinkEvent(down)
	l.Logger.Info().Str("peer", string(k.peer.Node)).Str("reason", reason.Error()).Msg("link down")
}

// maxUnsentEvents bounds the events kept while the members inbox is full. It
// covers 24 links that each go down and up twice.
const maxUnsentEvents = 96

// reportLinkEvent sends an event to the members duty. Unlike messages, events must
// not be lost: no heartbeat repeats them.
func (l *links) reportLinkEvent(e port.LinkEvent) {
	if len(l.unsentEvents) < maxUnsentEvents {
		l.unsentEvents = append(l.unsentEvents, port.MembersMessage{From: e.Hello.Node, Event: &e})
	}
	l.sendUnsentEvents()
}

func (l *links) sendUnsentEvents() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // the links duty never waits for another duty
	for len(l.unsentEvents) > 0 && l.Members.Send(ctx, l.unsentEvents[0]) == nil {
		l.unsentEvents = l.unsentEvents[1:]
	}
}

// stop sends the queued messages, ends all links and waits for their duties.
func (l *links) stop() {
	for l.Push.Len() > 0 {
		l.push(<-l.Push.C())
	}
	for _, k := range l.byNode {
		k.end(errStopping)
	}
	l.running.Wait()
	for l.Events.Len() > 0 {
		e := <-l.Events.C()
		if e.dialled != nil && e.dialled.conn != nil {
			closeNow(e.dialled.conn.conn)
		}
		if e.accepted != nil && e.accepted.conn != nil {
			closeNow(e.accepted.conn.conn)
		}
	}
}
