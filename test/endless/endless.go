// Package endless provides servers whose responses never end, and the bound on what a
// client of one may allocate.
package endless

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// MaxAllocated bounds what a call may allocate for bytes that are no response: a few
// such calls at once must fit into the smallest machine (184 MB).
const MaxAllocated = 16 << 20

// Serve runs a server until the spec ends. It answers the first request of a connection
// with a beginning and then repeats a part until the connection is closed, which it
// reports.
func Serve(begin, part string) (address string, closed chan struct{}) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(listener.Close)
	closed = make(chan struct{}, 16)
	repeated := []byte(strings.Repeat(part, 1+(16<<10)/len(part)))
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				respond(conn, begin, repeated)
				select {
				case closed <- struct{}{}:
				default:
				}
			}()
		}
	}()
	return listener.Addr().String(), closed
}

func respond(conn net.Conn, begin string, repeated []byte) {
	defer func() { _ = conn.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	_, err := io.WriteString(conn, begin)
	for err == nil {
		_, err = conn.Write(repeated)
	}
}

// Allocated returns the bytes that the process has allocated since its start.
func Allocated() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.TotalAlloc
}
