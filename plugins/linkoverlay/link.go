package linkoverlay

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/gorilla/websocket"

	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/wire"
)

// Reasons for which a link ends.
var (
	errSilent    = errors.New("the peer was silent for the heartbeat timeout")
	errLost      = errors.New("the connection broke")
	errSlow      = errors.New("the send ring is full")
	errClosed    = errors.New("the peer closed the link")
	errReplaced  = errors.New("another link to the same node replaces it")
	errNotNeeded = errors.New("the peer is not among the nodes to dial any more")
	errStopping  = errors.New("the node is stopping")
)

// goodbyeTimeout bounds the exchange of close messages. Peers answer within a
// round trip; a longer wait would only delay the stop of the node.
const goodbyeTimeout = 500 * time.Millisecond

// link is one connection to a peer. The links duty owns it; the reader and the
// writer share its connection, ring and context.
type link struct {
	conn     *websocket.Conn
	peer     wire.Hello
	dialer   mesh.NodeID            // the end that dialled
	send     *kernel.Ring[[]byte]   // encoded messages, from the links duty to the writer
	lastSeen kernel.Cell[time.Time] // time of the last message, stored by the reader

	ctx context.Context // ends with one of the reasons above
	end context.CancelCauseFunc

	unneeded time.Time // since when the peer is no target; owned by the links duty
}

func newLink(c *connection, now time.Time, sendRing int) *link {
	l := &link{
		conn:   c.conn,
		peer:   c.peer,
		dialer: c.dialer,
		send:   kernel.NewRing[[]byte]("link.send", sendRing, kernel.Refuse),
	}
	l.ctx, l.end = context.WithCancelCause(context.Background())
	l.lastSeen.Store(&now)
	return l
}

// closeNow closes the connection without waiting for the peer.
func closeNow(conn *websocket.Conn) {
	// The TLS layer would try to send an alert for up to 5 s.
	if inner, ok := conn.NetConn().(interface{ NetConn() net.Conn }); ok {
		_ = inner.NetConn().Close()
	}
	_ = conn.Close()
}

// sayGoodbye sends what is queued and a close message. The reader ends when
// the peer answers or the timeout passes. Closing at once could make the
// system drop what the peer has not read yet.
func (l *link) sayGoodbye(code int, timeout time.Duration) {
	for {
		select {
		case b := <-l.send.C():
			if l.writeOne(b, timeout) != nil {
				closeNow(l.conn)
				return
			}
			continue
		default:
		}
		break
	}
	until := time.Now().Add(goodbyeTimeout)
	text := websocket.FormatCloseMessage(code, "")
	_ = l.conn.WriteControl(websocket.CloseMessage, text, until)
	_ = l.conn.NetConn().SetReadDeadline(until)
}
