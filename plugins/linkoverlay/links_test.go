package linkoverlay

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"time"

	"github.com/gorilla/websocket"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/fx"

	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/wire"
)

var _ = Describe("a node and a peer of its links", func() {
	var (
		view   *port.ViewCell
		inbox  port.MembersInbox
		config port.ConfigInbox
		push   *port.PushRing
		url    string
	)
	hello := wire.Hello{Protocol: wire.Protocol, Node: "peer", Incarnation: 4, PeerAddress: "127.0.0.1:1"}

	BeforeEach(func() {
		settings, err := kernel.Parse("test", []byte("[link.overlay]\nsend_ring = 16\n"))
		Expect(err).NotTo(HaveOccurred())
		view = &port.ViewCell{}
		view.Store(&mesh.View{Self: "me", Members: []mesh.Member{{Node: "me", Incarnation: 9, State: mesh.NodeAlive}}})
		address := &port.PeerAddressCell{}
		own := netip.MustParseAddrPort("127.0.0.1:2")
		address.Store(&own)
		config = port.ConfigInbox{Ring: kernel.NewRing[port.LinkMessage[wire.Message]]("config.offers", 64, kernel.Refuse)}
		var handler http.Handler
		app := fx.New(
			kernel.Options(settings, kernel.NewLogger(GinkgoWriter)),
			fx.Supply(mesh.Identity{Node: "me"}, view, address, &port.SeedsCell{}, config),
			fx.Supply(port.PeerTLS{Client: &tls.Config{InsecureSkipVerify: true}}),
			kernel.ProvideRing[port.MembersMessage]("members.updates", 64, kernel.Refuse),
			fx.Provide(func(r *kernel.Ring[port.MembersMessage]) port.MembersInbox { return port.MembersInbox{Ring: r} }),
			fx.Populate(&inbox, &push),
			fx.Invoke(func(a *acceptor) { handler = a }),
		)
		Expect(app.Start(context.Background())).To(Succeed())
		server := httptest.NewTLSServer(handler)
		url = "wss://" + server.Listener.Addr().String() + linkPath
		DeferCleanup(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			Expect(app.Stop(ctx)).To(Succeed())
			server.Close()
		})
	})

	// connect opens a connection and sends h.
	connect := func(h wire.Hello) *websocket.Conn {
		dialer := websocket.Dialer{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}
		var conn *websocket.Conn
		Eventually(func() (err error) { // until the links duty has stored its own Hello
			conn, _, err = dialer.Dial(url, nil)
			return err
		}, "5s").Should(Succeed())
		DeferCleanup(func() { _ = conn.Close() })
		b, err := wire.Encode(h)
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.WriteMessage(websocket.BinaryMessage, b)).To(Succeed())
		return conn
	}
	next := func() port.MembersMessage {
		var in port.MembersMessage
		Eventually(inbox.C(), "10s").Should(Receive(&in))
		return in
	}
	linked := func() *websocket.Conn {
		conn := connect(hello)
		Expect(next().Event).To(HaveValue(Equal(port.LinkEvent{Up: true, Hello: hello})))
		return conn
	}
	send := func(conn *websocket.Conn, m wire.Message) {
		b, err := wire.Encode(m)
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.WriteMessage(websocket.BinaryMessage, b)).To(Succeed())
	}

	// sendHeartbeats sends heartbeats until the connection ends, as each node does: a peer
	// that sends nothing loses its link after the silence timeout.
	sendHeartbeats := func(conn *websocket.Conn) {
		b, err := wire.Encode(wire.Heartbeat{Sequence: 1})
		Expect(err).NotTo(HaveOccurred())
		go func() {
			for conn.WriteMessage(websocket.BinaryMessage, b) == nil {
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}

	It("dispatches messages to the duties that handle them", func() {
		conn := linked()
		send(conn, wire.Heartbeat{Sequence: 1})
		send(conn, wire.ConfigAck{Version: 3})
		Expect(next()).To(Equal(port.MembersMessage{From: "peer", Message: wire.Heartbeat{Sequence: 1}}))
		for _, want := range []wire.Message{hello, wire.Heartbeat{Sequence: 1}, wire.ConfigAck{Version: 3}} {
			Eventually(config.C()).Should(Receive(Equal(port.LinkMessage[wire.Message]{From: "peer", Message: want})))
		}
	})

	DescribeTable("drops the link of a peer that violates the protocol",
		func(breach func(conn *websocket.Conn)) {
			breach(linked())
			Expect(next().Event).To(HaveValue(Equal(port.LinkEvent{Hello: hello, Lost: true})))
		},
		Entry("undecodable bytes", func(c *websocket.Conn) {
			Expect(c.WriteMessage(websocket.BinaryMessage, []byte("?"))).To(Succeed())
		}),
		Entry("a second hello", func(c *websocket.Conn) { send(c, hello) }),
		Entry("a message above the size limit", func(c *websocket.Conn) {
			_ = c.WriteMessage(websocket.BinaryMessage, make([]byte, wire.MaxMessage+1))
		}),
		Entry("a connection reset", func(c *websocket.Conn) { closeNow(c) }),
	)

	It("does not report a gracefully closed link as lost", func() {
		text := websocket.FormatCloseMessage(websocket.CloseNormalClosure, "")
		Expect(linked().WriteMessage(websocket.CloseMessage, text)).To(Succeed())
		Expect(next().Event).To(HaveValue(Equal(port.LinkEvent{Hello: hello})))
	})

	DescribeTable("rejects a hello with",
		func(change func(*wire.Hello)) {
			h := hello
			change(&h)
			conn := connect(h)
			Expect(conn.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
			_, _, err := conn.ReadMessage() // the node's own hello
			Expect(err).NotTo(HaveOccurred())
			_, _, err = conn.ReadMessage()
			Expect(err).To(HaveOccurred())
			Expect(inbox.Len()).To(BeZero())
		},
		Entry("another protocol", func(h *wire.Hello) { h.Protocol++ }),
		Entry("no node id", func(h *wire.Hello) { h.Node = "" }),
		Entry("the node's own id", func(h *wire.Hello) { h.Node = "me" }),
	)

	// A peer that does not read must neither make the node buffer messages without
	// a bound nor slow its other links.
	It("drops the link of a peer that does not read", func() {
		linked()
		big := wire.ConfigData{Records: []mesh.Record{{RecordKey: mesh.RecordKey{ID: strings.Repeat("x", 900_000)}}}}
		for range 60 {
			Expect(push.Send(context.Background(), port.Push{Message: big})).To(Succeed())
		}
		Expect(next().Event).To(HaveValue(Equal(port.LinkEvent{Hello: hello, Lost: true})))
	})

	// A restarted node without the reports of requests that crash upstreams would
	// run them again.
	It("sends recent crashes on a new link, once for each incarnation of the peer", func() {
		recent := wire.Quarantine{Crash: mesh.Crash{Node: "a", Process: "p", At: time.Now().UTC()}}
		old := wire.Quarantine{Crash: mesh.Crash{Node: "b", Process: "p", At: time.Now().Add(-11 * time.Minute).UTC()}}
		for _, q := range []wire.Quarantine{old, recent} {
			Expect(push.Send(context.Background(), port.Push{Message: q})).To(Succeed())
		}
		receivedBy := func(incarnation mesh.Incarnation) (list []wire.Message) {
			h := hello
			h.Incarnation = incarnation
			conn := connect(h)
			sendHeartbeats(conn)
			Expect(conn.SetReadDeadline(time.Now().Add(30 * time.Second))).To(Succeed())
			for heartbeats := 0; heartbeats < 5; { // longer than the silence after which a link is closed
				_, b, err := conn.ReadMessage()
				Expect(err).NotTo(HaveOccurred())
				m, err := wire.Decode(b)
				Expect(err).NotTo(HaveOccurred())
				switch m.(type) {
				case wire.Heartbeat:
					heartbeats++
				case wire.Quarantine:
					list = append(list, m)
				}
			}
			return list
		}
		Expect(receivedBy(4)).To(Equal([]wire.Message{recent}))
		Expect(receivedBy(4)).To(BeEmpty())
		Expect(receivedBy(5)).To(Equal([]wire.Message{recent}))
	})

	It("reports a peer as silent when nothing listens at its address", func() {
		closed, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(closed.Close()).To(Succeed())
		view.Store(&mesh.View{Self: "me", Members: []mesh.Member{
			{Node: "gone", Incarnation: 7, State: mesh.NodeAlive, PeerAddress: closed.Addr().String()},
			{Node: "me", State: mesh.NodeAlive},
		}})
		Expect(next().Event).To(HaveValue(Equal(port.LinkEvent{Silent: true, Hello: wire.Hello{Node: "gone", Incarnation: 7}})))
	})
})
