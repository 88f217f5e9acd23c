package links

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/websocket"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/result"
	"teaselring/wire"
)

var _ = Describe("eight nodes", func() {
	var nodes []*node
	BeforeEach(func() { nodes = startNodes(8) })

	It("agree that a killed node is dead, and accept it again under a new address", func() {
		killed := nodes[5]
		killed.relay.setMode(cut)
		for _, n := range nodes {
			if n != killed {
				Eventually(n.stateOf, "10s", "20ms").WithArguments(killed.id).Should(Equal(mesh.NodeDead), "view of %s", n.id)
			}
		}
		killed.stop()
		restarted := startNode(5, nodes[0].relay.address())
		for _, n := range append(nodes[:5:5], restarted) {
			Eventually(n.aliveCount, "20s", "20ms").Should(Equal(8), "view of %s", n.id)
		}
	})

	// The relay stalls with all connections open, so that only the heartbeat deadline
	// can reveal the failure.
	It("suspect a silent peer, and believe it when it refutes after the pause", func() {
		paused := nodes[3]
		incarnation := paused.view.Load().Member(paused.id).Incarnation
		paused.relay.setMode(stall)
		for _, n := range nodes {
			if n != paused {
				Eventually(n.stateOf, "10s", "20ms").WithArguments(paused.id).Should(BeNumerically(">=", mesh.NodeSuspect), "view of %s", n.id)
			}
		}
		silent := int64(0)
		for _, n := range nodes {
			if n != paused {
				silent += n.metricValue("links.silent")
			}
		}
		Expect(silent).To(BeNumerically(">=", 1))
		paused.relay.setMode(forward)
		for _, n := range nodes {
			Eventually(n.aliveCount, "20s", "20ms").Should(Equal(8), "view of %s", n.id)
		}
		after := nodes[0].view.Load().Member(paused.id)
		Expect(after.Incarnation).To(Equal(incarnation), "a refutation keeps the incarnation")
		Expect(after.Sequence).To(BeNumerically(">", 0))
	})

	It("mark a leaving node as left without suspecting it", func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_, err := kernel.Do(ctx, nodes[2].leaving, port.Leaving{})
		Expect(err).NotTo(HaveOccurred())
		nodes[2].stop()
		for _, n := range nodes {
			if n != nodes[2] {
				Eventually(n.stateOf, "5s", "20ms").WithArguments(nodes[2].id).Should(Equal(mesh.NodeLeft))
			}
		}
	})

	It("receive a drained upstream and a crash on every node, the crash once", func() {
		endpoint := mesh.Endpoint{Service: "shop", Version: "v1", Slots: 2, State: mesh.EndpointDraining, Process: "p"}
		Expect(nodes[1].local.Send(context.Background(), port.Local{Endpoint: endpoint})).To(Succeed())
		crash := mesh.Crash{Service: "shop", Node: nodes[1].id, Process: "p", Fingerprints: []uint64{7}, At: time.Unix(5, 0).UTC()}
		Expect(nodes[1].push.Send(context.Background(), port.Push{Message: wire.Quarantine{Crash: crash}})).To(Succeed())
		for _, n := range nodes {
			Eventually(func() mesh.Endpoint { return n.view.Load().Member(nodes[1].id).Endpoint }, "5s", "20ms").Should(Equal(endpoint))
			if n != nodes[1] {
				Eventually(n.crashes.C(), "5s").Should(Receive(Equal(crash)))
			}
		}
		for _, n := range nodes {
			Consistently(n.crashes.C(), "50ms").ShouldNot(Receive())
		}
	})

	It("keep one link for each pair", func() {
		total := func() (sum int64) {
			for _, n := range nodes {
				Expect(n.metricValue("links.up")).To(BeNumerically("<=", 7))
				sum += n.metricValue("links.up")
			}
			return sum
		}
		// Each node dials four peers, so there are at least 16 pairs.
		Eventually(total, "10s", "100ms").Should(BeNumerically(">=", 2*16))
		Eventually(func() int64 { return total() % 2 }, "5s").Should(BeZero(), "both ends count each link")
	})

	// Views that never converge, or members suspected without reason, would use up the
	// byte budget of every node.
	It("exchange nothing but heartbeats when nothing happens", func() {
		sum := func(name string) (total int64) {
			for _, n := range nodes {
				total += n.metricValue(name)
			}
			return total
		}
		var before int64
		Eventually(func() bool {
			previous := before
			before = sum("members.requests")
			return previous == before && sum("links.up") >= 2*16
		}, "15s", "2s").Should(BeTrue())
		bytes, messages := sum("links.bytes_out"), sum("links.messages_out")
		Consistently(func() int64 { return sum("members.requests") }, "2s", "500ms").Should(Equal(before))
		bytes, messages = sum("links.bytes_out")-bytes, sum("links.messages_out")-messages
		Expect(bytes / messages).To(BeNumerically("<=", 32))
		Expect(sum("members.suspicions")).To(BeZero())
	})

	// Each side of a partition considers the other dead and does not dial it. Without a
	// rejoin the partition would be permanent.
	It("find each other again after a partition", func() {
		for _, n := range nodes {
			n.relay.setMode(cut)
		}
		for _, n := range nodes {
			Eventually(n.aliveCount, "20s", "50ms").Should(Equal(1), "view of %s", n.id)
		}
		for _, n := range nodes {
			n.relay.setMode(forward)
		}
		for _, n := range nodes {
			Eventually(n.aliveCount, "40s", "50ms").Should(Equal(8), "view of %s", n.id)
		}
	})
})

var _ = Describe("a reconnect storm", func() {
	It("gets at most the allowed links and names other peers to the rest", func() {
		nodes := startNodes(3)
		target := nodes[0].relay.address()
		var mu sync.Mutex
		var accepted []*websocket.Conn
		refused := 0
		var storm sync.WaitGroup
		for range 60 {
			storm.Go(func() {
				defer GinkgoRecover()
				dialer := websocket.Dialer{TLSClientConfig: peerTLS("stranger").Client}
				conn, response, err := dialer.Dial("wss://"+target+"/link", nil)
				mu.Lock()
				defer mu.Unlock()
				if err == nil {
					accepted = append(accepted, conn)
					return
				}
				refused++
				Expect(response).NotTo(BeNil(), "%v", err)
				Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
				var body struct {
					Code  int
					Peers []string
				}
				Expect(json.NewDecoder(response.Body).Decode(&body)).To(Succeed())
				Expect(body.Code).To(Equal(result.TooManyLinks.Number))
				Expect(body.Peers).To(ContainElement(nodes[1].relay.address()))
			})
		}
		storm.Wait()
		for _, c := range accepted {
			_ = c.Close()
		}
		Expect(len(accepted)).To(BeNumerically("<=", 16))
		Expect(len(accepted) + refused).To(Equal(60))
		Expect(nodes[0].aliveCount()).To(Equal(3), "the storm must not close existing links")
	})
})
