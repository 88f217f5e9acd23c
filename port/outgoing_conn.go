package port

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// OutgoingConn is a connection on which requests are sent and responses received, possibly
// at the same time. The kernel reports that a connection was aborted to one system call
// only. When that is a write, reads return io.EOF afterwards, like at the end of a response
// without a length; those of an OutgoingConn return the error of the write.
type OutgoingConn struct {
	net.Conn
	ended   atomic.Bool // a read has met the end of the input
	writing sync.Mutex  // held during a write
	aborted error       // guarded by writing
}

var errPeerEnded = errors.New("the peer has ended the connection")

// NewOutgoingConn returns a connection that reads from and writes to conn.
func NewOutgoingConn(conn net.Conn) *OutgoingConn { return &OutgoingConn{Conn: conn} }

// Write implements io.Writer.
func (c *OutgoingConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	switch {
	case isAbort(err):
		c.aborted = err
	case err != nil && c.ended.Load(): // it was interrupted by Read, which is no timeout
		err = errPeerEnded
	}
	return n, err
}

// isAbort reports whether a write failed because the connection was aborted before the
// peer had ended its direction. After that end, Linux reports EPIPE.
func isAbort(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && errno != syscall.EPIPE
}

// Read implements io.Reader. A write in progress ends with the input: the peer has sent
// its whole response, or the connection is aborted.
func (c *OutgoingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != io.EOF {
		return n, err
	}
	c.ended.Store(true)
	_ = c.Conn.SetWriteDeadline(time.Now())
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.aborted != nil {
		return n, fmt.Errorf("the connection was aborted during the request: %w", c.aborted)
	}
	return n, err
}

// SyscallConn implements syscall.Conn.
func (c *OutgoingConn) SyscallConn() (syscall.RawConn, error) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return conn.SyscallConn()
}
