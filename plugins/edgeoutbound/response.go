package edgeoutbound

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"teaselring/port"
)

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
		c.release(x)
		c.reservation.EndCall()
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
	_ = c.conn.CloseWrite()
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
