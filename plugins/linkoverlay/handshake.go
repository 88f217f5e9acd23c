package linkoverlay

import (
	"time"

	"github.com/gorilla/websocket"

	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/result"
	"teaselring/wire"
)

// linkPath is the path of links on the peers' listener.
const linkPath = "/link"

// helloCell holds this node's current Hello. The links duty owns it.
type helloCell = kernel.Cell[wire.Hello]

// connection is a connection after the exchange of Hellos.
type connection struct {
	conn   *websocket.Conn
	peer   wire.Hello
	dialer mesh.NodeID
}

// exchangeHello sends this node's Hello and returns the peer's after checking it.
// The connection has no read deadline afterwards.
func exchangeHello(conn *websocket.Conn, own *wire.Hello, timeout time.Duration) (wire.Hello, error) {
	deadline := time.Now().Add(timeout)
	_ = conn.SetReadDeadline(deadline)
	_ = conn.SetWriteDeadline(deadline)
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
		return result.BadMessage.Errorf("node %q uses protocol %d, this node %d", peer.Node, peer.Protocol, wire.Protocol)
	case peer.Node == "":
		return result.BadMessage.Errorf("the hello has no node id")
	case peer.Node == own.Node:
		return result.BadRequest.Errorf("node %q dialled itself, or its id is used twice", own.Node)
	}
	return nil
}
