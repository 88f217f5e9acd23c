package membership

import (
	"slices"
	"time"

	"teaselring/mesh"
)

const (
	// quorum is the number of distinct suspecting nodes that makes a member dead.
	quorum = 2
	// maxSuspectedBy bounds the list of suspecting nodes: a node has at most
	// 24 links, so more nodes than that can't suspect it.
	maxSuspectedBy = 24
)

// watch follows a linked peer.
type watch struct {
	lastSeen time.Time // of the last message
	lost     bool      // the connection broke
}

// suspicion is the time left to a suspected member to refute.
type suspicion struct{ deadline time.Time }

// LinkUp starts to watch a peer.
func (s *State) LinkUp(peer mesh.NodeID, now time.Time) {
	s.watches[peer] = &watch{lastSeen: now}
}

// Heard notes a message of a linked peer.
func (s *State) Heard(peer mesh.NodeID, now time.Time) {
	if w := s.watches[peer]; w != nil && !w.lost {
		w.lastSeen = now
	}
}

// LinkClosed ends the watch of a peer whose link was closed on purpose.
func (s *State) LinkClosed(peer mesh.NodeID) { delete(s.watches, peer) }

// LinkLost notes a broken connection. The peer is suspected when no new link
// comes up before the silence limit.
func (s *State) LinkLost(peer mesh.NodeID) {
	if w := s.watches[peer]; w != nil {
		w.lost = true
	}
}

// LinkSilent suspects a peer that was silent on its link or can't be dialled.
// A dial that was aimed at an earlier incarnation says nothing about the
// current one. The incarnation of a link's hello is not compared, since it may
// have risen while the peer joined.
func (s *State) LinkSilent(peer mesh.NodeID, incarnation mesh.Incarnation, now time.Time) {
	e, linked := s.entries[peer], s.watches[peer] != nil
	if linked || (e != nil && e.Incarnation == incarnation) {
		s.suspect(peer, now)
	}
	delete(s.watches, peer)
}

// Tick suspects silent peers, ends suspicions that were not refuted and drops
// old tombstones. It is called every 100 ms, after everything received has
// been merged.
func (s *State) Tick(now time.Time) {
	s.allowForPause(now)
	for peer, w := range s.watches {
		if now.Sub(w.lastSeen) >= s.cfg.SuspectAfter {
			s.suspect(peer, now)
			delete(s.watches, peer)
		}
	}
	for node, x := range s.suspects {
		if !now.Before(x.deadline) {
			s.confirm(s.entries[node], now)
		}
	}
	if now.After(s.nextReap) {
		s.reap(now)
		s.nextReap = now.Add(s.cfg.TombstoneFor / 60)
	}
}

// allowForPause postpones all deadlines by a pause of this node. The peers
// were not silent during the pause; this node did not read.
func (s *State) allowForPause(now time.Time) {
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

// suspect adds this node to those that suspect the peer.
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
	s.judge(e, now)
}

// mergeSuspicion takes a suspicion or an end of the known sequence.
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
	s.judge(e, now)
}

// judge sets the state that the number of suspecting nodes asks for.
func (s *State) judge(e *entry, now time.Time) {
	if e.State == mesh.NodeDead || len(e.SuspectedBy) >= quorum {
		s.setState(e, mesh.NodeDead, now)
		return
	}
	s.setState(e, mesh.NodeSuspect, now)
}

// startSuspicion sets the deadline after which a member that only one node
// suspects is dead. That node waits until DeadAfter from the last heartbeat,
// but leaves at least three quarters of the time between suspicion and death
// for a refutation. Other nodes wait for DeadAfter as a fallback, for the case
// that the suspecting node dies too.
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
		left := max(s.cfg.DeadAfter-silentFor, (s.cfg.DeadAfter-s.cfg.SuspectAfter)*3/4)
		deadline = now.Add(left)
	}
	s.suspects[e.Node] = suspicion{deadline}
}

// confirm declares a suspected member dead. A member that lives and is watched
// by a second peer has refuted by now through that peer. Receivers of an entry
// that one node alone declared dead treat it as suspected, so that a node that
// was cut off can't make the others drop its peers.
func (s *State) confirm(e *entry, now time.Time) { s.setState(e, mesh.NodeDead, now) }

func (s *State) reap(now time.Time) {
	for node, e := range s.entries {
		if e.State >= mesh.NodeDead && node != s.self && now.Sub(e.ended) >= s.cfg.TombstoneFor {
			s.buckets[bucketOf(node)] ^= e.hash
			delete(s.entries, node)
			at := s.place(node)
			s.order = slices.Delete(s.order, at, at+1)
			s.viewDone = false
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
