package edgepeers

import (
	"crypto/tls"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/kernel"
	"teaselring/port"
	"teaselring/result"
)

func TestEdgePeers(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "edge.peers")
}

const testKey = "a key shared by all test nodes"

func settings() *Settings {
	return &Settings{PingAfter: kernel.Span(time.Second), PingTimeout: kernel.Span(time.Second)}
}

// serve runs a peers' listener with one handler and returns its URL.
func serve(key string) string {
	peerTLS, err := newPeerTLS(key, "server", time.Now())
	Expect(err).NotTo(HaveOccurred())
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := &http.Server{
		Handler: authenticated(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = w.Write([]byte(r.Proto + " " + r.TLS.PeerCertificates[0].Subject.CommonName))
		})),
		TLSConfig: peerTLS.Server, HTTP2: http2Config(settings()),
	}
	go func() { _ = serveTLS(server)(socket) }()
	DeferCleanup(server.Close)
	return "https://" + socket.Addr().String()
}

func client(key string, now time.Time) port.PeerClient {
	peerTLS, err := newPeerTLS(key, "client", now)
	Expect(err).NotTo(HaveOccurred())
	c := newClient(settings(), peerTLS)
	DeferCleanup(c.CloseIdleConnections)
	return c
}

var _ = DescribeTable("the address that other nodes are told", func(advertise, told string, valid bool) {
	s := settings()
	s.Address, s.Key, s.MaxConnections = netip.MustParseAddrPort("127.0.0.1:8443"), testKey, 1
	if advertise != "" {
		s.Advertise = netip.MustParseAddrPort(advertise)
	}
	Expect(s.Validate() == nil).To(Equal(valid))
	if valid {
		Expect(s.advertised(s.Address).String()).To(Equal(told))
	}
},
	Entry("is the bound one by default", "", "127.0.0.1:8443", true),
	Entry("can be set", "10.0.0.1:9443", "10.0.0.1:9443", true),
	Entry("has no port 0", "10.0.0.1:0", "", false),
	Entry("is not unspecified", "0.0.0.0:9443", "", false),
)

var _ = Describe("connections between nodes", func() {
	It("authenticate both ends and use HTTP/2", func() {
		answer, err := client(testKey, time.Now()).Get(serve(testKey))
		Expect(err).NotTo(HaveOccurred())
		defer answer.Body.Close()
		body := make([]byte, 64)
		n, _ := answer.Body.Read(body)
		Expect(string(body[:n])).To(Equal("HTTP/2.0 client"))
	})

	It("are refused by a node with another key, so that a stranger can't pose as a node", func() {
		_, err := client("another key of enough length", time.Now()).Get(serve(testKey))
		Expect(err).To(HaveOccurred())
	})

	It("are accepted from a node whose clock runs an hour ahead", func() {
		answer, err := client(testKey, time.Now().Add(time.Hour)).Get(serve(testKey))
		Expect(err).NotTo(HaveOccurred())
		answer.Body.Close()
	})

	It("give a stranger without a certificate a numbered refusal and nothing else", func() {
		stranger := &http.Client{Transport: &http.Transport{
			TLSClientConfig: &tls.Config{InsecureSkipVerify: true}, //nolint:gosec // plays a stranger
		}}
		answer, err := stranger.Get(serve(testKey))
		Expect(err).NotTo(HaveOccurred())
		defer answer.Body.Close()
		var refusal port.Refusal
		Expect(json.NewDecoder(answer.Body).Decode(&refusal)).To(Succeed())
		Expect(refusal.Code).To(Equal(result.Unauthenticated.Number))
		Expect(answer.StatusCode).To(Equal(http.StatusUnauthorized))
	})
})
