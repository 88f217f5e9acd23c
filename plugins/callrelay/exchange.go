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
	"time"

	"teaselring/port"
	"teaselring/result"
)

const (
	// heldBytes is the part of an answer that is read before it is passed on, so
	// that one that breaks off can be told from a whole one. Larger ones stream.
	heldBytes = 1 << 20
	// maxStray bounds the answers to earlier requests that are skipped.
	maxStray = 3
	// finishBody is the time to send the rest of a body whose answer is complete
	// before the connection is given up.
	finishBody = 50 * time.Millisecond
	// asideBytes is the body size from which sending runs beside receiving: the
	// other side may answer before it reads on.
	asideBytes = 16 << 10
)

// exchange is one request on one connection.
type exchange struct {
	pool    *pool
	address string
	request *http.Request // to send, without body
	body    *port.Request // whose body is sent
	// matches reports whether an answer belongs to the request; nil: all do.
	matches func(*http.Response) bool
	// kept returns how long the connection may idle after the answer.
	kept func(*http.Response) time.Duration
	// readsLate is set when the other side may reject a long body before it has
	// read it, and read on later.
	readsLate bool

	conn   *connection
	sent   chan error // of the body, when it is sent aside
	reused bool
	began  time.Time
}

// run sends the request and receives the answer. The error's code says whether
// the request may have run. The context's deadline bounds the whole exchange.
func (x *exchange) run(ctx context.Context) (*port.Answer, error) {
	conn, err := x.pool.get(ctx, x.address)
	if err != nil {
		if ended := endedBy(ctx); ended != nil {
			return nil, result.DeadlineBefore.Errorf("connecting to %s: %v", x.address, err)
		}
		return nil, result.ConnectFailed.Errorf("%v", err)
	}
	if ended := endedBy(ctx); ended != nil {
		x.pool.put(conn, idleLimit)
		return nil, result.CallerGone.Errorf("nothing was sent: %v", ended)
	}
	x.conn, x.reused, x.began = conn, conn.reused, time.Now()
	if deadline, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(deadline)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	answer, err := x.converse(ctx)
	if err != nil {
		stop()
		_ = conn.Close()
		return nil, x.failure(ctx, err)
	}
	if answer.Rest == nil {
		stop()
		return answer, nil
	}
	answer.Rest = &closing{ReadCloser: answer.Rest, stop: stop}
	return answer, nil
}

// closing ends the watch on the context when a streamed answer is closed.
type closing struct {
	io.ReadCloser
	stop func() bool
}

// Close implements io.Closer.
func (c *closing) Close() error {
	c.stop()
	return c.ReadCloser.Close()
}

// failure names the end of an exchange of which at least a part was sent.
func (x *exchange) failure(ctx context.Context, err error) error {
	if ended := endedBy(ctx); ended != nil {
		if result.Of(ended) == result.DeadlineDuring {
			x.pool.forget(x.address)
		}
		return ended
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		x.pool.forget(x.address)
		return result.DeadlineDuring.Errorf("no answer from %s", x.address)
	}
	return result.ConnectionLost.Errorf("%s after %v (kept connection: %v): %v", x.address, time.Since(x.began).Round(time.Millisecond), x.reused, err)
}

// endedBy returns why a context ended, nil while it lasts.
func endedBy(ctx context.Context) error {
	switch ctx.Err() {
	case nil:
		return nil
	case context.DeadlineExceeded:
		return result.DeadlineDuring.Err()
	}
	return result.CallerGone.Errorf("the caller left during the call")
}

func (x *exchange) converse(ctx context.Context) (*port.Answer, error) {
	if err := x.send(); err != nil {
		return nil, err
	}
	response, strays, err := x.receive()
	if err != nil {
		return nil, err
	}
	answer := &port.Answer{Status: response.StatusCode, Header: response.Header, Length: response.ContentLength}
	answer.Held, err = io.ReadAll(io.LimitReader(response.Body, heldBytes))
	if err != nil {
		return nil, err
	}
	if len(answer.Held) == heldBytes {
		answer.Rest = &streamed{Reader: response.Body, conn: x.conn}
		return answer, nil
	}
	answer.Length = int64(len(answer.Held))
	x.release(ctx, response, strays)
	return answer, nil
}

// streamed is the rest of a long answer. Its connection is not used again.
type streamed struct {
	io.Reader
	conn *connection
}

// Close implements io.Closer.
func (s *streamed) Close() error { return s.conn.Close() }

// send writes the request. A long body is sent aside.
func (x *exchange) send() error {
	r := x.request
	r.ContentLength = x.body.Length
	r.Body = io.NopCloser(bytes.NewReader(x.body.Held))
	if x.body.Rest != nil {
		r.Body = io.NopCloser(io.MultiReader(bytes.NewReader(x.body.Held), x.body.Rest))
	}
	if x.body.Length == 0 {
		r.Body = http.NoBody
	}
	if x.body.Length >= 0 && x.body.Length < asideBytes {
		return x.write()
	}
	x.sent = make(chan error, 1)
	go func() { x.sent <- x.write() }()
	return nil
}

func (x *exchange) write() error {
	if err := x.request.Write(x.conn.writer); err != nil {
		return err
	}
	return x.conn.writer.Flush()
}

// receive reads the answer to the request, skipping interim answers and late
// answers to earlier requests.
func (x *exchange) receive() (*http.Response, int, error) {
	for strays := 0; ; {
		response, err := http.ReadResponse(x.conn.reader, x.request)
		if err != nil {
			return nil, 0, err
		}
		if response.StatusCode < http.StatusOK {
			if response.StatusCode == http.StatusSwitchingProtocols {
				return nil, 0, errors.New("the connection was switched to another protocol")
			}
			continue
		}
		if x.matches == nil || x.matches(response) {
			return response, strays, nil
		}
		if strays++; strays > maxStray || response.ContentLength < 0 {
			return nil, 0, errors.New("an answer to another request")
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, 0, err
		}
	}
}

// release keeps the connection when the exchange is complete on both sides and
// nothing is left over.
func (x *exchange) release(ctx context.Context, response *http.Response, strays int) {
	idle := x.kept(response)
	whole := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	complete := whole && strays == 0 && x.conn.reader.Buffered() == 0 && !x.bodyUnread(response) && x.bodySent()
	if ctx.Err() != nil || response.Close || idle <= 0 || !complete {
		_ = x.conn.Close()
		return
	}
	_ = x.conn.SetDeadline(time.Time{})
	x.pool.put(x.conn, idle)
}

// bodyUnread reports whether a part of a long body may still be in the buffers
// of the connection. A request behind it would wait until the other side reads on.
func (x *exchange) bodyUnread(response *http.Response) bool {
	return x.readsLate && x.sent != nil && response.StatusCode >= http.StatusMultipleChoices
}

// bodySent reports whether all of the body was sent. An answer may be complete
// before; the rest of the body must not be taken for the next request.
func (x *exchange) bodySent() bool {
	if x.sent == nil {
		return true
	}
	timer := time.NewTimer(finishBody)
	defer timer.Stop()
	select {
	case err := <-x.sent:
		return err == nil
	case <-timer.C:
		return false
	}
}

// keepAlive returns how long a connection may idle by its Keep-Alive header,
// with a margin for the way of the next request.
func keepAlive(response *http.Response) time.Duration {
	for _, part := range strings.Split(response.Header.Get("Keep-Alive"), ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if s, err := strconv.Atoi(text); err == nil {
			return time.Duration(s) * time.Second * 4 / 5
		}
	}
	return idleLimit
}
