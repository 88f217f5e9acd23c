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
	// unneededFor is how long a link to a node that is no target is kept. A
	// view in motion would otherwise open and close links all the time.
	unneededFor = 10 * time.Second
	// avoidAfterFailures dials in vain put another peer in its place.
	avoidAfterFailures = 3
	avoidFor           = 30 * time.Second
	// hintedFailures bounds the back-off from seeds while full nodes name
	// others: the load spreads over these. Without the bound, 60 nodes that
	// started together needed 16 s to know each other.
	hintedFailures = 2
	// rejoinEvery is the mean time between dials of addresses out of touch. In
	// the first youngFor of its life a node dials them every rejoinYoung:
	// nodes that start together first form islands around their seeds, and 60
	// nodes needed 13 to 17 s to become one at the slower pace.
	rejoinEvery  = 10 * time.Second
	rejoinYoung  = time.Second
	youngFor     = 30 * time.Second
	maxHintsHeld = 64
	// maxDialled links of its own keep a node from dialling addresses out of
	// touch, so that it has at most 24 links with 16 accepted ones.
	maxDialled = 2 * overlay.DialCount
)

var backoff = overlay.Backoff{First: 500 * time.Millisecond, Max: 10 * time.Second}

// plan is whom the links duty dials next.
type plan struct {
	view    *mesh.View // that targets were computed from
	targets []overlay.Peer
	avoid   map[mesh.NodeID]bool
	stale   bool // avoid changed since
	attempt map[mesh.NodeID]*attempt
	seed    attempt
	hints   []string
	begun   time.Time // when the node had its first link
	rejoin  time.Time // when an address out of touch is dialled next
}

// attempt is the state of dialling one peer, or any seed.
type attempt struct {
	incarnation mesh.Incarnation
	failures    int
	first       time.Time // of the failures in a row
	unreachable bool      // reported as silent
	next        time.Time
	inFlight    bool
	avoidUntil  time.Time
}

func newPlan() plan {
	return plan{avoid: map[mesh.NodeID]bool{}, attempt: map[mesh.NodeID]*attempt{}}
}

// planDials sends the dial requests that are due and ends links that are not
// needed any more.
func (l *links) planDials(now time.Time) {
	l.retarget(now)
	for _, t := range l.plan.targets {
		l.dialTarget(t, now)
	}
	if len(l.byNode) == 0 {
		l.dialSeed(now)
	} else {
		l.dialRejoin(now)
	}
	l.endUnneeded(now)
}

