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

	"teaselring/test/connections"
)

// MaxAllocated bounds what a call may allocate for bytes that are no response: a few
// such calls at once must fit into the smallest machine (184 MB).
const MaxAllocated = 16 << 20

// Serve runs a server until the spec ends. It answers the first request of a connection
// with a beginning and then repeats a part until the connection is closed, which it
// reports.
func Serve(begin, part string) (address string, closed chan struct{}) {
	closed = make(chan struct{}, 16)
	repeated := []byte(strings.Repeat(part, 1+(16<<10)/len(part)))
	return connections.Serve(func(conn net.Conn) {
		respond(conn, begin, repeated)
		select {
		case closed <- struct{}{}:
		default:
		}
	}), closed
}

func respond(conn net.Conn, begin string, repeated []byte) {
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
