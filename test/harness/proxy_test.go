package harness

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// echoServer echoes its input and reports the end of each connection.
func echoServer() (address string, ended <-chan error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	ends := make(chan error, 8)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, err := io.Copy(c, c)
				ends <- err
				_ = c.Close()
			}()
		}
	}()
	return l.Addr().String(), ends
}

func connect(address string) net.Conn {
	c, err := dial(address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = c.Close() })
	return c
}

func expectEcho(c net.Conn, text string) {
	GinkgoHelper()
	_, err := io.WriteString(c, text)
	Expect(err).NotTo(HaveOccurred())
	Expect(read(c, len(text), Deadline)).To(Equal(text))
}

func read(c net.Conn, size int, within time.Duration) (string, error) {
	_ = c.SetReadDeadline(time.Now().Add(within))
	buffer := make([]byte, size)
	n, err := io.ReadFull(c, buffer)
	return string(buffer[:n]), err
}

func expectSilent(c net.Conn) {
	GinkgoHelper()
	text, err := read(c, 1, 200*time.Millisecond)
	var timeout net.Error
	Expect(errors.As(err, &timeout) && timeout.Timeout()).To(BeTrue(), "read %q, %v", text, err)
}

// Tests of silent connections prove nothing if bytes still pass, or if the peer sees a
// closed connection and need not detect the silence.
var _ = Describe("the proxy", func() {
	var proxy *Proxy
	var ended <-chan error

	BeforeEach(func() {
		var server string
		server, ended = echoServer()
		proxy = New(GinkgoT()).StartProxy(server)
	})

	DescribeTable("silences a connection that stays open", func(directions ...Direction) {
		c := connect(proxy.Address)
		expectEcho(c, "before")
		proxy.Silence(directions...)
		_, err := io.WriteString(c, "during")
		Expect(err).NotTo(HaveOccurred())
		expectSilent(c)
		Expect(ended).NotTo(Receive())
		proxy.Heal()
		Expect(read(c, 6, Deadline)).To(Equal("during"))
		expectEcho(c, "after")
	},
		Entry("both ways", ToServer, FromServer),
		Entry("to the server", ToServer),
		Entry("from the server", FromServer),
	)

	It("does not forward the end of a silent connection", func() {
		c := connect(proxy.Address)
		expectEcho(c, "before")
		proxy.Silence(BothDirections...)
		Expect(c.Close()).To(Succeed())
		Consistently(ended, 200*time.Millisecond).ShouldNot(Receive())
		proxy.Heal()
		Eventually(ended, Deadline).Should(Receive())
	})

	It("silences open connections while new ones work", func() {
		c := connect(proxy.Address)
		expectEcho(c, "before")
		proxy.SilenceOpen(BothDirections...)
		_, _ = io.WriteString(c, "during")
		expectEcho(connect(proxy.Address), "new")
		expectSilent(c)
	})

	It("resets open connections and accepts new ones", func() {
		c := connect(proxy.Address)
		expectEcho(c, "before")
		proxy.Reset()
		_, err := read(c, 1, Deadline)
		Expect(errors.Is(err, syscall.ECONNRESET)).To(BeTrue(), "%v", err)
		Eventually(ended, Deadline).Should(Receive(MatchError(syscall.ECONNRESET)))
		expectEcho(connect(proxy.Address), "after")
	})

	It("closes a connection after the data limit", func() {
		c := connect(proxy.Address)
		proxy.LimitData(4, FromServer)
		_, _ = io.WriteString(c, "123456")
		Expect(read(c, 4, Deadline)).To(Equal("1234"))
		_, err := read(c, 1, Deadline)
		Expect(err).To(MatchError(io.EOF))
	})
})
