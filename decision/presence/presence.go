// Package presence decides which of a server's announcements count. They may
// arrive late, out of order, or from an earlier start of a server at the same
// address.
package presence

// State is what is known about the server beside the node.
type State struct {
	Instance string
	Born     int64 // of the server's start, in ms
	Sequence int64
	Leaving  bool // draining or left; final for one start
}

// Announcement is what orders announcements.
type Announcement struct {
	Instance string
	Born     int64
	Sequence int64
	Leaving  bool
	// Final is set for a notice that the server leaves, which has no sequence.
	Final bool
}

// Next returns the state after an announcement, and whether the announcement
// counts. One that is older than what is known changes nothing.
func Next(s State, a Announcement) (State, bool) {
	if a.Final {
		return s.leave(a)
	}
	fresh := State{Instance: a.Instance, Born: a.Born, Sequence: a.Sequence, Leaving: a.Leaving}
	switch {
	case s.Instance == "" || a.Born > s.Born:
		return fresh, true
	case a.Born < s.Born, a.Instance != s.Instance, a.Sequence <= s.Sequence:
		return s, false
	}
	fresh.Leaving = s.Leaving || a.Leaving
	return fresh, true
}

// leave applies a notice of leaving. One without a start counts for the server
// known under the same id.
func (s State) leave(a Announcement) (State, bool) {
	if a.Born > s.Born {
		return State{Instance: a.Instance, Born: a.Born, Leaving: true}, true
	}
	if a.Instance != s.Instance || (a.Born != 0 && a.Born < s.Born) || s.Leaving {
		return s, false
	}
	s.Leaving = true
	return s, true
}
