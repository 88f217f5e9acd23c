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

	"golang.org/x/net/http/httpguts"

	"teaselring/port"
	"teaselring/result"
)

const (
	// pipelined bounds the requests of one connection that are in progress.
	pipelined = 16
	// heldBody is the largest body that is read before the call path gets the
	// request, so that it can be sent again. Larger ones stream.
	heldBody = 1 << 20
	// writeTimeout bounds the sending of one answer to a client that does not read.
	writeTimeout = 10 * time.Second
	// linger is the time in which the client can read the last answer before the
	// connection ends. Closing with unread bytes would reset it.
	linger      = 500 * time.Millisecond
	bufferBytes = 4 << 10
)

// client is one connection. A reader takes requests, a writer sends the answers
// in order; the queue between them is bounded.
type client struct {
	edge   *edge
	conn   net.Conn
	input  *limited
	reader *bufio.Reader
	writer *bufio.Writer
	queue  chan *exchange
	open   atomic.Int64  // requests that are not answered yet
	idle   chan struct{} // has an item when open may have become 0
	// closing is set when the last answer has been sent.
	closing atomic.Bool
	ctx     context.Context
	leave   context.CancelFunc
}

// exchange is a request and the place of its answer in the order.
type exchange struct {
	request *http.Request
	answer  chan *port.Response // has one place
	arrived time.Time
	last    bool // the connection ends after the answer
}

func newClient(e *edge, conn net.Conn) *client {
	c := &client{
		edge: e, conn: conn, input: &limited{conn: conn}, queue: make(chan *exchange, pipelined),
		writer: bufio.NewWriterSize(conn, bufferBytes), idle: make(chan struct{}, 1),
	}
	c.reader = bufio.NewReaderSize(c.input, bufferBytes)
	c.ctx, c.leave = context.WithCancel(context.Background())
	return c
}

// limited is the input of a connection. Left bounds the bytes read for the
// headers of one request.
type limited struct {
	conn net.Conn
	left int64 // negative: not limited
}

var errHeaderTooLarge = errors.New("the headers are too large")

// Read implements io.Reader.
func (l *limited) Read(p []byte) (int, error) {
	if l.left == 0 {
		return 0, errHeaderTooLarge
	}
	if l.left > 0 && int64(len(p)) > l.left {
		p = p[:l.left]
	}
	n, err := l.conn.Read(p)
	if l.left > 0 {
		l.left -= int64(n)
	}
	return n, err
}

// run reads requests until the client leaves or the connection must end.
func (c *client) run() {
	written := make(chan struct{})
	go func() { defer close(written); c.write() }()
	for c.next() {
	}
	close(c.queue)
	c.watch()
	c.leave()
	<-written
	_ = c.conn.Close()
}

// watch discards what a client sends beyond its last request, until it leaves
// or has had its last answer.
func (c *client) watch() {
	if c.open.Load() == 0 && !c.closing.Load() {
		return
	}
	_ = c.conn.SetReadDeadline(time.Time{})
	if c.closing.Load() {
		_ = c.conn.SetReadDeadline(time.Now().Add(linger))
	}
	c.input.left = -1
	_, _ = io.Copy(io.Discard, c.reader)
}

// next reads one request and hands it on. It reports whether to go on.
func (c *client) next() bool {
	if !c.awaitRequest() {
		return false
	}
	c.edge.inHand.Add(1)
	defer c.edge.inHand.Add(-1)
	if c.edge.closed.Load() {
		return false // the client sends again what was not read
	}
	limits := c.edge.limits()
	arrived := time.Now()
	_ = c.conn.SetReadDeadline(arrived.Add(limits.HeaderTimeout))
	c.input.left = max(int64(limits.HeaderBytes-c.reader.Buffered()), 1)
	request, err := http.ReadRequest(c.reader)
	c.input.left = -1
	if err != nil {
		return c.refuseUnread(err)
	}
	_ = c.conn.SetReadDeadline(time.Time{})
	x := &exchange{request: request, answer: make(chan *port.Response, 1), arrived: arrived, last: request.Close || !request.ProtoAtLeast(1, 1)}
	if err := check(request, limits.BodyBytes); err != nil {
		return c.refuse(x, err)
	}
	if !repeatable(request) && !c.awaitAnswers() {
		return false
	}
	return c.begin(x, limits.BodyBytes)
}

// awaitRequest waits for the first byte of a request. While answers are due, the
// connection is not idle.
func (c *client) awaitRequest() bool {
	for {
		limit := c.edge.limits().IdleTimeout
		c.input.left = -1
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
		if timeout && (c.open.Load() > 0 || c.edge.limits().IdleTimeout > limit) {
			continue
		}
		if !timeout {
			c.leave() // the client has left
		}
		return false
	}
}

// refuseUnread answers a request that could not be read.
func (c *client) refuseUnread(err error) bool {
	status := http.StatusBadRequest
	var network net.Error
	switch {
	case errors.Is(err, errHeaderTooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		status = http.StatusRequestTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &network):
		c.leave()
		return false
	}
	c.answerLast(&exchange{request: &http.Request{Method: http.MethodGet}, answer: make(chan *port.Response, 1)}, status)
	return false
}

// answerLast answers a request that is not passed on. The connection ends then.
func (c *client) answerLast(x *exchange, status int) {
	x.last = true
	c.enqueue(x)
	x.answer <- &port.Response{Status: status, Header: http.Header{}}
}

