// Package presence decides which announcements of a server to apply. They may arrive
// late, out of order, or from an earlier process at the same address.
package presence

// State is the last known state of the server beside the node.
type State struct {
	Instance  string
	StartedAt int64 // start time of the server, in ms
	Sequence  int64
	Leaving   bool // draining or left; permanent until a restart
}

// Announcement holds the fields that decide whether an announcement applies.
type Announcement struct {
	Instance  string
	StartedAt int64
	Sequence  int64
	Leaving   bool
	// LeaveNotice is set for a notice that the server leaves, which has no sequence.
	LeaveNotice bool
}

// Next returns the state after an announcement, and whether the announcement
// applies. An outdated one leaves the state unchanged.
func Next(s State, a Announcement) (State, bool) {
	if a.LeaveNotice {
		return s.applyLeaveNotice(a)
	}
	next := State{Instance: a.Instance, StartedAt: a.StartedAt, Sequence: a.Sequence, Leaving: a.Leaving}
	switch {
	case s.Instance == "" || a.StartedAt > s.StartedAt:
		return next, true
	case a.StartedAt < s.StartedAt, a.Instance != s.Instance, a.Sequence <= s.Sequence:
		return s, false
	}
	next.Leaving = s.Leaving || a.Leaving
	return next, true
}

// applyLeaveNotice applies a notice that the server leaves. Without a start time, it
// applies to the server with the same id.
func (s State) applyLeaveNotice(a Announcement) (State, bool) {
	if a.StartedAt > s.StartedAt {
		return State{Instance: a.Instance, StartedAt: a.StartedAt, Leaving: true}, true
	}
	if a.Instance != s.Instance || (a.StartedAt != 0 && a.StartedAt < s.StartedAt) || s.Leaving {
		return s, false
	}
	s.Leaving = true
	return s, true
}
