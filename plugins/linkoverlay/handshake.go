package linkoverlay

import (
	"time"

	"github.com/gorilla/websocket"

	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/result"
	"teaselring/wire"
)

// path of the links on the peers' listener.
const path = "/link"

// helloCell holds this node's Hello, kept current by the links duty.
type helloCell = kernel.Cell[wire.Hello]

// connection is a connection on which both Hellos were exchanged.
type connection struct {
	conn   *websocket.Conn
	peer   wire.Hello
	dialer mesh.NodeID
}

// exchangeHello sends this node's Hello, reads the peer's and checks it. The
// connection has no deadlines afterwards.
func exchangeHello(conn *websocket.Conn, own *wire.Hello, timeout time.Duration) (wire.Hello, error) {
	until := time.Now().Add(timeout)
	_ = conn.SetReadDeadline(until)
	_ = conn.SetWriteDeadline(until)
	conn.SetReadLimit(wire.MaxMessage)
	b, err := wire.Encode(*own)
	if err != nil {
		return wire.Hello{}, err
	}
	if err := conn.WriteMessage(websocket.BinaryMessage, b); err != nil {
		return wire.Hello{}, result.ConnectFailed.Errorf("send hello: %v", err)
	}
	_, b, err = conn.ReadMessage()
	if err != nil {
		return wire.Hello{}, result.ConnectFailed.Errorf("receive hello: %v", err)
	}
	m, err := wire.Decode(b)
	if err != nil {
		return wire.Hello{}, err
	}
	hello, ok := m.(wire.Hello)
	if !ok {
		return wire.Hello{}, result.BadMessage.Errorf("the first message is a %T, not a hello", m)
	}
	_ = conn.SetReadDeadline(time.Time{})
	return hello, checkHello(&hello, own)
}

func checkHello(peer, own *wire.Hello) error {
	switch {
	case peer.Protocol != wire.Protocol:
		return result.BadMessage.Errorf("node %q speaks protocol %d, this node %d", peer.Node, peer.Protocol, wire.Protocol)
	case peer.Node == "":
		return result.BadMessage.Errorf("the hello names no node")
	case peer.Node == own.Node:
		return result.BadRequest.Errorf("node %q linked to itself or its id is used twice", own.Node)
	}
	return nil
}
