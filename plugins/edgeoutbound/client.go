package edgeoutbound

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"teaselring/port"
	"teaselring/result"
)

const (
	// maxPipelined bounds the requests in progress on one connection.
	maxPipelined = 16
	// maxHeldBytes is the largest body that is read completely before the call
	// path gets the request, so that it can be resent. Larger ones are streamed.
	maxHeldBytes = 1 << 20
	// writeTimeout bounds the sending of one response to a client that does not read.
	writeTimeout = 10 * time.Second
	// lingerTimeout is the time for the client to read the last response before the
	// connection is closed. Closing it with unread bytes would reset it.
	lingerTimeout = 500 * time.Millisecond
	bufferBytes   = 4 << 10
)

// clientConn is a client's connection. A reader starts the calls of requests, a
// writer sends the responses in order; the queue between them is bounded.
type clientConn struct {
	edge        *edge
	conn        net.Conn
	input       *port.LimitedInput
	reader      *bufio.Reader
	writer      *bufio.Writer
	queue       chan *exchange
	unanswered  atomic.Int64  // requests without a complete response
	allAnswered chan struct{} // signals that unanswered may be 0
	// closing is set after the last response was sent.
	closing atomic.Bool
	ctx     context.Context
	cancel  context.CancelFunc
}

// exchange is a request and its position in the order of responses.
type exchange struct {
	request    *http.Request
	response   chan *port.Response // buffered
	arrived    time.Time
	closeAfter bool // closes the connection after the response
}

