// Package connections provides the accept loop of stand-ins that write and read the bytes of
// a connection themselves.
package connections

import (
	"net"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// Serve calls handle for each connection to the address until the spec ends, and closes the
// connection afterwards.
func Serve(handle func(net.Conn)) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(listener.Close)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				handle(conn)
			}()
		}
	}()
	return listener.Addr().String()
}