// retarget recomputes the targets after a change of the view or of the peers
// to avoid.
func (l *links) retarget(now time.Time) {
	p := &l.plan
	for node, a := range p.attempt {
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
	p.targets = overlay.Targets(l.Identity, dialable(view), p.avoid)
	current := map[mesh.NodeID]bool{}
	for _, t := range p.targets {
		current[t.Node] = true
	}
	for node, a := range p.attempt {
		if !current[node] && !a.inFlight && !p.avoid[node] {
			delete(p.attempt, node)
		}
	}
}

// dialable returns the members that live as far as known. Suspected ones are
// kept: a dial is the quickest way to learn more about them.
func dialable(view *mesh.View) []overlay.Peer {
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
	a := l.plan.attempt[t.Node]
	if a == nil {
		a = &attempt{next: now.Add(backoff.Delay(0, rand.Float64()))}
		l.plan.attempt[t.Node] = a
	}
	if a.inFlight || now.Before(a.next) {
		return
	}
	if m := l.plan.view.Member(t.Node); m != nil {
		a.incarnation = m.Incarnation
	}
	a.inFlight = l.request(dialRequest{address: t.Address, node: t.Node})
}

// dialSeed looks for a way into the mesh as long as there is no link.
func (l *links) dialSeed(now time.Time) {
	a := &l.plan.seed
	if a.next.IsZero() {
		a.next = now.Add(backoff.Delay(0, rand.Float64()))
	}
	if a.inFlight || now.Before(a.next) {
		return
	}
	candidates := append(l.seeds(), l.plan.hints...)
	if address := overlay.RejoinAddress(candidates, nil, l.ownAddress(), rand.Float64()); address != "" {
		l.plan.dropHint(address)
		a.inFlight = l.request(dialRequest{address: address})
	}
}

// dialRejoin tries an address that is not among the live members.
func (l *links) dialRejoin(now time.Time) {
	p := &l.plan
	if p.begun.IsZero() {
		p.begun = now
	}
	if now.Before(p.rejoin) {
		return
	}
	every := rejoinEvery
	if now.Sub(p.begun) < youngFor {
		every = rejoinYoung
	}
	wait := p.rejoin.IsZero() || len(l.byNode)-l.acceptedLinks() >= maxDialled
	p.rejoin = now.Add(every/2 + time.Duration(rand.Float64()*float64(every)))
	if wait {
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
		l.request(dialRequest{address: address, rejoin: true})
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

func (l *links) request(r dialRequest) bool {
	return l.Dials.Send(context.Background(), r) == nil
}

// dialled takes the outcome of a dial request.
func (l *links) dialled(r *dialResult, now time.Time) {
	var a *attempt // nil for a rejoin, which is not repeated
	switch {
	case r.request.node != "":
		a = l.plan.attempt[r.request.node]
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
			a.next = now.Add(backoff.Delay(0, rand.Float64()))
			return
		}
	} else {
		l.meters.dialFailures.Inc(1)
		l.plan.hint(r.hints)
		l.Logger.Debug().Str("address", r.request.address).Err(r.err).Msg("dial failed")
	}
	if a != nil {
		l.dialFailed(a, r, now)
	}
}

// hint keeps addresses that full peers named, the newest ones.
func (p *plan) hint(addresses []string) {
	p.hints = append(p.hints, addresses...)
	if extra := len(p.hints) - maxHintsHeld; extra > 0 {
		p.hints = p.hints[extra:]
	}
}

// dropHint forgets an address that is being dialled.
func (p *plan) dropHint(address string) {
	p.hints = slices.DeleteFunc(p.hints, func(h string) bool { return h == address })
}

func (a *attempt) succeeded() { a.failures, a.unreachable = 0, false }

// dialFailed sets the time of the next attempt. A peer that can't be reached
// for the silence limit is reported as a silent link is, and after a few
// attempts another peer takes its place.
func (l *links) dialFailed(a *attempt, r *dialResult, now time.Time) {
	if a.failures == 0 {
		a.first = now
	}
	a.failures++
	if len(r.hints) > 0 {
		a.failures = min(a.failures, hintedFailures)
	}
	a.next = now.Add(backoff.Delay(a.failures, rand.Float64()))
	node := r.request.node
	if node == "" || now.Sub(a.first) < l.Settings.Silence.Duration {
		return
	}
	if a.failures >= avoidAfterFailures || len(r.hints) > 0 {
		a.avoidUntil = now.Add(avoidFor)
	}
	gone := r.conn != nil || unreachable(r.err) // another node, or none, is at the address
	if gone && !a.unreachable {
		a.unreachable = true
		l.event(port.LinkEvent{Silent: true, Hello: wire.Hello{Node: node, Incarnation: a.incarnation}})
	}
}

// endUnneeded ends links that this node dialled to peers that are not among
// its targets any more. The peer dials anew if it needs the link.
func (l *links) endUnneeded(now time.Time) {
	needed := map[mesh.NodeID]bool{}
	for _, t := range l.plan.targets {
		needed[t.Node] = true
	}
	for node, k := range l.byNode {
		switch {
		case needed[node] || k.dialer != l.Identity.Node:
			k.unneeded = time.Time{}
		case k.unneeded.IsZero():
			k.unneeded = now
		case now.Sub(k.unneeded) >= unneededFor:
			l.drop(k, errNotNeeded)
		}
	}
}
