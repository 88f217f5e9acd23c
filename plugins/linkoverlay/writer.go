package linkoverlay

import (
	"context"
	"time"

	"github.com/gorilla/websocket"
)

// write is the duty that sends the messages of one link. It ends with the link or
// with a failed write, which also ends the reader.
func (l *link) write(timeout time.Duration, m *meters) {
	for {
		select {
		case b := <-l.send.C():
			if l.writeOne(b, timeout) != nil {
				closeNow(l.conn)
				return
			}
			m.messagesOut.Inc(1)
			m.bytesOut.Inc(int64(len(b)))
		case <-l.ctx.Done():
			l.finish(timeout)
			return
		}
	}
}

func (l *link) writeOne(b []byte, timeout time.Duration) error {
	_ = l.conn.SetWriteDeadline(time.Now().Add(timeout))
	return l.conn.WriteMessage(websocket.BinaryMessage, b)
}

// finish closes the connection according to the reason of the link's end. The
// close code "going away" counts as a lost link at the peer, so that a node that
// stops without leaving is suspected.
func (l *link) finish(timeout time.Duration) {
	switch context.Cause(l.ctx) {
	case errReplaced, errNotNeeded, errClosed:
		l.closeGracefully(websocket.CloseNormalClosure, timeout)
	case errStopping:
		l.closeGracefully(websocket.CloseGoingAway, timeout)
	default:
		closeNow(l.conn)
	}
}
