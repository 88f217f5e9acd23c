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

func testSettings() *Settings {
	return &Settings{PingAfter: kernel.Span(time.Second), PingTimeout: kernel.Span(time.Second)}
}

// startServer starts a listener for peers with one handler and returns its URL.
func startServer(key string) string {
	peerTLS, err := newPeerTLS(key, "server", time.Now())
	Expect(err).NotTo(HaveOccurred())
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := &http.Server{
		Handler: requirePeerCertificate(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = w.Write([]byte(r.Proto + " " + r.TLS.PeerCertificates[0].Subject.CommonName))
		})),
		TLSConfig: peerTLS.Server, HTTP2: http2Config(testSettings()),
	}
	go func() { _ = serveTLS(server)(socket) }()
	DeferCleanup(server.Close)
	return "https://" + socket.Addr().String()
}

func testClient(key string, now time.Time) port.PeerClient {
	peerTLS, err := newPeerTLS(key, "client", now)
	Expect(err).NotTo(HaveOccurred())
	c := newClient(testSettings(), peerTLS)
	DeferCleanup(c.CloseIdleConnections)
	return c
}

var _ = DescribeTable("the advertised address", func(advertise, want string, valid bool) {
	s := testSettings()
	s.Address, s.Key, s.MaxConnections = netip.MustParseAddrPort("127.0.0.1:8443"), testKey, 1
	if advertise != "" {
		s.Advertise = netip.MustParseAddrPort(advertise)
	}
	Expect(s.Validate() == nil).To(Equal(valid))
	if valid {
		Expect(s.advertisedAddress(s.Address).String()).To(Equal(want))
	}
},
	Entry("is the bound one by default", "", "127.0.0.1:8443", true),
	Entry("can be set", "10.0.0.1:9443", "10.0.0.1:9443", true),
	Entry("can't have port 0", "10.0.0.1:0", "", false),
	Entry("can't be unspecified", "0.0.0.0:9443", "", false),
)

var _ = Describe("connections between nodes", func() {
	It("authenticate both ends and use HTTP/2", func() {
		response, err := testClient(testKey, time.Now()).Get(startServer(testKey))
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		body := make([]byte, 64)
		n, _ := response.Body.Read(body)
		Expect(string(body[:n])).To(Equal("HTTP/2.0 client"))
	})

	It("are refused by a node with another key, so that only nodes of the cluster connect", func() {
		_, err := testClient("another key of enough length", time.Now()).Get(startServer(testKey))
		Expect(err).To(HaveOccurred())
	})

	It("are accepted from a node whose clock runs an hour ahead", func() {
		response, err := testClient(testKey, time.Now().Add(time.Hour)).Get(startServer(testKey))
		Expect(err).NotTo(HaveOccurred())
		response.Body.Close()
	})

	It("refuse a client without a certificate with a result code and nothing else", func() {
		unauthenticated := &http.Client{Transport: &http.Transport{
			TLSClientConfig: &tls.Config{InsecureSkipVerify: true}, //nolint:gosec // a client without the key
		}}
		response, err := unauthenticated.Get(startServer(testKey))
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		var refusal port.Refusal
		Expect(json.NewDecoder(response.Body).Decode(&refusal)).To(Succeed())
		Expect(refusal.Code).To(Equal(result.Unauthenticated.Number))
		Expect(response.StatusCode).To(Equal(http.StatusUnauthorized))
	})
})
