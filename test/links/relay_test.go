package links

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/gomega"
)

// mode selects what a relay does with bytes.
type mode int32

const (
	forward mode = iota
	stall        // keep connections open and forward nothing
	cut          // close and refuse connections
)

// relay is a TCP relay in front of a node's listener. Its mode also applies to the
// connections that the node dials.
type relay struct {
	name     string
	listener net.Listener
	target   string
	mode     atomic.Int32
}

// relayed holds all relays by node name, and their connections by the remote address
// that the accepting node sees.
var relayed = struct {
	sync.Mutex
	byAddress map[string]*connection
	byName    map[string]*relay
}{byAddress: map[string]*connection{}, byName: map[string]*relay{}}

// connection is one relayed connection.
type connection struct {
	in, out  net.Conn
	acceptor *relay
	dialer   atomic.Pointer[relay] // set when the accepting node has the certificate
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
		_ = c.(*net.TCPConn).SetLinger(0) // both ends see a reset, as after the death of a process
		_ = c.Close()
	}
}

// identifyDialer records the relay of the node that dialled a connection.
func identifyDialer(h http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		relayed.Lock()
		w := relayed.byAddress[r.RemoteAddr]
		if w != nil {
			w.dialer.Store(relayed.byName[r.TLS.PeerCertificates[0].Subject.CommonName])
		}
		relayed.Unlock()
		if w != nil && w.mode() == cut {
			w.close()
			return
		}
		h.ServeHTTP(rw, r)
	})
}

func newRelay(name, target string) *relay {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	l := &relay{name: name, listener: listener, target: target}
	relayed.Lock()
	relayed.byName[name] = l
	relayed.Unlock()
	go l.serve()
	return l
}

func (l *relay) address() string { return l.listener.Addr().String() }

func (l *relay) setMode(m mode) {
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

func (l *relay) close() {
	_ = l.listener.Close()
	l.setMode(cut)
}

func (l *relay) serve() {
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
		go w.copyBytes(in, out)
		go w.copyBytes(out, in)
	}
}

func (w *connection) copyBytes(from, to net.Conn) {
	defer from.Close()
	defer to.Close()
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		for w.mode() == stall {
			time.Sleep(5 * time.Millisecond)
		}
		if w.mode() == cut { // the mode changed while the connection was being made
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
