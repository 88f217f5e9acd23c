package linkoverlay

import (
	"context"
	"time"

	"github.com/gorilla/websocket"
)

// writer is the duty that sends the messages of one link. It ends with the
// link, or with a failed write; the reader then notices the closed connection.
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

// finish closes the connection as the reason of the end asks for. A peer that
// hears "going away" treats the link as lost, so that a node that stops
// without having left is suspected.
func (l *link) finish(timeout time.Duration) {
	switch context.Cause(l.ctx) {
	case errReplaced, errNotNeeded, errClosed:
		l.sayGoodbye(websocket.CloseNormalClosure, timeout)
	case errStopping:
		l.sayGoodbye(websocket.CloseGoingAway, timeout)
	default:
		closeNow(l.conn)
	}
}
