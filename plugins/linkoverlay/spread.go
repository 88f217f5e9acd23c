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

// maxCrashes bounds the memory of forwarded crashes. Quarantine lasts 10
// minutes, in which the design scale sees far fewer crashes.
const maxCrashes = 1024

// crashLog remembers which crashes went to which peers. The oldest is
// forgotten when it is full.
type crashLog struct {
	told  map[string]map[mesh.NodeID]bool // by node and process
	order []string
}

func newCrashLog() crashLog { return crashLog{told: map[string]map[mesh.NodeID]bool{}} }

// of returns the peers that know a crash, and whether it is new here.
func (c *crashLog) of(crash *mesh.Crash) (told map[mesh.NodeID]bool, isNew bool) {
	key := string(crash.Node) + "/" + crash.Process
	if told = c.told[key]; told != nil {
		return told, false
	}
	if len(c.order) == maxCrashes {
		delete(c.told, c.order[0])
		c.order = c.order[1:]
	}
	told = map[mesh.NodeID]bool{}
	c.told[key] = told
	c.order = append(c.order, key)
	return told, true
}

// crashSeen hands a crash heard from a peer to the slots duty and forwards it.
func (l *links) crashSeen(c *crashSeen) {
	told, isNew := l.crashes.of(&c.quarantine.Crash)
	told[c.from] = true
	if isNew && l.Crashes != nil {
		ctx, cancel := context.WithCancel(context.Background())
		cancel() // the links duty never waits for another duty
		_ = l.Crashes.Send(ctx, c.quarantine.Crash)
	}
	l.forwardCrash(c.quarantine)
}

// forwardCrash sends a crash to every link that does not know it.
func (l *links) forwardCrash(q wire.Quarantine) {
	told, _ := l.crashes.of(&q.Crash)
	b, err := wire.Encode(q)
	if err != nil {
		l.Logger.Error().Err(err).Msg("quarantine not sent")
		return
	}
	for node, k := range l.byNode {
		if !told[node] {
			told[node] = true
			l.sendTo(k, b)
		}
	}
}
