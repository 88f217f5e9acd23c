package port

import (
	"time"

	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/wire"
)

// Push requests the links duty to send a message.
type Push struct {
	To      mesh.NodeID // empty: every link
	Except  mesh.NodeID // the link that the message came from
	Message wire.Message
}

// PushRing leads to the links duty. It replaces the oldest item when full:
// heartbeats repair the loss of a message.
type PushRing = kernel.Ring[Push]

// LinkEvent reports that a link came up or went down.
type LinkEvent struct {
	Up     bool
	Hello  wire.Hello // of the peer
	Silent bool       // the peer sent nothing for the heartbeat timeout or can't be reached
	Lost   bool       // the connection broke without a close message from either end
}

// LinkMessage is a message or event received on one link.
type LinkMessage[T any] struct {
	From    mesh.NodeID
	Message T
}

// ConfigInbox leads from link readers to the config duty: ConfigOffer,
// ConfigFetch, ConfigData, ConfigAck, Heartbeat and Hello.
type ConfigInbox struct {
	*kernel.Ring[LinkMessage[wire.Message]]
}

// MembersInbox leads from link readers to the members duty: Members,
// MembersRequest, Heartbeat and LinkEvent (as Event).
type MembersInbox struct {
	*kernel.Ring[MembersMessage]
}

// MembersMessage is a message or a link event; exactly one is set.
type MembersMessage struct {
	From    mesh.NodeID
	Message wire.Message
	Event   *LinkEvent
}

// MovesInbox leads from link readers to the guard duty: Moves and EvidenceReport.
type MovesInbox = kernel.Ring[MovesMessage]

// MovesMessage is a message about moves.
type MovesMessage struct {
	From    mesh.NodeID
	Message wire.Message
}

// CrashInbox leads from link readers to the slots duty.
type CrashInbox = kernel.Ring[mesh.Crash]

// RecentCrashes requests the reports of a service's recent crashes.
type RecentCrashes struct{ Service mesh.ServiceID }

// RecentCrashesRing leads from the inbound edge to the slots duty.
type RecentCrashesRing = kernel.Ring[kernel.Request[RecentCrashes, []mesh.Crash]]

// LearnedCrashes are the reports that a starting node got from others. Until the cell
// holds a value, the slots duty starts no attempt.
type LearnedCrashes struct {
	Reports []mesh.Crash
	// CompleteAt is the time from when this node knows all recent crashes, zero if it
	// does from the start.
	CompleteAt time.Time
}

// LearnedCrashesCell is owned by the crash-learner duty.
type LearnedCrashesCell = kernel.Cell[LearnedCrashes]
