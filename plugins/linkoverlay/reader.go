package linkoverlay

import (
	"time"

	"github.com/gorilla/websocket"

	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/result"
	"teaselring/wire"
)

// inboxes are the rings that receive messages from links.
type inboxes struct {
	events  *kernel.Ring[event]
	members port.MembersInbox
	config  port.ConfigInbox
	moves   *port.MovesInbox
	meters  *meters
}

// read is the duty that receives the messages of one link. It reports the end
// of the link to the links duty.
func (l *link) read(in *inboxes) {
	defer closeNow(l.conn)
	reason := l.readAll(in)
	_ = in.events.Send(l.ctx, event{linkEnd: &linkEnd{link: l, reason: reason}})
}

func (l *link) readAll(in *inboxes) error {
	for {
		_, b, err := l.conn.ReadMessage()
		if websocket.IsCloseError(err, websocket.CloseNormalClosure) {
			return errClosed
		}
		if err != nil {
			return errLost
		}
		now := time.Now()
		l.lastSeen.Store(&now)
		in.meters.messagesIn.Inc(1)
		in.meters.bytesIn.Inc(int64(len(b)))
		m, err := wire.Decode(b)
		if err != nil {
			return err
		}
		if err := l.dispatch(m, in); err != nil {
			return err
		}
	}
}

// dispatch sends a message to the duty that handles it. A full ring counts the
// message as refused; heartbeats repair the loss.
func (l *link) dispatch(m wire.Message, in *inboxes) error {
	from := l.peer.Node
	switch m := m.(type) {
	case wire.Heartbeat:
		_ = in.members.Send(l.ctx, port.MembersMessage{From: from, Message: m})
		l.sendToConfig(from, m, in)
	case wire.Members, wire.MembersRequest:
		_ = in.members.Send(l.ctx, port.MembersMessage{From: from, Message: m})
	case wire.ConfigOffer, wire.ConfigFetch, wire.ConfigData, wire.ConfigAck:
		l.sendToConfig(from, m, in)
	case wire.Moves, wire.EvidenceReport:
		if in.moves != nil {
			_ = in.moves.Send(l.ctx, port.MovesMessage{From: from, Message: m})
		}
	case wire.Quarantine:
		_ = in.events.Send(l.ctx, event{crash: &crashReceived{from: incarnationOf(l), quarantine: m}})
	default:
		return result.BadMessage.Errorf("unexpected message of type %T on an established link", m)
	}
	return nil
}

func (l *link) sendToConfig(from mesh.NodeID, m wire.Message, in *inboxes) {
	if in.config.Ring != nil {
		_ = in.config.Send(l.ctx, port.LinkMessage[wire.Message]{From: from, Message: m})
	}
}
