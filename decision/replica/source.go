package replica

import (
	"time"

	"teaselring/mesh"
)

// CurrentSource is the source from which a node reads its rows at present.
type CurrentSource struct {
	Store     bool        // the node reads the store
	StoreLost bool        // the store does not respond to the node
	Peer      mesh.NodeID // the node that is followed; empty: none
	// Failures is the number of candidates that did not respond since the node has had
	// no source.
	Failures int
}

// maxFailures is the number of candidates without a response after which a node without
// a source reads the store itself while it goes on with the search. After a loss of
// most machines of a zone the search takes seconds.
const maxFailures = 1

// searching reports whether the node waits for a candidate without a source.
func (c *CurrentSource) searching() bool {
	return !c.Store && c.Peer == "" && c.Failures < maxFailures
}

// Apply makes a choice the present source.
func (c *CurrentSource) Apply(choice SourceChoice) {
	c.Store = choice.ReadStore
	if choice.Peer == nil {
		c.Peer = ""
	}
	if choice.ReadStore || choice.Peer != nil {
		c.Failures = 0
	}
}

// SourceChoice is the source from which a node reads rows.
type SourceChoice struct {
	ReadStore bool         // read from the store itself
	Peer      *mesh.Member // read from this node; nil without ReadStore: no source for now
	// Probe is the node to take in place of the source if it responds and is connected to
	// the store; nil: none. The source stays in use until then.
	Probe *mesh.Member
}

// storeLostThreshold is the number of nodes without a connection to the store from
// which on it counts as lost for all. It applies to the own zone and to the other
// zones. Without it every node of a large mesh sends requests to a store that is
// down.
const storeLostThreshold = 3

// Source selects the source of a node's rows: the first node of its zone, in an
// order that is the same on all nodes; that node reads the store. Unresponsive
// nodes and nodes that lost the store are skipped. Within its zone a node only
// follows nodes before it in the order, so that no two follow each other. When
// storeLostThreshold nodes of the zone have lost the store, nodes of other zones
// are tried: the store may refuse single machines.
//
// The present source is kept while better candidates are probed, so that candidates
// that don't respond never leave the node without one.
func Source(view *mesh.View, self mesh.Identity, current CurrentSource, backoff *PeerBackoff, now time.Time) SourceChoice {
	var probe *mesh.Member
	lostCount := 0
	for _, m := range view.RankByHash("", func(m *mesh.Member) bool { return m.Zone == self.Zone }) {
		switch {
		case m.Node == self.Node:
			return lastInZone(view, current, probe, backoff, now)
		case backoff.Unresponsive(m, now):
		case backoff.StoreLost(m, now):
			if lostCount++; lostCount == storeLostThreshold {
				return sourceInOtherZone(view, self, current, probe, backoff, now)
			}
		case m.Node == current.Peer:
			return SourceChoice{Peer: m, Probe: probe}
		case current.searching():
			return SourceChoice{Probe: m}
		case probe == nil || backoff.failures(m) < backoff.failures(probe):
			probe = m // the ones that were not tried come first: pauses may end before all were
		}
	}
	return SourceChoice{ReadStore: true}
}

// lastInZone selects the source of a node that follows none of its zone. A node of
// another zone is kept until the probe has responded.
func lastInZone(view *mesh.View, current CurrentSource, probe *mesh.Member, backoff *PeerBackoff, now time.Time) SourceChoice {
	if probe != nil && current.Peer != "" {
		if m := view.Member(current.Peer); m != nil && !backoff.Unresponsive(m, now) && !backoff.StoreLost(m, now) {
			return SourceChoice{Peer: m, Probe: probe}
		}
	}
	return SourceChoice{ReadStore: true, Probe: probe}
}

// sourceInOtherZone selects the first usable node of another zone. One node that
// lost the store rules out its zone.
func sourceInOtherZone(view *mesh.View, self mesh.Identity, current CurrentSource, probe *mesh.Member, backoff *PeerBackoff, now time.Time) SourceChoice {
	readStore := current.Store && !current.StoreLost
	lostCount := 0
	triedZones := map[mesh.Zone]bool{self.Zone: true}
	for _, m := range view.RankByHash("", func(*mesh.Member) bool { return true }) {
		switch {
		case triedZones[m.Zone] || backoff.Unresponsive(m, now):
		case m.Node == current.Peer && !backoff.StoreLost(m, now):
			return SourceChoice{Peer: m, Probe: probe}
		case !backoff.StoreLost(m, now):
			if probe == nil {
				probe = m
			}
			if current.Peer == "" {
				return SourceChoice{ReadStore: readStore, Probe: probe}
			}
		default:
			triedZones[m.Zone] = true
			if lostCount++; lostCount == storeLostThreshold {
				return SourceChoice{ReadStore: readStore, Probe: probe}
			}
		}
	}
	return SourceChoice{ReadStore: readStore, Probe: probe}
}
