package config

import (
	"time"

	"teaselring/mesh"
)

// Limits of a start without the platform.
const (
	// MinStartupReports is the number of peers (all, if there are fewer) that must
	// report their version before a restarted node takes one from them, so that
	// one lagging peer that responds first can't set it back.
	MinStartupReports = 3
	// SettleTime is how long reports are collected after the first report.
	SettleTime = time.Second
	// confirmMargin covers the transit time of a peer's heartbeat, which makes its
	// confirmation of the head look newer than it is.
	confirmMargin = time.Second
)

// startup holds the state from which the first version of a process is chosen.
type startup struct {
	startedAt    time.Time
	headKnown    bool // read from the platform after startedAt, by this node or a peer
	head         mesh.Version
	platformDown bool // a read of the head failed

	reports       map[mesh.NodeID]mesh.Version
	firstReportAt time.Time    // zero: none yet
	remembered    mesh.Version // highest version in force here that a peer remembers
}

func newStartup(now time.Time) startup {
	return startup{startedAt: now, reports: map[mesh.NodeID]mesh.Version{}}
}

// observeHead records a head that was read after the process started. It is at
// least as high as any version that earlier processes of the node had in force.
func (u *startup) observeHead(v mesh.Version) {
	u.headKnown, u.head = true, max(u.head, v)
}

// PlatformDown records that the platform did not respond to a read of the head.
func (s *Store) PlatformDown() { s.start.platformDown = true }

// RecordPeerReport records the version that a peer holds, 0 for none, and the
// highest version that the peer remembers this node had in force. It has no
// effect once a version is in force.
func (s *Store) RecordPeerReport(now time.Time, peer mesh.NodeID, version, remembered mesh.Version) {
	if s.active != nil {
		return
	}
	if s.start.firstReportAt.IsZero() {
		s.start.firstReportAt = now
	}
	s.start.reports[peer] = max(s.start.reports[peer], version)
	s.start.remembered = max(s.start.remembered, remembered)
}

// mayActivate reports whether a version received from peers may be the first
// version in force.
func (u *startup) mayActivate(v mesh.Version, now time.Time, peerCount int) bool {
	if v < u.remembered {
		return false
	}
	if u.headKnown {
		return v >= u.head
	}
	return u.platformDown && u.settled(now, peerCount) && v >= u.highest()
}

func (u *startup) settled(now time.Time, peerCount int) bool {
	needed := min(MinStartupReports, max(peerCount, 1))
	return len(u.reports) >= needed && now.Sub(u.firstReportAt) >= SettleTime
}

func (u *startup) highest() mesh.Version {
	var highest mesh.Version
	for _, v := range u.reports {
		highest = max(highest, v)
	}
	return highest
}
