package callrelay

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"teaselring/port"
)

const (
	// maxIdlePerAddress bounds the idle connections to one address. A server has at
	// most a few dozen slots.
	maxIdlePerAddress = 64
	// defaultIdleTimeout is the time for which an idle connection is reused when the
	// peer announces none. It is shorter than the idle timeouts in use.
	defaultIdleTimeout = 4 * time.Second
	// dialTimeout is far above a round trip within a region, but short enough that an
	// attempt on a machine without power leaves time for another.
	dialTimeout = 250 * time.Millisecond
	bufferBytes = 4 << 10
)

// connection is one HTTP/1.1 connection to a node or a server.
type connection struct {
	*port.OutgoingConn
	address string
	input   *port.LimitedInput
	reader  *bufio.Reader
	writer  *bufio.Writer
	reused  bool
	expires time.Time // when the peer may close it
}

// pool keeps idle connections in a bounded FIFO queue for each address, so that
// connections are used in turn and none stays idle for long.
type pool struct {
	idle   sync.Map // address to chan *connection
	dialer net.Dialer
	held   atomic.Int64 // bytes reserved by long responses in progress
}

func newPool() *pool {
	// Keep-alive probes detect a dead connection while it is idle.
	return &pool{dialer: net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: time.Second, Interval: time.Second, Count: 2,
	}}}
}

// get returns an idle connection that is still open, or a new one.
func (p *pool) get(ctx context.Context, address string) (*connection, error) {
	if queue, found := p.idle.Load(address); found {
		for c := takeIdle(queue.(chan *connection)); c != nil; c = takeIdle(queue.(chan *connection)) {
			if time.Now().Before(c.expires) && c.isOpen() {
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
	conn := port.NewOutgoingConn(raw)
	input := port.NewLimitedInput(conn)
	return &connection{
		OutgoingConn: conn, address: address, input: input,
		reader: bufio.NewReaderSize(input, bufferBytes), writer: bufio.NewWriterSize(conn, bufferBytes),
	}, nil
}

func takeIdle(queue chan *connection) *connection {
	select {
	case c := <-queue:
		return c
	default:
		return nil
	}
}

// put adds an idle connection for the next request.
func (p *pool) put(c *connection, idle time.Duration) {
	c.expires = time.Now().Add(idle)
	queue, _ := p.idle.LoadOrStore(c.address, make(chan *connection, maxIdlePerAddress))
	select {
	case queue.(chan *connection) <- c:
	default:
		_ = c.Close()
	}
}

// closeIdle closes the idle connections to an address, which may be dead when
// another connection to it is.
func (p *pool) closeIdle(address string) {
	if queue, found := p.idle.Load(address); found {
		for c := takeIdle(queue.(chan *connection)); c != nil; c = takeIdle(queue.(chan *connection)) {
			_ = c.Close()
		}
	}
}

// isOpen reports whether the peer has neither closed the connection nor sent
// unsolicited bytes.
func (c *connection) isOpen() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.SyscallConn()
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
