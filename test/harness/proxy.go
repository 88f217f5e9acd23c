package harness

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/Shopify/toxiproxy"
	"github.com/Shopify/toxiproxy/stream"
	"github.com/Shopify/toxiproxy/toxics"
	"github.com/sirupsen/logrus"
)

// Direction of the bytes that a fault concerns.
type Direction string

// Directions, seen from the client that connects through the proxy.
const (
	ToServer   Direction = "upstream"
	FromServer Direction = "downstream"
)

// Both is for faults in both directions.
var Both = []Direction{ToServer, FromServer}

// Proxy is a TCP proxy with faults. Faults of one kind and direction are set
// once until Heal.
type Proxy struct {
	Address string // IP:port to connect to
	h       *Harness
	proxy   *toxiproxy.Proxy
}

func init() {
	logrus.SetOutput(io.Discard)
	toxics.Register("silence", new(silence))
	toxics.Register("cut", new(cut))
}

// StartProxy forwards connections to a server's address.
func (h *Harness) StartProxy(server string) *Proxy {
	h.tb.Helper()
	p := toxiproxy.NewProxy()
	p.Name, p.Listen, p.Upstream = server, h.FreeAddress(), server
	if err := p.Start(); err != nil {
		h.tb.Fatalf("proxy to %s: %v", server, err)
	}
	wrapped := &Proxy{Address: p.Listen, h: h, proxy: p}
	h.tb.Cleanup(wrapped.Close)
	return wrapped
}

// Close heals the proxy and ends it and its connections.
func (p *Proxy) Close() {
	p.Heal()
	p.proxy.Stop()
}

// Silence holds back all bytes and the ends of connections, in the given
// directions, on all connections until Heal, which delivers them.
func (p *Proxy) Silence(directions ...Direction) {
	p.h.tb.Helper()
	p.add("silence", nil, directions)
}

// SilenceOpen is Silence for the connections open now; new ones work.
func (p *Proxy) SilenceOpen(directions ...Direction) {
	p.h.tb.Helper()
	for _, t := range p.add("silence", nil, directions) {
		t.(*silence).sealed.Store(true)
	}
}

// Latency delays bytes.
func (p *Proxy) Latency(d time.Duration, directions ...Direction) {
	p.h.tb.Helper()
	p.add("latency", map[string]any{"latency": d.Milliseconds()}, directions)
}

// LimitData closes a connection after a number of bytes in a direction.
func (p *Proxy) LimitData(size int, directions ...Direction) {
	p.h.tb.Helper()
	p.add("limit_data", map[string]any{"bytes": size}, directions)
}

// Heal removes all faults.
func (p *Proxy) Heal() { p.proxy.Toxics.ResetToxics() }

// Reset ends all connections open now with a TCP reset at both ends.
func (p *Proxy) Reset() {
	p.h.tb.Helper()
	p.eachSocket(func(fd int) {
		_ = syscall.SetsockoptLinger(fd, syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1})
	})
	for _, t := range p.add("cut", nil, Both) {
		t.(*cut).sealed.Store(true)
	}
	for _, direction := range Both {
		_ = p.proxy.Toxics.RemoveToxic("cut_" + string(direction))
	}
}

func (p *Proxy) add(kind string, attributes map[string]any, directions []Direction) []toxics.Toxic {
	p.h.tb.Helper()
	var added []toxics.Toxic
	for _, direction := range directions {
		body, _ := json.Marshal(map[string]any{"type": kind, "stream": direction, "attributes": attributes})
		wrapper, err := p.proxy.Toxics.AddToxicJson(bytes.NewReader(body))
		if err != nil {
			p.h.tb.Fatalf("fault %s %s: %v", kind, direction, err)
		}
		added = append(added, wrapper.Toxic)
	}
	return added
}

// eachSocket calls f with the descriptors of this process's sockets that the
// proxy accepted or that are connected to its server. The library does not
// expose its connections.
func (p *Proxy) eachSocket(f func(fd int)) {
	entries, _ := os.ReadDir("/proc/self/fd")
	for _, entry := range entries {
		fd, _ := strconv.Atoi(entry.Name())
		peer, err := syscall.Getpeername(fd)
		if err != nil {
			continue
		}
		local, _ := syscall.Getsockname(fd)
		if ipPort(local) == p.Address || ipPort(peer) == p.proxy.Upstream {
			f(fd)
		}
	}
}

func ipPort(address syscall.Sockaddr) string {
	if a, ok := address.(*syscall.SockaddrInet4); ok {
		return netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port)).String()
	}
	return ""
}

// openOnly lets a fault apply only to connections that were open when it was
// added. The library makes a state for each connection at that time, and for
// each later one when it is accepted; a connection accepted between adding and
// sealing counts as open.
type openOnly struct{ sealed atomic.Bool }

// connection is the state of a fault on one direction of one connection.
type connection struct {
	concerned bool
	held      []*stream.StreamChunk
	ended     bool
}

// NewState implements toxics.StatefulToxic.
func (o *openOnly) NewState() any { return &connection{concerned: !o.sealed.Load()} }

// silence passes nothing on, not even the end of a connection. The library's
// timeout toxic passes the end on, which tells the peer what silence must not.
type silence struct{ openOnly }

// maxHeld is in chunks of at most 32 KiB; a sender waits when it is reached.
const maxHeld = 64

// Pipe implements toxics.Toxic.
func (s *silence) Pipe(stub *toxics.ToxicStub) {
	c := stub.State.(*connection)
	if !c.concerned {
		new(toxics.NoopToxic).Pipe(stub)
		return
	}
	for {
		input := stub.Input
		if c.ended || len(c.held) == maxHeld {
			input = nil
		}
		select {
		case <-stub.Interrupt:
			return
		case chunk := <-input:
			if c.ended = chunk == nil; !c.ended {
				c.held = append(c.held, chunk)
			}
		}
	}
}

// Cleanup implements toxics.CleanupToxic: it delivers what was held. It gives
// up on a connection whose receiver has left.
func (s *silence) Cleanup(stub *toxics.ToxicStub) {
	c := stub.State.(*connection)
deliver:
	for _, chunk := range c.held {
		select {
		case stub.Output <- chunk:
		case <-time.After(time.Second):
			c.ended = true
			break deliver
		}
	}
	if c.ended {
		stub.Close()
		go discard(stub.Input)
	}
}

// cut ends a connection.
type cut struct{ openOnly }

// Pipe implements toxics.Toxic.
func (c *cut) Pipe(stub *toxics.ToxicStub) {
	if !stub.State.(*connection).concerned {
		new(toxics.NoopToxic).Pipe(stub)
		return
	}
	stub.Close()
	discard(stub.Input)
}

// discard lets the stage before a closed one end.
func discard(input <-chan *stream.StreamChunk) {
	for range input {
		continue
	}
}

func dial(address string) (net.Conn, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, fmt.Errorf("connecting to %s: %w", address, err)
	}
	return c, nil
}
