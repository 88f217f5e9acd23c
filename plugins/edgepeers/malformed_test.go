package edgepeers

import (
	"bytes"
	"crypto/tls"
	"io"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"teaselring/port"
)

// scriptedPeer serves HTTP/2 and answers each request with the fields of a response.
func scriptedPeer(fields ...hpack.HeaderField) (url string) {
	peerTLS, err := newPeerTLS(testKey, "server", time.Now())
	Expect(err).NotTo(HaveOccurred())
	listener, err := tls.Listen("tcp", "127.0.0.1:0", peerTLS.Server)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	var block bytes.Buffer
	encoder := hpack.NewEncoder(&block)
	encoder.SetMaxDynamicTableSize(0) // each block stands alone
	for _, f := range fields {
		Expect(encoder.WriteField(f)).To(Succeed())
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go respondHTTP2(conn, block.Bytes())
		}
	}()
	return "https://" + listener.Addr().String()
}

func respondHTTP2(conn net.Conn, block []byte) {
	defer func() { _ = conn.Close() }()
	if _, err := io.ReadFull(conn, make([]byte, len(http2.ClientPreface))); err != nil {
		return
	}
	framer := http2.NewFramer(conn, conn)
	err := framer.WriteSettings()
	for err == nil {
		var frame http2.Frame
		if frame, err = framer.ReadFrame(); err != nil {
			return
		}
		switch f := frame.(type) {
		case *http2.SettingsFrame:
			if !f.IsAck() {
				err = framer.WriteSettingsAck()
			}
		case *http2.HeadersFrame:
			err = framer.WriteHeaders(http2.HeadersFrameParam{
				StreamID: f.StreamID, BlockFragment: block, EndHeaders: true, EndStream: true,
			})
		}
	}
}

// Guards against a broken answer of another node that is taken for the outcome of a request.
var _ = DescribeTable("a response over HTTP/2", func(valid bool, fields ...hpack.HeaderField) {
	var client port.PeerClient = testClient(testKey, time.Now())
	for range 2 {
		response, err := client.Get(scriptedPeer(fields...))
		Expect(err == nil).To(Equal(valid), "%v", err)
		if err == nil {
			_ = response.Body.Close()
		}
	}
},
	Entry("with status 200 is valid", true, hpack.HeaderField{Name: ":status", Value: "200"}, hpack.HeaderField{Name: "x-y", Value: "z"}),
	Entry("with status 000 is not", false, hpack.HeaderField{Name: ":status", Value: "000"}),
	Entry("with status 99 is not", false, hpack.HeaderField{Name: ":status", Value: "99"}),
	Entry("with status +20 is not", false, hpack.HeaderField{Name: ":status", Value: "+20"}),
	Entry("with status -1 is not", false, hpack.HeaderField{Name: ":status", Value: "-1"}),
	Entry("with a blank in a name is not", false, hpack.HeaderField{Name: ":status", Value: "200"}, hpack.HeaderField{Name: "x y", Value: "z"}),
	Entry("with a control byte in a name is not", false, hpack.HeaderField{Name: ":status", Value: "200"}, hpack.HeaderField{Name: "x\x01y", Value: "z"}),
)
