package callforward

import (
	"io"
	"net/http"
	"sync"

	"teaselring/port"
)

// copyBufferBytes is the memory that one call uses for a streamed body.
const copyBufferBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, copyBufferBytes); return &b }}

// copyResponse sends the status, headers and body of a response to a request. A truncated
// body aborts the connection to the receiver, so that it is never taken for a complete one.
func copyResponse(w http.ResponseWriter, r *http.Request, response *http.Response, p *progressTimer) {
	header := w.Header()
	for name, values := range response.Header {
		header[name] = values
	}
	w.WriteHeader(response.StatusCode)
	if err := copyBody(w, response.Body, response.ContentLength, p); err != nil {
		if !r.ProtoAtLeast(1, 1) {
			port.ResetOnClose(r.Context())
		}
		panic(http.ErrAbortHandler)
	}
}

// copyBody copies a body and flushes after each read that leaves the buffer partly
// empty, so that a slow stream reaches its reader without delay. The end of a body of
// known length is not flushed, so that headers and body are sent in one write. The
// remaining length is -1 when unknown.
func copyBody(w http.ResponseWriter, body io.Reader, remaining int64, p *progressTimer) error {
	buffer := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buffer)
	flusher, _ := w.(http.Flusher)
	for {
		n, err := body.Read(*buffer)
		if n > 0 {
			p.received()
			if _, writeErr := w.Write((*buffer)[:n]); writeErr != nil {
				return writeErr
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		remaining -= int64(n)
		if n < len(*buffer) && remaining != 0 && flusher != nil {
			flusher.Flush()
		}
	}
}
