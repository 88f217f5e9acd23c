package linkoverlay

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"teaselring/decision/overlay"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/wire"
)

// Limits of dialling.
const (
	// unneededLinkTTL is how long a link to a node that is no target is kept.
	// Without it a changing view would constantly open and close links.
	unneededLinkTTL = 10 * time.Second
	// After avoidAfterFailures consecutive failures another target replaces the
	// peer for avoidDuration.
	avoidAfterFailures = 3
	avoidDuration      = 30 * time.Second
	// maxFailuresWithHints bounds the backoff from peers that reject the link with
	// hints: the hints spread the load. Without the bound, 60 nodes that started
	// together needed 16 s until each had all others in its view.
	maxFailuresWithHints = 2
	// rejoinInterval is the mean time between dials of addresses that belong to no
	// live member. For startupPeriod after its first link a node uses
	// startupRejoinInterval instead: nodes that start together first form separate
	// partitions around their seeds, and 60 nodes needed 13 to 17 s to merge at the
	// longer interval.
	rejoinInterval        = 10 * time.Second
	startupRejoinInterval = time.Second
	startupPeriod         = 30 * time.Second
	maxStoredHints        = 64
	// maxDialledLinks is the number of dialled links at which a node stops
	// rejoining, so that it has at most 24 links with 16 accepted ones.
	maxDialledLinks = 2 * overlay.DialCount
)

var backoff = overlay.Backoff{First: 500 * time.Millisecond, Max: 10 * time.Second}

// plan is the state from which the links duty selects its next dials.
type plan struct {
	view        *mesh.View // from which targets were computed
	targets     []overlay.Peer
	avoid       map[mesh.NodeID]bool
	stale       bool // avoid has changed since the targets were computed
	dialState   map[mesh.NodeID]*dialState
	seed        dialState
	hints       []string
	firstLinkAt time.Time
	rejoin      time.Time // time of the next rejoin attempt
}

// dialState is the dial state of one peer, or of all seeds together.
type dialState struct {
	incarnation  mesh.Incarnation
	failures     int
	firstFailure time.Time // of the current series of failures
	unreachable  bool      // reported to the members duty as silent
	nextDial     time.Time
	inFlight     bool
	avoidUntil   time.Time
}

func newPlan() plan {
	return plan{avoid: map[mesh.NodeID]bool{}, dialState: map[mesh.NodeID]*dialState{}}
}

// planDials sends the dial requests that are due and drops links that are no
// longer needed.
func (l *links) planDials(now time.Time) {
	l.updateTargets(now)
	for _, t := range l.plan.targets {
		l.dialTarget(t, now)
	}
	if len(l.byNode) == 0 {
		l.dialSeed(now)
	} else {
		l.dialRejoin(now)
	}
	l.dropUnneeded(now)
}

// updateTargets recomputes the targets after a change of the view or of the
// avoided peers.
func (l *links) updateTargets(now time.Time) {
	p := &l.plan
	for node, a := range p.dialState {
		avoid := now.Before(a.avoidUntil)
		if avoid != p.avoid[node] {
			p.stale = true
			if avoid {
				p.avoid[node] = true
			} else {
				delete(p.avoid, node)
				a.succeeded()
			}
		}
	}
	view := l.View.Load()
	if view == p.view && !p.stale {
		return
	}
	p.view, p.stale = view, false
	p.targets = overlay.Targets(l.Identity, dialCandidates(view), p.avoid)
	current := map[mesh.NodeID]bool{}
	for _, t := range p.targets {
		current[t.Node] = true
	}
	for node, a := range p.dialState {
		if !current[node] && !a.inFlight && !p.avoid[node] {
			delete(p.dialState, node)
		}
	}
}

// dialCandidates returns the alive and suspected members. A dial is the fastest
// way to determine whether a suspected member is alive.
func dialCandidates(view *mesh.View) []overlay.Peer {
	peers := make([]overlay.Peer, 0, len(view.Members))
	for i := range view.Members {
		if m := &view.Members[i]; m.State <= mesh.NodeSuspect && m.Node != view.Self {
			peers = append(peers, overlay.Peer{Node: m.Node, Zone: m.Zone, Region: m.Region, Address: m.PeerAddress})
		}
	}
	return peers
}

func (l *links) dialTarget(t overlay.Peer, now time.Time) {
	if l.byNode[t.Node] != nil {
		return
	}
	a := l.plan.dialState[t.Node]
	if a == nil {
		a = &dialState{nextDial: now.Add(backoff.Delay(0, rand.Float64()))}
		l.plan.dialState[t.Node] = a
	}
	if a.inFlight || now.Before(a.nextDial) {
		return
	}
	if m := l.plan.view.Member(t.Node); m != nil {
		a.incarnation = m.Incarnation
	}
	a.inFlight = l.requestDial(dialRequest{address: t.Address, node: t.Node})
}

// dialSeed dials a seed or a hint while the node has no link.
func (l *links) dialSeed(now time.Time) {
	a := &l.plan.seed
	if a.nextDial.IsZero() {
		a.nextDial = now.Add(backoff.Delay(0, rand.Float64()))
	}
	if a.inFlight || now.Before(a.nextDial) {
		return
	}
	candidates := append(l.seeds(), l.plan.hints...)
	if address := overlay.RejoinAddress(candidates, nil, l.ownAddress(), rand.Float64()); address != "" {
		l.plan.dropHint(address)
		a.inFlight = l.requestDial(dialRequest{address: address})
	}
}

