package callrelay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"teaselring/kernel"
	"teaselring/port"
	"teaselring/result"
)

const (
	// maxHeldBytes is the part of a response that is read before it is forwarded, so
	// that a truncated response is detected. Larger ones are streamed.
	maxHeldBytes = 1 << 20
	// minHeldBytes is that part while the responses in progress hold maxHeldTotal
	// together: many bodies without end must fit into the smallest machine (184 MB).
	minHeldBytes = 64 << 10
	maxHeldTotal = 16 << 20
	// maxStrayResponses bounds the responses to earlier requests that are skipped.
	maxStrayResponses = 3
	// bodyFinishTimeout is the time to send the rest of a body whose response is
	// complete before the connection is closed.
	bodyFinishTimeout = 50 * time.Millisecond
	// concurrentSendBytes is the body size from which sending and receiving run
	// concurrently: the peer may respond before it has read the body.
	concurrentSendBytes = 16 << 10
)

// exchange is one request on one connection.
type exchange struct {
	pool     *pool
	guard    *kernel.Guard
	address  string
	request  *http.Request // to send, without body
	incoming *port.Request // its body is sent
	// matches reports whether a response belongs to the request; nil: all do.
	matches func(*http.Response) bool
	// idleTimeout returns how long the connection may idle after the response.
	idleTimeout func(*http.Response) time.Duration
	// mayRejectEarly is set when the peer may reject a long body before it has read
	// it, and read the rest later.
	mayRejectEarly bool

	// bodyFailure is the error that ended the incoming body before its end.
	bodyFailure atomic.Pointer[error]

	conn      *connection
	sendDone  chan error // result of a concurrent send; nil: none
	reused    bool
	startedAt time.Time
	// stop ends the watch for the end of the context, and reports whether it did before
	// that interrupted the connection.
	stop func() bool
}

// run sends the request and receives the response. The error's code says whether
// the request may have run. The context's deadline bounds the whole exchange.
func (x *exchange) run(ctx context.Context) (*port.Response, error) {
	conn, err := x.pool.get(ctx, x.address)
	if err != nil {
		if ctxErr := contextError(ctx); ctxErr != nil {
			return nil, result.DeadlineBefore.Errorf("connecting to %s: %v", x.address, err)
		}
		return nil, result.ConnectFailed.Errorf("%v", err)
	}
	if ctxErr := contextError(ctx); ctxErr != nil {
		x.pool.put(conn, defaultIdleTimeout)
		return nil, result.CallerGone.Errorf("nothing was sent: %v", ctxErr)
	}
	x.conn, x.reused, x.startedAt = conn, conn.reused, time.Now()
	if deadline, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(deadline)
	}
	x.stop = context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	response, err := x.roundTrip()
	if err != nil {
		x.stop()
		_ = conn.Close()
		return nil, x.classifyError(ctx, err)
	}
	if response.Remaining != nil {
		response.Remaining = &stoppingBody{ReadCloser: response.Remaining, stop: x.stop}
	}
	return response, nil
}

// stoppingBody calls stop when a streamed body is closed.
type stoppingBody struct {
	io.ReadCloser
	stop func() bool
}

// Close implements io.Closer.
func (c *stoppingBody) Close() error {
	c.stop()
	return c.ReadCloser.Close()
}

// classifyError returns the coded error of an exchange that failed after sending began.
func (x *exchange) classifyError(ctx context.Context, err error) error {
	if failure := x.bodyFailure.Load(); failure != nil {
		if result.Of(*failure) == result.BodyOverLimit {
			return *failure
		}
		err = *failure
	}
	if ctxErr := contextError(ctx); ctxErr != nil {
		if result.Of(ctxErr) == result.DeadlineDuring {
			x.pool.closeIdle(x.address)
		}
		return ctxErr
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		x.pool.closeIdle(x.address)
		return result.DeadlineDuring.Errorf("no response from %s", x.address)
	}
	return result.ConnectionLost.Errorf("%s after %v (kept connection: %v): %v", x.address, time.Since(x.startedAt).Round(time.Millisecond), x.reused, err)
}

// contextError returns why a context ended, or nil when it has not.
func contextError(ctx context.Context) error {
	switch ctx.Err() {
	case nil:
		return nil
	case context.DeadlineExceeded:
		return result.DeadlineDuring.Err()
	}
	return result.CallerGone.Errorf("the caller disconnected during the call")
}

func (x *exchange) roundTrip() (*port.Response, error) {
	if err := x.send(); err != nil {
		return nil, err
	}
	httpResponse, strays, err := x.receive()
	if err != nil {
		return nil, err
	}
	response := &port.Response{Status: httpResponse.StatusCode, Header: httpResponse.Header, Length: httpResponse.ContentLength}
	streamed, release, err := x.hold(response, httpResponse.Body)
	if err != nil {
		release()
		return nil, err
	}
	if streamed {
		response.Remaining = &streamedBody{Reader: httpResponse.Body, conn: x.conn, release: release}
		return response, nil
	}
	release()
	if x.request.Method != http.MethodHead { // there it is the length of a body that is not sent
		response.Length = int64(len(response.Buffered))
	}
	x.releaseConnection(httpResponse, strays)
	return response, nil
}

