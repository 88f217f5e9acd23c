package linkoverlay

import (
	"context"
	"time"

	"teaselring/mesh"
	"teaselring/port"
	"teaselring/wire"
)

// push sends a message to one peer or to all. It is encoded once.
func (l *links) push(p port.Push) {
	if q, ok := p.Message.(wire.Quarantine); ok {
		l.forwardCrash(q)
		return
	}
	b, err := wire.Encode(p.Message)
	if err != nil {
		l.Logger.Error().Err(err).Msg("message not sent")
		return
	}
	if p.To != "" {
		if k := l.byNode[p.To]; k != nil {
			l.sendTo(k, b)
		}
		return
	}
	for node, k := range l.byNode {
		if node != p.Except {
			l.sendTo(k, b)
		}
	}
}

// sendTo queues a message. A peer that reads too slowly loses its link rather
// than messages, so that what a link has carried is without gaps.
func (l *links) sendTo(k *link, b []byte) {
	if k.send.Send(k.ctx, b) != nil {
		l.drop(k, errSlow)
	}
}

// heartbeat sends one to every link.
func (l *links) heartbeat() {
	l.sequence++
	own := l.Hello.Load()
	var status *port.ConfigStatus
	if l.Status != nil {
		status = l.Status.Load()
	}
	l.push(port.Push{Message: heartbeatOf(l.sequence, own, status, time.Now())})
}

// heartbeatOf tells how old the confirmation of the head is only for the
// version that the heartbeat names.
func heartbeatOf(sequence uint64, own *wire.Hello, status *port.ConfigStatus, now time.Time) wire.Heartbeat {
	h := wire.Heartbeat{Sequence: sequence, InForce: own.InForce, ViewDigest: own.ViewDigest}
	if status != nil && status.InForce == own.InForce {
		h.HeadAge = status.HeadAge(now)
	}
	return h
}

const (
	// maxCrashes bounds the memory of crashes. The largest report, of 4,096
	// calls in flight, has 37 KB; the design scale sees far fewer crashes in 10
	// minutes.
	maxCrashes = 256
	// crashFor is how long a crash is told to new links, the time of a
	// quarantine. It counts from the time in the report: a time of each
	// node's own would let a report pass between nodes for ever.
	crashFor = 10 * time.Minute
)

// crashLog remembers crashes and which peers know them. The oldest is
// forgotten when it is full.
type crashLog struct {
	known map[string]*crashEntry // by node and process
	order []string
}

type crashEntry struct {
	at      time.Time // of the crash, by the clock of its node
	heard   time.Time // by the clock of this node
	encoded []byte
	told    map[life]bool
}

// life is one life of a node: a restarted one has forgotten what it was told.
type life struct {
	node        mesh.NodeID
	incarnation mesh.Incarnation
}

func lifeOf(k *link) life { return life{k.peer.Node, k.peer.Incarnation} }

func newCrashLog() crashLog { return crashLog{known: map[string]*crashEntry{}} }

// add returns the entry of a crash and whether it is new here.
func (c *crashLog) add(q wire.Quarantine, now time.Time) (entry *crashEntry, isNew bool, err error) {
	key := string(q.Crash.Node) + "/" + q.Crash.Process
	if entry = c.known[key]; entry != nil {
		return entry, false, nil
	}
	b, err := wire.Encode(q)
	if err != nil {
		return nil, false, err
	}
	// No node tells new links of a crash for longer than crashFor, so that none
	// that is forgotten after twice that time comes back.
	for len(c.order) == maxCrashes || (len(c.order) > 0 && now.Sub(c.known[c.order[0]].heard) > 2*crashFor) {
		delete(c.known, c.order[0])
		c.order = c.order[1:]
	}
	entry = &crashEntry{at: q.Crash.At, heard: now, encoded: b, told: map[life]bool{}}
	c.known[key] = entry
	c.order = append(c.order, key)
	return entry, true, nil
}

// crashSeen hands a crash heard from a peer to the slots duty and forwards it.
func (l *links) crashSeen(c *crashSeen, now time.Time) {
	entry, isNew, err := l.crashes.add(c.quarantine, now)
	if err != nil {
		l.Logger.Error().Err(err).Msg("quarantine not kept")
		return
	}
	entry.told[c.from] = true
	if isNew && l.Crashes != nil {
		ctx, cancel := context.WithCancel(context.Background())
		cancel() // the links duty never waits for another duty
		_ = l.Crashes.Send(ctx, c.quarantine.Crash)
	}
	l.tellAll(entry)
}

// forwardCrash tells all peers of a crash beside this node.
func (l *links) forwardCrash(q wire.Quarantine) {
	entry, _, err := l.crashes.add(q, time.Now())
	if err != nil {
		l.Logger.Error().Err(err).Msg("quarantine not sent")
		return
	}
	l.tellAll(entry)
}

func (l *links) tellAll(e *crashEntry) {
	for _, k := range l.byNode {
		l.tell(k, e)
	}
}

// tellCrashes tells a new link of the crashes that still matter.
func (l *links) tellCrashes(k *link, now time.Time) {
	for _, key := range l.crashes.order {
		if e := l.crashes.known[key]; now.Sub(e.at) < crashFor {
			l.tell(k, e)
		}
	}
}

func (l *links) tell(k *link, e *crashEntry) {
	if peer := lifeOf(k); !e.told[peer] {
		e.told[peer] = true
		l.sendTo(k, e.encoded)
	}
}
