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

	"teaselring/decision/budget"
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
	// minBodyBuffer is the first buffer of a body.
	minBodyBuffer = 512
	// overloadRetryAfter is the Retry-After of a request that exceeds the budget, in
	// seconds: connections that make no progress are closed after 0.25 s.
	overloadRetryAfter = "0.5"
)

// clientConn is a client's connection. A reader starts the calls of requests, a
// writer sends the responses in order; the queue between them is bounded.
type clientConn struct {
	edge        *edge
	conn        *port.BudgetConn
	reservation *port.Reservation
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
	closeAfter bool  // closes the connection after the response
	overlaps   bool  // a response of maxHeldBytes is reserved
	reserved   int64 // bytes of the budget that the request and its response hold
}

func newClientConn(e *edge, conn *port.BudgetConn) *clientConn {
	c := &clientConn{
		edge: e, conn: conn, reservation: conn.Reservation, input: port.NewLimitedInput(conn), queue: make(chan *exchange, maxPipelined),
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
	request, reserved, err := c.readHead(limits.HeaderBytes)
	if err != nil {
		c.reservation.Release(reserved)
		return c.handleReadError(err)
	}
	_ = c.conn.SetReadDeadline(time.Time{})
	x := &exchange{
		request: request, response: make(chan *port.Response, 1), arrived: arrived, reserved: reserved,
		closeAfter: request.Close || !request.ProtoAtLeast(1, 1),
	}
	useOriginForm(request)
	if err := validateRequest(request, limits.BodyBytes); err != nil {
		return c.refuse(x, err)
	}
	if !(c.edge.mayOverlap(request) && c.reserveOverlap(x)) && !c.awaitAllAnswered() {
		c.release(x)
		return false
	}
	return c.startCall(x, limits.BodyBytes)
}

// readHead reads the head of a request, and returns the bytes that it has reserved for
// it, also with an error. They are reserved before the head is parsed.
func (c *clientConn) readHead(limit int) (request *http.Request, reserved int64, err error) {
	charge := func(part []byte) bool {
		cost := budget.HeadCost(part)
		if !c.reservation.Reserve(cost) {
			return false
		}
		reserved += cost
		return true
	}
	buffered, _ := c.reader.Peek(c.reader.Buffered()) // never fails
	if end := bytes.Index(buffered, headEnd); end >= 0 {
		buffered = buffered[:end]
	}
	if !charge(buffered) {
		return nil, reserved, port.ErrBudget
	}
	c.input.LimitAndCharge(limit-c.reader.Buffered(), charge)
	defer c.input.Unlimit()
	request, err = http.ReadRequest(c.reader)
	return request, reserved, err
}

var headEnd = []byte("\r\n\r\n")

// reserveOverlap reserves the largest response that is held for a request whose earlier
// ones are not answered. Without it the request waits for them, so that a client that
// does not read can't queue responses beyond the budget.
func (c *clientConn) reserveOverlap(x *exchange) bool {
	if c.unanswered.Load() == 0 {
		return true
	}
	if !c.reservation.TryReserve(maxHeldBytes) {
		return false
	}
	x.reserved += maxHeldBytes
	x.overlaps = true
	return true
}

// release returns what a request and its response have held.
func (c *clientConn) release(x *exchange) { c.reservation.Release(x.reserved) }

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
	x := &exchange{request: &http.Request{Method: http.MethodGet}, response: make(chan *port.Response, 1)}
	status := http.StatusBadRequest
	var netErr net.Error
	switch {
	case errors.Is(err, port.ErrBudget):
		c.refuseOverloaded(x)
		return false
	case errors.Is(err, port.ErrHeadTooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		status = http.StatusRequestTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &netErr):
		c.cancel()
		return false
	}
	c.respondAndClose(x, status)
	return false
}

// refuseOverloaded refuses a request that exceeds the budget. It has not run.
func (c *clientConn) refuseOverloaded(x *exchange) {
	x.closeAfter = true
	c.enqueue(x)
	response := &port.Response{Status: http.StatusServiceUnavailable, Header: http.Header{"Retry-After": {overloadRetryAfter}}}
	response.Buffered = port.WriteRefusal(response.Header, result.AsError(port.ErrOverloaded))
	response.Length = int64(len(response.Buffered))
	x.response <- response
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
	c.reservation.BeginCall()
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
	c.reservation.SetInBody(x.request.Body != http.NoBody)
	held, err := c.holdBody(x)
	if errors.Is(err, port.ErrBudget) {
		c.refuseOverloaded(x)
		return false
	}
	if err != nil {
		c.release(x)
		c.cancel()
		return false
	}
	if int64(len(held)) > bodyBytes {
		return c.refuse(x, result.BodyTooLarge.Errorf("the body has more than the %d bytes that are allowed", bodyBytes))
	}
	r.Buffered = held
	streamed := int64(len(held)) == maxHeldBytes && r.Length != maxHeldBytes
	if !streamed {
		r.Length = int64(len(held))
	}
	c.edge.requests.Inc(1)
	c.enqueue(x)
	if !streamed {
		c.reservation.SetInBody(false)
		go c.serve(x, r)
		return !x.closeAfter
	}
	r.Remaining = &limitedBody{Reader: x.request.Body, left: bodyBytes - maxHeldBytes}
	x.closeAfter = true // the rest may remain unread
	c.serve(x, r)
	return false
}

// holdBody reads a body, or its first maxHeldBytes. Its buffer grows as the body
// arrives, and is reserved before it grows.
func (c *clientConn) holdBody(x *exchange) ([]byte, error) {
	body, limit := x.request.Body, int64(maxHeldBytes)
	if body == http.NoBody {
		return nil, nil
	}
	if length := x.request.ContentLength; length >= 0 && length < limit {
		limit = length + 1 // one byte more to reach the end of the body
	}
	var held []byte
	for {
		if len(held) == cap(held) {
			size := min(max(2*int64(cap(held)), minBodyBuffer), limit)
			if !c.reservation.Reserve(size - int64(cap(held))) {
				return nil, port.ErrBudget
			}
			x.reserved += size - int64(cap(held))
			grown := make([]byte, len(held), size)
			copy(grown, held)
			held = grown
		}
		n, err := body.Read(held[len(held):cap(held)])
		held = held[:len(held)+n]
		switch {
		case errors.Is(err, io.EOF):
			return held, nil
		case err != nil:
			return nil, err
		case len(held) == maxHeldBytes:
			return held, nil
		}
	}
}

// serve runs a call. The call path answers calls that end with a panic; if it panics
// itself, the status is 502, since the request may have run.
func (c *clientConn) serve(x *exchange, r *port.Request) {
	response := &port.Response{Status: http.StatusBadGateway, Header: http.Header{}}
	_ = c.edge.Guard.Do("serve a request", func() { response = c.edge.Path(c.ctx, r) })
	c.reserveResponse(x, response)
	x.response <- response
	c.edge.latency.Update(time.Since(x.arrived).Milliseconds())
}

// reserveResponse reserves the bytes of a response that waits to be sent. When they do not
// fit, the connection is closed, which says nothing about whether the request has run.
func (c *clientConn) reserveResponse(x *exchange, response *port.Response) {
	if x.overlaps {
		return
	}
	size := int64(len(response.Buffered))
	if !c.reservation.Reserve(size) {
		response.Buffered = nil
		c.cancel()
		_ = c.conn.Close()
		return
	}
	x.reserved += size
}
