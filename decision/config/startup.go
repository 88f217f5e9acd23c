package config

import (
	"time"

	"teaselring/mesh"
)

// Start-up without the platform.
const (
	// StartReports is how many peers must have reported their version before a
	// restarted node takes one from them, so that one lagging peer that answers
	// first can't set it back.
	StartReports = 3
	// SettleTime is how long reports are collected after the first one.
	SettleTime = time.Second
	// confirmMargin covers the time that a peer's heartbeat takes to arrive,
	// which makes its confirmation of the head look newer than it is.
	confirmMargin = time.Second
)

// startup collects what is needed to choose the first version of a process.
type startup struct {
	begun     time.Time
	headKnown bool // read from the platform after begun, by this node or a peer
	head      mesh.Version
	down      bool // the platform did not answer the first read

	reports    map[mesh.NodeID]mesh.Version
	first      time.Time    // first report
	remembered mesh.Version // highest version that a peer remembers this node had in force
}

func newStartup(now time.Time) startup {
	return startup{begun: now, reports: map[mesh.NodeID]mesh.Version{}}
}

// knowHead notes a head that was read after the process began. It is at least
// as high as any version that an earlier life of the node had in force.
func (u *startup) knowHead(v mesh.Version) {
	u.headKnown, u.head = true, max(u.head, v)
}

// PlatformDown notes that the platform did not answer a read of the head.
func (s *Store) PlatformDown() { s.start.down = true }

// Reported notes the version that a peer holds, 0 for none, and the highest
// version that it remembers this node had in force. It matters only until the
// first version is in force.
func (s *Store) Reported(now time.Time, peer mesh.NodeID, version, remembered mesh.Version) {
	if s.active != nil {
		return
	}
	if s.start.first.IsZero() {
		s.start.first = now
	}
	s.start.reports[peer] = max(s.start.reports[peer], version)
	s.start.remembered = max(s.start.remembered, remembered)
}

// allows reports whether a version that came from peers may be the first one
// in force.
func (u *startup) allows(v mesh.Version, now time.Time, known int) bool {
	if v < u.remembered {
		return false
	}
	if u.headKnown {
		return v >= u.head
	}
	return u.down && u.settled(now, known) && v >= u.highest()
}

func (u *startup) settled(now time.Time, known int) bool {
	needed := min(StartReports, max(known, 1))
	return len(u.reports) >= needed && now.Sub(u.first) >= SettleTime
}

func (u *startup) highest() mesh.Version {
	var highest mesh.Version
	for _, v := range u.reports {
		highest = max(highest, v)
	}
	return highest
}
