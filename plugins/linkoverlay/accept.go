package linkoverlay

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"

	"github.com/gorilla/websocket"

	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/result"
)

// acceptRequest asks the links duty to reserve capacity for one more accepted
// link. The reservation ends with the reported outcome or a timeout.
type acceptRequest struct{}

// acceptor handles link requests on the peers' listener.
type acceptor struct {
	settings *Settings
	hello    *helloCell
	view     *port.ViewCell
	accepts  *kernel.Ring[kernel.Request[acceptRequest, struct{}]]
	events   *kernel.Ring[event]
	upgrader websocket.Upgrader
}

func newAcceptor(s *Settings, hello *helloCell, view *port.ViewCell, accepts *kernel.Ring[kernel.Request[acceptRequest, struct{}]], events *kernel.Ring[event]) *acceptor {
	return &acceptor{
		settings: s, hello: hello, view: view, accepts: accepts, events: events,
		upgrader: websocket.Upgrader{HandshakeTimeout: s.DialTimeout.Duration},
	}
}

func (a *acceptor) routes() []port.PeerRoute {
	return []port.PeerRoute{{Method: http.MethodGet, Path: linkPath, Handler: a}}
}

// ServeHTTP upgrades a request to a link if the links duty admits it.
func (a *acceptor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), a.settings.DialTimeout.Duration)
	defer cancel()
	own := a.hello.Load()
	if own == nil {
		a.reject(w, result.TooManyLinks.Errorf("the node is starting"))
		return
	}
	if _, err := kernel.Do(ctx, a.accepts, acceptRequest{}); err != nil {
		a.reject(w, err)
		return
	}
	accepted := event{accepted: &acceptResult{}}
	if conn, err := a.upgrader.Upgrade(w, r, nil); err == nil {
		peer, err := exchangeHello(conn, own, a.settings.DialTimeout.Duration)
		if err == nil {
			accepted.accepted.conn = &connection{conn: conn, peer: peer, dialer: peer.Node}
		} else {
			closeNow(conn)
		}
	}
	// The upgrade may have cancelled the request's context.
	sendCtx, stop := context.WithTimeout(context.Background(), a.settings.DialTimeout.Duration)
	defer stop()
	if a.events.Send(sendCtx, accepted) != nil && accepted.accepted.conn != nil {
		closeNow(accepted.accepted.conn.conn)
	}
}

// reject responds with the code and with addresses of other nodes, so that a
// node whose only seed has no capacity can still join the mesh.
func (a *acceptor) reject(w http.ResponseWriter, err error) {
	e := result.AsError(err)
	body := refusalBody{Code: e.Code.Number, Name: e.Code.Name, Message: e.Message, Peers: randomPeers(a.view.Load(), maxHints)}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(e.Code.Status)
	_ = json.NewEncoder(w).Encode(body)
}

// randomPeers returns the addresses of up to n random live members.
func randomPeers(view *mesh.View, n int) []string {
	if view == nil {
		return nil
	}
	var list []string
	for _, i := range rand.Perm(len(view.Members)) {
		m := &view.Members[i]
		if m.State == mesh.NodeAlive && m.Node != view.Self && m.PeerAddress != "" {
			list = append(list, m.PeerAddress)
		}
		if len(list) == n {
			break
		}
	}
	return list
}
