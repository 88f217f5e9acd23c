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

// Direction is the direction of the bytes that a fault affects.
type Direction string

// Directions, seen from the client that connects through the proxy.
const (
	ToServer   Direction = "upstream"
	FromServer Direction = "downstream"
)

// BothDirections selects both directions.
var BothDirections = []Direction{ToServer, FromServer}

// Proxy is a TCP proxy that injects faults. A fault of one kind and direction can be
// set once until Heal.
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

// Close removes all faults and closes the proxy and its connections.
func (p *Proxy) Close() {
	p.Heal()
	p.proxy.Stop()
}

// Silence holds back all bytes and ends of stream in the given directions, on all
// connections, until Heal delivers them.
func (p *Proxy) Silence(directions ...Direction) {
	p.h.tb.Helper()
	p.add("silence", nil, directions)
}

// SilenceOpen is Silence for the currently open connections; new ones work.
func (p *Proxy) SilenceOpen(directions ...Direction) {
	p.h.tb.Helper()
	for _, t := range p.add("silence", nil, directions) {
		t.(*silence).sealed.Store(true)
	}
}

// Latency delays all bytes by d.
func (p *Proxy) Latency(d time.Duration, directions ...Direction) {
	p.h.tb.Helper()
	p.add("latency", map[string]any{"latency": d.Milliseconds()}, directions)
}

// LimitData closes each connection after a number of bytes in a direction.
func (p *Proxy) LimitData(size int, directions ...Direction) {
	p.h.tb.Helper()
	p.add("limit_data", map[string]any{"bytes": size}, directions)
}

// Heal removes all faults.
func (p *Proxy) Heal() { p.proxy.Toxics.ResetToxics() }

// Reset closes the currently open connections with a TCP reset at both ends.
func (p *Proxy) Reset() {
	p.h.tb.Helper()
	p.eachSocket(func(fd int) {
		_ = syscall.SetsockoptLinger(fd, syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1})
	})
	for _, t := range p.add("cut", nil, BothDirections) {
		t.(*cut).sealed.Store(true)
	}
	for _, direction := range BothDirections {
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

// eachSocket calls f with the file descriptor of each socket that the proxy accepted
// or connected to its server. It lists this process's descriptors because the library
// does not expose its connections.
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

// openOnly limits a fault to the connections that were open when it was added. The
// library then creates a state for each open connection, and later one for each
// connection that it accepts. A connection accepted before sealed is set counts as
// open.
type openOnly struct{ sealed atomic.Bool }

// connection is the state of a fault on one direction of one connection.
type connection struct {
	affected bool
	buffered []*stream.StreamChunk
	eof      bool
}

// NewState implements toxics.StatefulToxic.
func (o *openOnly) NewState() any { return &connection{affected: !o.sealed.Load()} }

// silence forwards nothing, not even the end of a stream. The library's timeout toxic
// forwards the end, from which the peer would notice the failure.
type silence struct{ openOnly }

// maxBuffered is in chunks of at most 32 KiB. A sender blocks when it is reached.
const maxBuffered = 64

// Pipe implements toxics.Toxic.
func (s *silence) Pipe(stub *toxics.ToxicStub) {
	c := stub.State.(*connection)
	if !c.affected {
		new(toxics.NoopToxic).Pipe(stub)
		return
	}
	for {
		input := stub.Input
		if c.eof || len(c.buffered) == maxBuffered {
			input = nil
		}
		select {
		case <-stub.Interrupt:
			return
		case chunk := <-input:
			if c.eof = chunk == nil; !c.eof {
				c.buffered = append(c.buffered, chunk)
			}
		}
	}
}

// Cleanup implements toxics.CleanupToxic: it delivers the buffered chunks.
// It closes a connection whose receiver takes no chunk within a second.
func (s *silence) Cleanup(stub *toxics.ToxicStub) {
	c := stub.State.(*connection)
deliver:
	for _, chunk := range c.buffered {
		select {
		case stub.Output <- chunk:
		case <-time.After(time.Second):
			c.eof = true
			break deliver
		}
	}
	if c.eof {
		stub.Close()
		go discard(stub.Input)
	}
}

// cut closes connections.
type cut struct{ openOnly }

// Pipe implements toxics.Toxic.
func (c *cut) Pipe(stub *toxics.ToxicStub) {
	if !stub.State.(*connection).affected {
		new(toxics.NoopToxic).Pipe(stub)
		return
	}
	stub.Close()
	discard(stub.Input)
}

// discard drains the input of a closed stage, so that the stage before it can end.
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
