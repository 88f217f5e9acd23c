package links

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/gomega"
)

// mode is what a line does with bytes.
type mode int32

const (
	forward mode = iota
	hold         // connections stay open and nothing passes
	cut          // connections are closed and refused
)

// line is a TCP relay in front of a node's listener. Its mode also applies to
// the connections that the node dials.
type line struct {
	name     string
	listener net.Listener
	target   string
	mode     atomic.Int32
}

// relayed are the connections through all lines, by the address that the
// accepting node sees.
var relayed = struct {
	sync.Mutex
	byAddress map[string]*connection
	lines     map[string]*line
}{byAddress: map[string]*connection{}, lines: map[string]*line{}}

// connection is one relayed connection.
type connection struct {
	in, out  net.Conn
	acceptor *line
	dialer   atomic.Pointer[line] // known once the accepting node sees the certificate
}

func (w *connection) mode() mode {
	m := w.acceptor.mode.Load()
	if d := w.dialer.Load(); d != nil {
		m = max(m, d.mode.Load())
	}
	return mode(m)
}

func (w *connection) close() {
	for _, c := range []net.Conn{w.in, w.out} {
		_ = c.(*net.TCPConn).SetLinger(0) // the ends see a reset, as after the death of a process
		_ = c.Close()
	}
}

// labelled notes who dialled a connection.
func labelled(h http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		relayed.Lock()
		w := relayed.byAddress[r.RemoteAddr]
		if w != nil {
			w.dialer.Store(relayed.lines[r.TLS.PeerCertificates[0].Subject.CommonName])
		}
		relayed.Unlock()
		if w != nil && w.mode() == cut {
			w.close()
			return
		}
		h.ServeHTTP(rw, r)
	})
}

func newLine(name, target string) *line {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	l := &line{name: name, listener: listener, target: target}
	relayed.Lock()
	relayed.lines[name] = l
	relayed.Unlock()
	go l.serve()
	return l
}

func (l *line) address() string { return l.listener.Addr().String() }

func (l *line) set(m mode) {
	l.mode.Store(int32(m))
	relayed.Lock()
	defer relayed.Unlock()
	for address, w := range relayed.byAddress {
		if m == cut && w.mode() == cut {
			w.close()
			delete(relayed.byAddress, address)
		}
	}
}

func (l *line) close() {
	_ = l.listener.Close()
	l.set(cut)
}

func (l *line) serve() {
	for {
		in, err := l.listener.Accept()
		if err != nil {
			return
		}
		if mode(l.mode.Load()) == cut {
			_ = in.Close()
			continue
		}
		out, err := net.Dial("tcp", l.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		w := &connection{in: in, out: out, acceptor: l}
		relayed.Lock()
		relayed.byAddress[out.LocalAddr().String()] = w
		relayed.Unlock()
		go w.relay(in, out)
		go w.relay(out, in)
	}
}

func (w *connection) relay(from, to net.Conn) {
	defer from.Close()
	defer to.Close()
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		for w.mode() == hold {
			time.Sleep(5 * time.Millisecond)
		}
		if w.mode() == cut { // the mode changed while the connection was made
			return
		}
		if n > 0 {
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
