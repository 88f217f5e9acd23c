package callrelay

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// idlePerAddress bounds the kept connections to one address. A server has at
	// most a few dozen slots.
	idlePerAddress = 64
	// idleLimit is the time for which a kept connection is used again when the
	// other side says nothing; shorter than the idle timeouts in use.
	idleLimit = 4 * time.Second
	// dialTimeout is far above a round trip within a region, so that an attempt on
	// a machine without power leaves time for another.
	dialTimeout = 250 * time.Millisecond
	bufferBytes = 4 << 10
)

// connection is one HTTP/1.1 connection to a node or a server.
type connection struct {
	net.Conn
	address string
	reader  *bufio.Reader
	writer  *bufio.Writer
	reused  bool
	expires time.Time // when the other side may close it
}

// pool keeps idle connections: a bounded queue for each address, so that every
// connection is used in turn and none stays idle for long.
type pool struct {
	idle   sync.Map // address to chan *connection
	dialer net.Dialer
}

func newPool() *pool {
	// Probes find a connection that went silent while it is idle.
	return &pool{dialer: net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: time.Second, Interval: time.Second, Count: 2,
	}}}
}

// get returns a kept connection that is still open, or a new one.
func (p *pool) get(ctx context.Context, address string) (*connection, error) {
	if queue, known := p.idle.Load(address); known {
		for c := take(queue.(chan *connection)); c != nil; c = take(queue.(chan *connection)) {
			if time.Now().Before(c.expires) && c.open() {
				c.reused = true
				return c, nil
			}
			_ = c.Close()
		}
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &connection{
		Conn: raw, address: address,
		reader: bufio.NewReaderSize(raw, bufferBytes), writer: bufio.NewWriterSize(raw, bufferBytes),
	}, nil
}

func take(queue chan *connection) *connection {
	select {
	case c := <-queue:
		return c
	default:
		return nil
	}
}

// put keeps a connection for the next request.
func (p *pool) put(c *connection, idle time.Duration) {
	c.expires = time.Now().Add(idle)
	queue, _ := p.idle.LoadOrStore(c.address, make(chan *connection, idlePerAddress))
	select {
	case queue.(chan *connection) <- c:
	default:
		_ = c.Close()
	}
}

// forget closes the idle connections to an address. They may have gone silent
// together with one that did.
func (p *pool) forget(address string) {
	if queue, known := p.idle.Load(address); known {
		for c := take(queue.(chan *connection)); c != nil; c = take(queue.(chan *connection)) {
			_ = c.Close()
		}
	}
}

// open reports whether the other side has neither closed the connection nor
// sent bytes that belong to no request.
func (c *connection) open() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	alive := false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, err := syscall.Read(int(fd), b[:])
		alive = err == syscall.EAGAIN
		return true
	})
	return err == nil && alive
}