// dialRejoin dials an address that belongs to no live member, to merge with the
// other side of a partition.
func (l *links) dialRejoin(now time.Time) {
	p := &l.plan
	if p.firstLinkAt.IsZero() {
		p.firstLinkAt = now
	}
	if now.Before(p.rejoin) {
		return
	}
	interval := rejoinInterval
	if now.Sub(p.firstLinkAt) < startupPeriod {
		interval = startupRejoinInterval
	}
	skip := p.rejoin.IsZero() || len(l.byNode)-l.acceptedLinks() >= maxDialledLinks
	p.rejoin = now.Add(interval/2 + time.Duration(rand.Float64()*float64(interval)))
	if skip {
		return
	}
	live := l.ownAddress()
	var dead []string
	for i := range p.view.Members {
		switch m := &p.view.Members[i]; m.State {
		case mesh.NodeDead:
			dead = append(dead, m.PeerAddress)
		case mesh.NodeAlive, mesh.NodeSuspect:
			live[m.PeerAddress] = true
		}
	}
	if address := overlay.RejoinAddress(append(l.seeds(), p.hints...), dead, live, rand.Float64()); address != "" {
		p.dropHint(address)
		l.requestDial(dialRequest{address: address, rejoin: true})
	}
}

func (l *links) ownAddress() map[string]bool {
	return map[string]bool{l.Hello.Load().PeerAddress: true}
}

func (l *links) seeds() []string {
	if s := l.Seeds.Load(); s != nil {
		return append([]string(nil), s.Addresses...)
	}
	return nil
}

func (l *links) requestDial(r dialRequest) bool {
	return l.Dials.Send(context.Background(), r) == nil
}

// dialled handles the outcome of a dial request.
func (l *links) dialled(r *dialResult, now time.Time) {
	var a *dialState // nil for a rejoin, which is not retried
	switch {
	case r.request.node != "":
		a = l.plan.dialState[r.request.node]
	case !r.request.rejoin:
		a = &l.plan.seed
	}
	if a != nil {
		a.inFlight = false
	}
	if r.conn != nil {
		l.add(r.conn, now)
		if a != nil && (r.request.node == "" || r.conn.peer.Node == r.request.node) {
			a.succeeded()
			a.nextDial = now.Add(backoff.Delay(0, rand.Float64()))
			return
		}
	} else {
		l.meters.dialFailures.Inc(1)
		l.plan.addHints(r.hints)
		l.Logger.Debug().Str("address", r.request.address).Err(r.err).Msg("dial failed")
	}
	if a != nil {
		l.dialFailed(a, r, now)
	}
}

// addHints stores addresses from rejections and keeps the newest maxStoredHints.
func (p *plan) addHints(addresses []string) {
	p.hints = append(p.hints, addresses...)
	if extra := len(p.hints) - maxStoredHints; extra > 0 {
		p.hints = p.hints[extra:]
	}
}

// dropHint removes an address that is about to be dialled.
func (p *plan) dropHint(address string) {
	p.hints = slices.DeleteFunc(p.hints, func(h string) bool { return h == address })
}

func (a *dialState) succeeded() { a.failures, a.unreachable = 0, false }

// dialFailed schedules the next attempt. A peer that is unreachable for the
// silence timeout is reported like a silent link. Another target replaces it after
// avoidAfterFailures failures or a rejection with hints.
func (l *links) dialFailed(a *dialState, r *dialResult, now time.Time) {
	if a.failures == 0 {
		a.firstFailure = now
	}
	a.failures++
	if len(r.hints) > 0 {
		a.failures = min(a.failures, maxFailuresWithHints)
	}
	a.nextDial = now.Add(backoff.Delay(a.failures, rand.Float64()))
	node := r.request.node
	if node == "" || now.Sub(a.firstFailure) < l.Settings.Silence.Duration {
		return
	}
	if a.failures >= avoidAfterFailures || len(r.hints) > 0 {
		a.avoidUntil = now.Add(avoidDuration)
	}
	peerAbsent := r.conn != nil || unreachable(r.err) // no node, or another one, is at the address
	if peerAbsent && !a.unreachable {
		a.unreachable = true
		l.reportLinkEvent(port.LinkEvent{Silent: true, Hello: wire.Hello{Node: node, Incarnation: a.incarnation}})
	}
}

// dropUnneeded drops links that this node dialled to peers that are no longer
// targets. A peer that needs the link dials itself.
func (l *links) dropUnneeded(now time.Time) {
	needed := map[mesh.NodeID]bool{}
	for _, t := range l.plan.targets {
		needed[t.Node] = true
	}
	for node, k := range l.byNode {
		switch {
		case needed[node] || k.dialer != l.Identity.Node:
			k.unneededSince = time.Time{}
		case k.unneededSince.IsZero():
			k.unneededSince = now
		case now.Sub(k.unneededSince) >= unneededLinkTTL:
			l.drop(k, errNotNeeded)
		}
	}
}