// hold reads the beginning of a body, and reports whether there may be more. Release
// returns what the body takes of the bytes that responses in progress may hold together.
func (x *exchange) hold(response *port.Response, body io.Reader) (streamed bool, release func(), err error) {
	release = func() {}
	if response.Buffered, err = io.ReadAll(io.LimitReader(body, minHeldBytes)); err != nil || len(response.Buffered) < minHeldBytes {
		return false, release, err
	}
	if x.pool.held.Add(maxHeldBytes) > maxHeldTotal {
		x.pool.held.Add(-maxHeldBytes)
		return true, release, nil
	}
	release = sync.OnceFunc(func() { x.pool.held.Add(-maxHeldBytes) })
	more, err := io.ReadAll(io.LimitReader(body, maxHeldBytes-minHeldBytes))
	response.Buffered = append(response.Buffered, more...)
	return len(response.Buffered) == maxHeldBytes, release, err
}

// streamedBody is the rest of a long response. Its connection is not reused.
type streamedBody struct {
	io.Reader
	conn    *connection
	release func()
}

// Close implements io.Closer.
func (s *streamedBody) Close() error {
	s.release()
	return s.conn.Close()
}

// send writes the request. A long body is sent concurrently.
func (x *exchange) send() error {
	r := x.request
	r.ContentLength = x.incoming.Length
	r.Body = io.NopCloser(bytes.NewReader(x.incoming.Buffered))
	if x.incoming.Remaining != nil {
		r.Body = io.NopCloser(io.MultiReader(bytes.NewReader(x.incoming.Buffered), &watchedBody{Reader: x.incoming.Remaining, x: x}))
	}
	if x.incoming.Length == 0 {
		r.Body = http.NoBody
	}
	if x.incoming.Length >= 0 && x.incoming.Length < concurrentSendBytes {
		return x.write()
	}
	x.sendDone = make(chan error, 1)
	go func() { x.sendDone <- x.guard.Run("send a body", "", x.write) }()
	return nil
}

// watchedBody ends the exchange when the incoming body fails before its end. The peer
// waits for the rest, which will not come.
type watchedBody struct {
	io.Reader
	x *exchange
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.x.bodyFailure.Store(&err)
		_ = b.x.conn.SetDeadline(time.Unix(1, 0))
	}
	return n, err
}

func (x *exchange) write() error {
	if err := x.request.Write(x.conn.writer); err != nil {
		return err
	}
	return x.conn.writer.Flush()
}

// receive reads the response to the request. It skips late responses to earlier
// requests and returns their number.
func (x *exchange) receive() (*http.Response, int, error) {
	for strays := 0; ; {
		response, err := x.readHead()
		if err != nil {
			return nil, 0, err
		}
		if x.matches == nil || x.matches(response) {
			return response, strays, nil
		}
		if strays++; strays > maxStrayResponses || response.ContentLength < 0 || response.ContentLength > maxHeldBytes {
			return nil, 0, errors.New("an answer to another request")
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, 0, err
		}
	}
}

// readHead reads the head of the next response, after any interim responses.
func (x *exchange) readHead() (*http.Response, error) {
	x.conn.input.Limit(port.MaxHeadBytes) // interim responses included
	defer x.conn.input.Unlimit()
	for range port.MaxInterimResponses {
		response, err := http.ReadResponse(x.conn.reader, x.request)
		if err == nil {
			err = port.CheckResponseHead(response)
		}
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
	return nil, errors.New("more interim responses than allowed")
}

// releaseConnection returns the connection to the pool when the exchange is complete
// on both sides and no bytes are left over; otherwise it closes it.
func (x *exchange) releaseConnection(response *http.Response, strays int) {
	idle := x.idleTimeout(response)
	delimited := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	complete := delimited && strays == 0 && x.conn.reader.Buffered() == 0 && !x.bodyMayBeUnread(response) && x.bodySent()
	if !x.stop() || response.Close || idle <= 0 || !complete {
		_ = x.conn.Close()
		return
	}
	_ = x.conn.SetDeadline(time.Time{})
	x.pool.put(x.conn, idle)
}

// bodyMayBeUnread reports whether a part of a long body may still be in the buffers
// of the connection. The next request would wait until the peer has read it.
func (x *exchange) bodyMayBeUnread(response *http.Response) bool {
	return x.mayRejectEarly && x.sendDone != nil && response.StatusCode >= http.StatusMultipleChoices
}

// bodySent reports whether the whole body was sent. A response may be complete
// before; the rest of the body must not be read as the next request.
func (x *exchange) bodySent() bool {
	if x.sendDone == nil {
		return true
	}
	timer := time.NewTimer(bodyFinishTimeout)
	defer timer.Stop()
	select {
	case err := <-x.sendDone:
		return err == nil
	case <-timer.C:
		return false
	}
}

// keepAliveTimeout returns how long a connection may idle by its Keep-Alive header,
// less a margin for the transmission of the next request.
func keepAliveTimeout(response *http.Response) time.Duration {
	for _, part := range strings.Split(response.Header.Get("Keep-Alive"), ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if s, err := strconv.Atoi(text); err == nil {
			return time.Duration(s) * time.Second * 4 / 5
		}
	}
	return defaultIdleTimeout
}
