package membership

import (
	"slices"
	"time"

	"teaselring/mesh"
)

const (
	// quorum is the number of distinct suspecting nodes from which on a member is
	// dead.
	quorum = 2
	// maxSuspectedBy bounds the list of suspecting nodes: a node has at most 24
	// links, so no more nodes can suspect it.
	maxSuspectedBy = 24
)

// linkWatch tracks the activity of a linked peer.
type linkWatch struct {
	lastSeen time.Time // time of the last message
	broken   bool      // the connection broke
}

// suspicion holds the deadline by which a suspected member must refute.
type suspicion struct{ deadline time.Time }

// LinkUp starts watching a peer.
func (s *State) LinkUp(peer mesh.NodeID, now time.Time) {
	s.watches[peer] = &linkWatch{lastSeen: now}
}

// RecordMessage records that a linked peer sent a message.
func (s *State) RecordMessage(peer mesh.NodeID, now time.Time) {
	if w := s.watches[peer]; w != nil && !w.broken {
		w.lastSeen = now
	}
}

// LinkClosed stops watching a peer whose link was closed on purpose.
func (s *State) LinkClosed(peer mesh.NodeID) { delete(s.watches, peer) }

// LinkLost records a broken connection. The peer is suspected when no new link is
// established within SuspectAfter of its last message.
func (s *State) LinkLost(peer mesh.NodeID) {
	if w := s.watches[peer]; w != nil {
		w.broken = true
	}
}

// PeerUnreachable suspects a peer that was silent on its link or can't be dialled.
// A failed dial to an earlier incarnation is ignored, since it is no evidence about
// the current one. For a linked peer the incarnation of its hello is not compared,
// since it may have risen while the peer joined.
func (s *State) PeerUnreachable(peer mesh.NodeID, incarnation mesh.Incarnation, now time.Time) {
	e, linked := s.entries[peer], s.watches[peer] != nil
	if linked || (e != nil && e.Incarnation == incarnation) {
		s.suspect(peer, now)
	}
	delete(s.watches, peer)
}

// Tick suspects silent peers, declares members dead whose suspicion has expired
// and drops old tombstones. It is called every 100 ms, after all received entries
// were merged.
func (s *State) Tick(now time.Time) {
	s.compensatePause(now)
	for peer, w := range s.watches {
		if now.Sub(w.lastSeen) >= s.cfg.SuspectAfter {
			s.suspect(peer, now)
			delete(s.watches, peer)
		}
	}
	for node, x := range s.suspects {
		if !now.Before(x.deadline) {
			s.declareDead(s.entries[node], now)
		}
	}
	if now.After(s.nextReap) {
		s.reap(now)
		s.nextReap = now.Add(s.cfg.TombstoneFor / 60)
	}
}

// compensatePause postpones all deadlines by the length of a pause of this node,
// in which it read no messages.
func (s *State) compensatePause(now time.Time) {
	gap := now.Sub(s.lastTick)
	first := s.lastTick.IsZero()
	s.lastTick = now
	if first || gap < s.cfg.PauseLimit {
		return
	}
	s.counts.Pauses++
	for _, w := range s.watches {
		w.lastSeen = w.lastSeen.Add(gap)
	}
	for node, x := range s.suspects {
		s.suspects[node] = suspicion{x.deadline.Add(gap)}
	}
}

// suspect adds this node to the suspecting nodes of a peer.
func (s *State) suspect(peer mesh.NodeID, now time.Time) {
	e := s.entries[peer]
	if e == nil || peer == s.self || e.State >= mesh.NodeDead || slices.Contains(e.SuspectedBy, s.self) {
		return
	}
	s.counts.Suspicions++
	if e.State == mesh.NodeAlive {
		e.SuspectedBy = nil
	}
	e.SuspectedBy = union(e.SuspectedBy, []mesh.NodeID{s.self})
	s.evaluateSuspicion(e, now)
}

// mergeSuspicion merges the state of an entry with the known incarnation and
// sequence.
func (s *State) mergeSuspicion(e *entry, m *mesh.Member, now time.Time) {
	if m.State == mesh.NodeLeft {
		if e.State != mesh.NodeLeft {
			s.setState(e, mesh.NodeLeft, now)
		}
		return
	}
	if m.State == mesh.NodeAlive || e.State == mesh.NodeLeft {
		return
	}
	by := union(e.SuspectedBy, m.SuspectedBy)
	if len(by) == len(e.SuspectedBy) && e.State != mesh.NodeAlive {
		return
	}
	e.SuspectedBy = by
	s.evaluateSuspicion(e, now)
}

// evaluateSuspicion sets the state according to the number of suspecting nodes.
func (s *State) evaluateSuspicion(e *entry, now time.Time) {
	if e.State == mesh.NodeDead || len(e.SuspectedBy) >= quorum {
		s.setState(e, mesh.NodeDead, now)
		return
	}
	s.setState(e, mesh.NodeSuspect, now)
}

// startSuspicion sets the deadline after which a member that a single node suspects
// is dead. On the suspecting node it is DeadAfter from the last message, but at
// least three quarters of the time between SuspectAfter and DeadAfter remain for a
// refutation. On other nodes it is DeadAfter from now, a fallback in case the
// suspecting node dies too.
func (s *State) startSuspicion(e *entry, now time.Time) {
	if _, running := s.suspects[e.Node]; running && !slices.Contains(e.SuspectedBy, s.self) {
		return
	}
	deadline := now.Add(s.cfg.DeadAfter)
	if slices.Contains(e.SuspectedBy, s.self) {
		silentFor := s.cfg.SuspectAfter
		if w := s.watches[e.Node]; w != nil {
			silentFor = now.Sub(w.lastSeen)
		}
		remaining := max(s.cfg.DeadAfter-silentFor, (s.cfg.DeadAfter-s.cfg.SuspectAfter)*3/4)
		deadline = now.Add(remaining)
	}
	s.suspects[e.Node] = suspicion{deadline}
}

// declareDead marks a suspected member as dead. A live member with a link to a
// second peer has refuted through that peer by now. Nodes that receive an entry
// declared dead by a single node treat it as suspected, so that a partitioned node
// can't make the others drop its peers.
func (s *State) declareDead(e *entry, now time.Time) { s.setState(e, mesh.NodeDead, now) }

func (s *State) reap(now time.Time) {
	for node, e := range s.entries {
		if e.State >= mesh.NodeDead && node != s.self && now.Sub(e.endedAt) >= s.cfg.TombstoneFor {
			s.buckets[bucketOf(node)] ^= e.hash
			delete(s.entries, node)
			at := s.indexOf(node)
			s.order = slices.Delete(s.order, at, at+1)
			s.viewCurrent = false
		}
	}
}

// union returns the sorted distinct ids of both lists, at most maxSuspectedBy.
func union(a, b []mesh.NodeID) []mesh.NodeID {
	all := slices.Concat(a, b)
	slices.Sort(all)
	all = slices.Compact(all)
	return all[:min(len(all), maxSuspectedBy)]
}
