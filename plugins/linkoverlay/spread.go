package linkoverlay

import (
	"context"
	"time"

	"teaselring/mesh"
	"teaselring/port"
	"teaselring/wire"
)

// push encodes a message once and sends it to one peer or to all.
func (l *links) push(p port.Push) {
	if q, ok := p.Message.(wire.Quarantine); ok {
		l.reportCrash(q)
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

// sendTo queues a message. A link whose send ring is full is dropped, so that the
// messages on a link have no gaps.
func (l *links) sendTo(k *link, b []byte) {
	if k.send.Send(k.ctx, b) != nil {
		l.drop(k, errSlow)
	}
}

// heartbeat sends a heartbeat on every link.
func (l *links) heartbeat() {
	l.sequence++
	own := l.Hello.Load()
	var status *port.ConfigStatus
	if l.Status != nil {
		status = l.Status.Load()
	}
	l.push(port.Push{Message: newHeartbeat(l.sequence, own, status, time.Now())})
}

// newHeartbeat sets HeadAge only if the confirmation of the head is for the
// version in the heartbeat.
func newHeartbeat(sequence uint64, own *wire.Hello, status *port.ConfigStatus, now time.Time) wire.Heartbeat {
	h := wire.Heartbeat{Sequence: sequence, InForce: own.InForce, ViewDigest: own.ViewDigest}
	if status != nil && status.InForce == own.InForce {
		h.HeadAge = status.HeadAge(now)
	}
	return h
}

const (
	// maxCrashes bounds the memory of the crash log. The largest report, of 4,096
	// calls in flight, has 37 KB; at the design scale there are far fewer crashes
	// in 10 minutes.
	maxCrashes = 256
	// crashReportTTL is how long a crash report is sent on new links, the duration
	// of a quarantine. It counts from the time in the report: counted from the
	// receipt on each node, a report would circulate forever.
	crashReportTTL = 10 * time.Minute
)

// crashLog holds recent crash reports and, for each, the peers that have it. It
// evicts the oldest when it is full.
type crashLog struct {
	entries map[string]*crashEntry // by node and process
	order   []string
}

type crashEntry struct {
	crashedAt  time.Time // of the crash, by the clock of its node
	receivedAt time.Time // by the clock of this node
	encoded    []byte
	sentTo     map[peerIncarnation]bool
}

// peerIncarnation identifies one run of a peer's process. A restarted peer has
// lost the reports sent to it.
type peerIncarnation struct {
	node        mesh.NodeID
	incarnation mesh.Incarnation
}

func incarnationOf(k *link) peerIncarnation { return peerIncarnation{k.peer.Node, k.peer.Incarnation} }

func newCrashLog() crashLog { return crashLog{entries: map[string]*crashEntry{}} }

// add returns the entry of a crash and whether this node had no report of it.
func (c *crashLog) add(q wire.Quarantine, now time.Time) (entry *crashEntry, isNew bool, err error) {
	key := string(q.Crash.Node) + "/" + q.Crash.Process
	if entry = c.entries[key]; entry != nil {
		return entry, false, nil
	}
	b, err := wire.Encode(q)
	if err != nil {
		return nil, false, err
	}
	// No node sends a report on new links for longer than crashReportTTL, so a
	// report removed after twice that time does not return.
	for len(c.order) == maxCrashes || (len(c.order) > 0 && now.Sub(c.entries[c.order[0]].receivedAt) > 2*crashReportTTL) {
		delete(c.entries, c.order[0])
		c.order = c.order[1:]
	}
	entry = &crashEntry{crashedAt: q.Crash.At, receivedAt: now, encoded: b, sentTo: map[peerIncarnation]bool{}}
	c.entries[key] = entry
	c.order = append(c.order, key)
	return entry, true, nil
}

// crashReceived passes a peer's crash report to the slots duty and forwards it.
func (l *links) crashReceived(c *crashReceived, now time.Time) {
	entry, isNew, err := l.crashes.add(c.quarantine, now)
	if err != nil {
		l.Logger.Error().Err(err).Msg("crash report not stored")
		return
	}
	entry.sentTo[c.from] = true
	if isNew && l.Crashes != nil {
		ctx, cancel := context.WithCancel(context.Background())
		cancel() // the links duty never waits for another duty
		_ = l.Crashes.Send(ctx, c.quarantine.Crash)
	}
	l.broadcastCrash(entry)
}

// reportCrash sends a crash of this node's upstream to all peers.
func (l *links) reportCrash(q wire.Quarantine) {
	entry, _, err := l.crashes.add(q, time.Now())
	if err != nil {
		l.Logger.Error().Err(err).Msg("crash report not sent")
		return
	}
	l.broadcastCrash(entry)
}

func (l *links) broadcastCrash(e *crashEntry) {
	for _, k := range l.byNode {
		l.sendCrash(k, e)
	}
}

// sendRecentCrashes sends the reports younger than crashReportTTL on a new link.
func (l *links) sendRecentCrashes(k *link, now time.Time) {
	for _, key := range l.crashes.order {
		if e := l.crashes.entries[key]; now.Sub(e.crashedAt) < crashReportTTL {
			l.sendCrash(k, e)
		}
	}
}

func (l *links) sendCrash(k *link, e *crashEntry) {
	if peer := incarnationOf(k); !e.sentTo[peer] {
		e.sentTo[peer] = true
		l.sendTo(k, e.encoded)
	}
}
