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

// unknownSequence is below every sequence that a server sends.
const unknownSequence = -1

// Announcement holds the fields that decide whether an announcement applies.
type Announcement struct {
	Instance  string
	StartedAt int64
	Sequence  int64
	Leaving   bool
	// LeaveNotice is set for a notice that the server leaves, which has no sequence.
	LeaveNotice bool
}

// maxStart is the end of the year 2099 as a Unix time in ms.
const maxStart = 4_102_444_800_000

// PlausibleStart reports whether a server can have started at a Unix time in ms. An absurd
// start would outrank all later ones. It is not compared with the time of day, which may
// jump.
func PlausibleStart(startedAt int64) bool { return startedAt >= 0 && startedAt < maxStart }

// Restore returns the state after the node has read the row that an earlier process of it
// wrote. What that process acknowledged binds this one: a server that was leaving stays
// so, and announcements of earlier servers stay outdated.
func (s State) Restore(row State) State {
	switch {
	case row.Instance == "":
		return s
	case s.Instance == "" || row.StartedAt > s.StartedAt && !s.leavesUndated(row):
		row.Sequence = unknownSequence
		return row
	case row.Instance == s.Instance:
		s.StartedAt = max(s.StartedAt, row.StartedAt)
		s.Leaving = s.Leaving || row.Leaving
	}
	return s
}

// IsOf reports whether the state is that of a server with an id and a start time; 0: any.
func (s State) IsOf(instance string, startedAt int64) bool {
	return s.Instance == instance && (startedAt == 0 || startedAt == s.StartedAt)
}

// leavesUndated reports whether a server left by a notice without a start time, which
// applies to the server with the same id.
func (s State) leavesUndated(row State) bool {
	return s.Leaving && s.StartedAt == 0 && s.Instance == row.Instance
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
	if s.Instance == "" || a.StartedAt > s.StartedAt {
		return State{Instance: a.Instance, StartedAt: a.StartedAt, Leaving: true}, true
	}
	if a.Instance != s.Instance || (a.StartedAt != 0 && a.StartedAt < s.StartedAt) || s.Leaving {
		return s, false
	}
	s.Leaving = true
	return s, true
}