// check refuses requests that another program might read in another way.
func check(r *http.Request, bodyBytes int64) error {
	for name, values := range r.Header {
		for _, value := range values {
			if !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(value) {
				return result.BadRequest.Errorf("header %q is not valid", name)
			}
		}
	}
	switch {
	case !httpguts.ValidHostHeader(r.Host) || r.Host == "":
		return result.BadRequest.Errorf("host %q is not valid", r.Host)
	case r.URL.Host != "" || !strings.HasPrefix(r.RequestURI, "/"):
		return result.BadRequest.Errorf("the target %q is not a path", r.RequestURI)
	case r.ContentLength > bodyBytes:
		return result.BodyTooLarge.Errorf("the body has %d bytes; allowed are %d", r.ContentLength, bodyBytes)
	}
	return nil
}

// enqueue puts an exchange into the order of answers. The queue has places while
// its writer runs, which is until the reader closes it.
func (c *client) enqueue(x *exchange) {
	c.open.Add(1)
	c.edge.inHand.Add(1)
	c.queue <- x
}

func (c *client) refuse(x *exchange, err error) bool {
	status := http.StatusBadRequest
	if result.Of(err) == result.BodyTooLarge {
		status = http.StatusRequestEntityTooLarge
	}
	c.edge.Logger.Warn().Err(err).Int("status", status).Msg("request refused")
	c.answerLast(x, status)
	return false
}

// repeatable reports whether a request behind others may start before they are
// answered. If an answer before it ends the connection, the client sends it again.
func repeatable(r *http.Request) bool {
	return r.Method == http.MethodGet || r.Method == http.MethodHead
}

// awaitAnswers waits until all earlier requests are answered.
func (c *client) awaitAnswers() bool {
	for c.open.Load() > 0 {
		select {
		case <-c.idle:
		case <-c.ctx.Done():
			return false
		}
	}
	return c.ctx.Err() == nil
}

// begin reads the body, or its beginning, and starts the request.
func (c *client) begin(x *exchange, bodyBytes int64) bool {
	if strings.EqualFold(x.request.Header.Get("Expect"), "100-continue") {
		if !c.awaitAnswers() {
			return false
		}
		if _, err := io.WriteString(c.conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return false
		}
	}
	r := &port.Request{Request: x.request, Arrived: x.arrived, Length: x.request.ContentLength}
	held, err := io.ReadAll(io.LimitReader(x.request.Body, heldBody))
	if err != nil {
		c.leave()
		return false
	}
	r.Buffered = held
	streams := int64(len(held)) == heldBody && r.Length != heldBody
	if !streams {
		r.Length = int64(len(held))
	}
	c.edge.requests.Inc(1)
	c.enqueue(x)
	if !streams {
		go c.serve(x, r)
		return !x.last
	}
	r.Remaining = io.LimitReader(x.request.Body, bodyBytes-heldBody+1)
	x.last = true // the rest may stay unread
	c.serve(x, r)
	return false
}

func (c *client) serve(x *exchange, r *port.Request) {
	x.answer <- c.edge.Path(c.ctx, r)
	c.edge.latency.Update(time.Since(x.arrived).Milliseconds())
}

// write sends the answers in the order of their requests.
func (c *client) write() {
	ended := false
	for x := range c.queue {
		if ended {
			c.drop(x)
		} else {
			a := c.await(x)
			ended = a == nil || !c.send(x, a)
		}
		c.open.Add(-1)
		c.edge.inHand.Add(-1)
		select {
		case c.idle <- struct{}{}:
		default:
		}
	}
}

// await returns the answer, or nil when the client has left before it was ready.
func (c *client) await(x *exchange) *port.Response {
	select {
	case a := <-x.answer:
		return a
	case <-c.ctx.Done():
		c.drop(x)
		return nil
	}
}

// drop ends an exchange whose answer can't be sent. Its call ends soon, since
// the context has; the rest of a long answer holds a slot until it is closed.
func (c *client) drop(x *exchange) {
	if a := <-x.answer; a.Remaining != nil {
		_ = a.Remaining.Close()
	}
}

// send writes one answer and reports whether the connection may go on.
func (c *client) send(x *exchange, a *port.Response) bool {
	last := x.last || (c.edge.Grace.Stopping() && c.open.Load() == 1)
	response := &http.Response{
		StatusCode: a.Status, ProtoMajor: 1, ProtoMinor: 1, Header: a.Header, ContentLength: a.Length,
		Request: x.request, Close: last,
	}
	for _, name := range []string{"Connection", "Keep-Alive", "Transfer-Encoding"} {
		a.Header.Del(name)
	}
	response.Body = bodyOf(a)
	if a.Length < 0 {
		response.TransferEncoding = []string{"chunked"}
	}
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	err := response.Write(c.writer)
	if err == nil {
		err = c.writer.Flush()
	}
	if a.Remaining != nil {
		_ = a.Remaining.Close()
	}
	if err != nil {
		c.leave()
		_ = c.conn.Close()
		return false
	}
	if last {
		c.finish()
		return false
	}
	return true
}

// finish ends the connection after its last answer. The reader, which may wait
// for a request, sees the end; what the client still sends is not read as one.
// Requests behind the last answer end: the client sends them again.
func (c *client) finish() {
	c.leave()
	if half, ok := c.conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	c.closing.Store(true)
	_ = c.conn.SetReadDeadline(time.Now().Add(linger))
}

func bodyOf(a *port.Response) io.ReadCloser {
	switch {
	case a.Remaining != nil:
		return io.NopCloser(io.MultiReader(bytes.NewReader(a.Buffered), a.Remaining))
	case len(a.Buffered) == 0:
		return http.NoBody
	}
	return io.NopCloser(bytes.NewReader(a.Buffered))
}