func newClientConn(e *edge, conn net.Conn) *clientConn {
	c := &clientConn{
		edge: e, conn: conn, input: port.NewLimitedInput(conn), queue: make(chan *exchange, maxPipelined),
		writer: bufio.NewWriterSize(conn, bufferBytes), allAnswered: make(chan struct{}, 1),
	}
	c.reader = bufio.NewReaderSize(c.input, bufferBytes)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// run reads requests until the client disconnects or the connection must close.
func (c *clientConn) run() {
	writerDone := make(chan struct{})
	go func() { defer close(writerDone); c.write() }()
	for c.guarded("read a request", c.serveNext) {
	}
	close(c.queue)
	c.discardInput()
	c.cancel()
	<-writerDone
	_ = c.conn.Close()
}

// guarded calls f and reports false after a panic, which costs this connection only.
func (c *clientConn) guarded(work string, f func() bool) (goOn bool) {
	if c.edge.Guard.Do(work, func() { goOn = f() }) != nil {
		c.cancel()
	}
	return goOn
}

// discardInput discards what a client sends after its last request, until it
// disconnects or the linger timeout after the last response ends.
func (c *clientConn) discardInput() {
	if c.unanswered.Load() == 0 && !c.closing.Load() {
		return
	}
	_ = c.conn.SetReadDeadline(time.Time{})
	if c.closing.Load() {
		_ = c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	}
	c.input.Unlimit()
	_, _ = io.Copy(io.Discard, c.reader)
}

// serveNext reads one request and starts its call. It reports whether to read on.
func (c *clientConn) serveNext() bool {
	if !c.awaitRequest() {
		return false
	}
	c.edge.inProgress.Add(1)
	defer c.edge.inProgress.Add(-1)
	if c.edge.closed.Load() {
		return false // the client resends unread requests
	}
	limits := c.edge.limits()
	arrived := time.Now()
	_ = c.conn.SetReadDeadline(arrived.Add(limits.HeaderTimeout))
	c.input.Limit(limits.HeaderBytes - c.reader.Buffered())
	request, err := http.ReadRequest(c.reader)
	c.input.Unlimit()
	if err != nil {
		return c.handleReadError(err)
	}
	_ = c.conn.SetReadDeadline(time.Time{})
	x := &exchange{request: request, response: make(chan *port.Response, 1), arrived: arrived, closeAfter: request.Close || !request.ProtoAtLeast(1, 1)}
	useOriginForm(request)
	if err := validateRequest(request, limits.BodyBytes); err != nil {
		return c.refuse(x, err)
	}
	if !c.edge.mayOverlap(request) && !c.awaitAllAnswered() {
		return false
	}
	return c.startCall(x, limits.BodyBytes)
}

// awaitRequest waits for the first byte of a request. The connection is not idle
// while a response is pending.
func (c *clientConn) awaitRequest() bool {
	for {
		limit := c.edge.limits().IdleTimeout
		c.input.Unlimit()
		_ = c.conn.SetReadDeadline(time.Now().Add(limit))
		if c.closing.Load() {
			return false
		}
		_, err := c.reader.Peek(1)
		if c.closing.Load() {
			return false
		}
		if err == nil {
			return true
		}
		timeout := errors.Is(err, os.ErrDeadlineExceeded)
		if timeout && (c.unanswered.Load() > 0 || c.edge.limits().IdleTimeout > limit) {
			continue
		}
		if !timeout {
			c.cancel() // the client has disconnected
		}
		return false
	}
}

// handleReadError responds to a request that could not be read.
func (c *clientConn) handleReadError(err error) bool {
	status := http.StatusBadRequest
	var netErr net.Error
	switch {
	case errors.Is(err, port.ErrHeadTooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		status = http.StatusRequestTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &netErr):
		c.cancel()
		return false
	}
	c.respondAndClose(&exchange{request: &http.Request{Method: http.MethodGet}, response: make(chan *port.Response, 1)}, status)
	return false
}

// respondAndClose responds to a request that is not forwarded. The connection is
// closed after the response.
func (c *clientConn) respondAndClose(x *exchange, status int) {
	x.closeAfter = true
	c.enqueue(x)
	x.response <- &port.Response{Status: status, Header: http.Header{}}
}

// enqueue appends an exchange to the order of responses. It can't block forever,
// since the writer receives until the reader closes the queue.
func (c *clientConn) enqueue(x *exchange) {
	c.unanswered.Add(1)
	c.edge.inProgress.Add(1)
	c.queue <- x
}

func (c *clientConn) refuse(x *exchange, err error) bool {
	status := http.StatusBadRequest
	if result.Of(err) == result.BodyTooLarge {
		status = http.StatusRequestEntityTooLarge
	}
	c.edge.Logger.Warn().Err(err).Int("status", status).Msg("request refused")
	c.respondAndClose(x, status)
	return false
}

// awaitAllAnswered waits until all earlier requests are answered. It reports false
// when the client has disconnected.
func (c *clientConn) awaitAllAnswered() bool {
	for c.unanswered.Load() > 0 {
		select {
		case <-c.allAnswered:
		case <-c.ctx.Done():
			return false
		}
	}
	return c.ctx.Err() == nil
}

// startCall reads the body, or its beginning, and starts the call. It reports
// whether to read on.
func (c *clientConn) startCall(x *exchange, bodyBytes int64) bool {
	if strings.EqualFold(x.request.Header.Get("Expect"), "100-continue") {
		if !c.awaitAllAnswered() {
			return false
		}
		if _, err := io.WriteString(c.conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return false
		}
	}
	r := &port.Request{Request: x.request, Arrived: x.arrived, Length: x.request.ContentLength}
	held, err := io.ReadAll(io.LimitReader(x.request.Body, maxHeldBytes))
	if err != nil {
		c.cancel()
		return false
	}
	r.Buffered = held
	streamed := int64(len(held)) == maxHeldBytes && r.Length != maxHeldBytes
	if !streamed {
		r.Length = int64(len(held))
	}
	c.edge.requests.Inc(1)
	c.enqueue(x)
	if !streamed {
		go c.serve(x, r)
		return !x.closeAfter
	}
	r.Remaining = io.LimitReader(x.request.Body, bodyBytes-maxHeldBytes+1)
	x.closeAfter = true // the rest may remain unread
	c.serve(x, r)
	return false
}

// serve runs a call. The call path answers calls that end with a panic; if it panics
// itself, the status is 502, since the request may have run.
func (c *clientConn) serve(x *exchange, r *port.Request) {
	response := &port.Response{Status: http.StatusBadGateway, Header: http.Header{}}
	_ = c.edge.Guard.Do("serve a request", func() { response = c.edge.Path(c.ctx, r) })
	x.response <- response
	c.edge.latency.Update(time.Since(x.arrived).Milliseconds())
}

// write sends the responses in the order of their requests.
func (c *clientConn) write() {
	closed := false
	for x := range c.queue {
		if closed {
			c.discard(x)
		} else {
			resp := c.awaitResponse(x)
			closed = resp == nil || !c.guarded("send a response", func() bool { return c.send(x, resp) })
		}
		c.unanswered.Add(-1)
		c.edge.inProgress.Add(-1)
		select {
		case c.allAnswered <- struct{}{}:
		default:
		}
	}
}

// awaitResponse returns the response, or nil when the client disconnects before.
func (c *clientConn) awaitResponse(x *exchange) *port.Response {
	select {
	case resp := <-x.response:
		return resp
	case <-c.ctx.Done():
		c.discard(x)
		return nil
	}
}

// discard waits for a response that can't be sent and closes it. The call ends soon,
// since its context is cancelled; a streamed response holds a slot until it is closed.
func (c *clientConn) discard(x *exchange) {
	if resp := <-x.response; resp.Remaining != nil {
		_ = resp.Remaining.Close()
	}
}

// send writes one response and reports whether the connection stays open.
func (c *clientConn) send(x *exchange, response *port.Response) bool {
	closeAfter := x.closeAfter || (c.edge.Grace.Stopping() && c.unanswered.Load() == 1)
	httpResponse := &http.Response{
		StatusCode: response.Status, ProtoMajor: 1, ProtoMinor: 1, Header: response.Header, ContentLength: response.Length,
		Request: x.request, Close: closeAfter,
	}
	for _, name := range []string{"Connection", "Keep-Alive", "Transfer-Encoding"} {
		response.Header.Del(name)
	}
	httpResponse.Body = responseBody(response)
	if response.Length < 0 {
		httpResponse.TransferEncoding = []string{"chunked"}
	}
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	err := httpResponse.Write(c.writer)
	if err == nil {
		err = c.writer.Flush()
	}
	if response.Remaining != nil {
		_ = response.Remaining.Close()
	}
	if err != nil {
		c.cancel()
		_ = c.conn.Close()
		return false
	}
	if closeAfter {
		c.startClosing()
		return false
	}
	return true
}

// startClosing half-closes the connection after its last response. The reader, which
// may wait for a request, stops and parses no further one. Calls behind the last
// response are cancelled: the client resends their requests.
func (c *clientConn) startClosing() {
	c.cancel()
	if halfCloser, ok := c.conn.(interface{ CloseWrite() error }); ok {
		_ = halfCloser.CloseWrite()
	}
	c.closing.Store(true)
	_ = c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
}

func responseBody(response *port.Response) io.ReadCloser {
	switch {
	case response.Remaining != nil:
		return io.NopCloser(io.MultiReader(bytes.NewReader(response.Buffered), response.Remaining))
	case len(response.Buffered) == 0:
		return http.NoBody
	}
	return io.NopCloser(bytes.NewReader(response.Buffered))
}
