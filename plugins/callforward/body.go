package callforward

import (
	"bytes"
	"hash/fnv"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"teaselring/wire"
)

// maxHeldBodyBytes is the largest body that is read before the first attempt, so
// that it can be sent again in another attempt. Larger bodies are streamed.
const maxHeldBodyBytes = 64 << 10

// callBody is the body of a caller's request.
type callBody struct {
	progressTimer *progressTimer
	held          []byte        // the whole body when it is small
	stream        io.ReadCloser // nil when the body is held
	readStarted   atomic.Bool   // a byte of the stream was read
}

func newCallBody(r *http.Request, p *progressTimer) (*callBody, error) {
	b := &callBody{progressTimer: p}
	if r.ContentLength < 0 || r.ContentLength > maxHeldBodyBytes {
		b.stream = r.Body
		return b, nil
	}
	b.held = make([]byte, r.ContentLength)
	_, err := io.ReadFull(r.Body, b.held)
	return b, err
}

// replayable reports whether another attempt can send the whole body.
func (b *callBody) replayable() bool { return b.stream == nil || !b.readStarted.Load() }

// attemptBody returns the body for one attempt.
func (b *callBody) attemptBody() io.ReadCloser {
	if b.stream != nil {
		return &trackedBody{ReadCloser: b.stream, progressTimer: b.progressTimer, readStarted: &b.readStarted}
	}
	if len(b.held) == 0 {
		return http.NoBody
	}
	return &trackedBody{ReadCloser: io.NopCloser(bytes.NewReader(b.held)), progressTimer: b.progressTimer, readStarted: &b.readStarted}
}

const (
	// maxDrainBytes and drainTimeout are the limits of net/http for an unread body on
	// a connection that it keeps open.
	maxDrainBytes = 256 << 10
	drainTimeout  = 500 * time.Millisecond
)

// drainBody reads the rest of the body of a refused request on a connection that is
// closed after the response. net/http does not, and closing a socket with unread bytes
// resets it, so that the caller may lose the refusal.
func drainBody(w http.ResponseWriter, r *http.Request) {
	if !r.Close || r.Header.Get("Expect") != "" {
		return
	}
	if http.NewResponseController(w).SetReadDeadline(time.Now().Add(drainTimeout)) == nil {
		_, _ = io.CopyN(io.Discard, r.Body, maxDrainBytes)
	}
}

// fingerprint identifies equal requests by method, URI, key and, when it is held,
// the body. All nodes compute the same number.
func fingerprint(r *http.Request, b *callBody) uint64 {
	h := fnv.New64a()
	for _, part := range []string{r.Method, r.URL.RequestURI(), r.Header.Get(wire.HeaderKey)} {
		_, _ = io.WriteString(h, part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(b.held)
	return h.Sum64()
}
