package linkoverlay

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net/http"

	"github.com/gorilla/websocket"

	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/result"
)

// dialRequest asks a dialer duty to open a link.
type dialRequest struct {
	address string      // IP:port
	node    mesh.NodeID // expected at the address; empty for a seed
	rejoin  bool        // address of no live member; not retried
}

// dialResult is the outcome of a dialRequest.
type dialResult struct {
	request dialRequest
	conn    *connection // nil after a failure
	err     error
	hints   []string // other nodes' addresses, from a peer that rejected the link
}

// dialer opens links. Several duties run it and share one ring of requests.
type dialer struct {
	settings *Settings
	hello    *helloCell
	requests *kernel.Ring[dialRequest]
	events   *kernel.Ring[event]
	client   *tls.Config
}

func newDialer(s *Settings, hello *helloCell, requests *kernel.Ring[dialRequest], events *kernel.Ring[event], t port.PeerTLS) *dialer {
	client := t.Client.Clone()
	client.NextProtos = []string{"http/1.1"} // the WebSocket library does not upgrade over HTTP/2
	return &dialer{settings: s, hello: hello, requests: requests, events: events, client: client}
}

func (d *dialer) duty(name string) kernel.Duty {
	return kernel.Duty{
		Name: name,
		Owns: "the connection that it is opening",
		In:   []string{"links.dials"},
		Out:  []string{"links.events"},
		Run:  d.run,
	}
}

func (d *dialer) run(ctx context.Context) error {
	return d.requests.Each(ctx, func(r dialRequest) {
		outcome := d.dial(ctx, r)
		if err := d.events.Send(ctx, event{dialled: &outcome}); err != nil && outcome.conn != nil {
			closeNow(outcome.conn.conn)
		}
	})
}

func (d *dialer) dial(ctx context.Context, r dialRequest) dialResult {
	timeout := d.settings.DialTimeout.Duration
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ws := websocket.Dialer{TLSClientConfig: d.client, HandshakeTimeout: timeout}
	conn, response, err := ws.DialContext(ctx, "wss://"+r.address+linkPath, nil)
	if err != nil {
		return failedDial(r, response, err)
	}
	own := d.hello.Load()
	peer, err := exchangeHello(conn, own, timeout)
	if err != nil {
		closeNow(conn)
		return dialResult{request: r, err: err}
	}
	return dialResult{request: r, conn: &connection{conn: conn, peer: peer, dialer: own.Node}}
}

// failedDial returns the result of a failed dial, with the code and the hints of
// the peer if it sent them.
func failedDial(r dialRequest, response *http.Response, err error) dialResult {
	if response == nil {
		return dialResult{request: r, err: result.ConnectFailed.Errorf("dial %s: %v", r.address, err)}
	}
	var body refusalBody
	b, _ := io.ReadAll(io.LimitReader(response.Body, 4096))
	if json.Unmarshal(b, &body) != nil || body.Code == 0 {
		return dialResult{request: r, err: result.ConnectFailed.Errorf("dial %s: status %d", r.address, response.StatusCode)}
	}
	refused := result.ByNumber(body.Code).Errorf("dial %s: %s", r.address, body.Message)
	return dialResult{request: r, err: refused, hints: body.Peers[:min(len(body.Peers), maxHints)]}
}

// unreachable reports whether a dial failed because no node runs at the address,
// as opposed to a node that rejected the link.
func unreachable(err error) bool { return result.Of(err) == result.ConnectFailed }

// maxHints is the number of addresses in a rejection. Their JSON must fit into
// the 1,024 bytes that the WebSocket client keeps of an error's body.
const maxHints = 8

// refusalBody is the JSON body of the response to a rejected link.
type refusalBody struct {
	Code    int      `json:"code"`
	Name    string   `json:"name"`
	Message string   `json:"message"`
	Peers   []string `json:"peers,omitempty"` // of other nodes that may accept a link
}
