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

// Reasons for the end of a link.
var (
	errSilent    = errors.New("the peer sent nothing within the silence timeout")
	errLost      = errors.New("the connection was lost")
	errSlow      = errors.New("the send ring is full")
	errClosed    = errors.New("the peer closed the link")
	errReplaced  = errors.New("replaced by another link to the same node")
	errNotNeeded = errors.New("the peer is no longer a dial target")
	errStopping  = errors.New("the node is stopping")
)

// closeTimeout bounds the exchange of close messages. It takes one round trip; a
// longer wait would only delay the shutdown of the node.
const closeTimeout = 500 * time.Millisecond

// link is a connection to a peer. The links duty owns it; the reader and the
// writer share its connection, ring and context.
type link struct {
	conn     *websocket.Conn
	peer     wire.Hello
	dialer   mesh.NodeID            // the node that dialled
	send     *kernel.Ring[[]byte]   // encoded messages, from the links duty to the writer
	lastSeen kernel.Cell[time.Time] // receipt of the last message, stored by the reader

	ctx context.Context // cancelled with one of the reasons above
	end context.CancelCauseFunc

	unneededSince time.Time // when the peer ceased to be a dial target, zero if it is one; used only by the links duty
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
	// Closing the TLS connection may block for up to 5 s while it sends an alert.
	if inner, ok := conn.NetConn().(interface{ NetConn() net.Conn }); ok {
		_ = inner.NetConn().Close()
	}
	_ = conn.Close()
}

// closeGracefully sends the queued messages and a close message. The reader ends
// with the peer's close message or at the timeout. An immediate close could make
// the system discard data that the peer has not read yet.
func (l *link) closeGracefully(code int, timeout time.Duration) {
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
	deadline := time.Now().Add(closeTimeout)
	text := websocket.FormatCloseMessage(code, "")
	_ = l.conn.WriteControl(websocket.CloseMessage, text, deadline)
	_ = l.conn.NetConn().SetReadDeadline(deadline)
}
