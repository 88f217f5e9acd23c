package callforward

import (
	"io"
	"net/http"
	"sync"
)

// copyBufferBytes is what one call holds in memory of a body in flight.
const copyBufferBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, copyBufferBytes); return &b }}

// copyAnswer sends status, headers and body of an answer. A body that breaks
// off aborts the connection of the receiver, so that a part is never taken for
// the whole.
func copyAnswer(w http.ResponseWriter, answer *http.Response, p *patience) {
	header := w.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	w.WriteHeader(answer.StatusCode)
	if err := copyBody(w, answer.Body, answer.ContentLength, p); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// copyBody flushes after each piece when more is not at hand, so that a slow
// stream reaches its reader without delay. The end of a body of known length is
// not flushed: headers, body and end then leave in one write. Left is the known
// length, or -1.
func copyBody(w http.ResponseWriter, body io.Reader, left int64, p *patience) error {
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
		left -= int64(n)
		if n < len(*buffer) && left != 0 && flusher != nil {
			flusher.Flush()
		}
	}
}
