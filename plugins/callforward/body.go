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

// heldBodyBytes is the largest body that is read before the first attempt, so
// that an attempt which did not run can be repeated. Larger bodies are streamed.
const heldBodyBytes = 64 << 10

// callBody is the body of a caller's request.
type callBody struct {
	patience *patience
	held     []byte        // whole body when it is small
	stream   io.ReadCloser // nil when the body is held
	touched  atomic.Bool   // a byte of the stream was read
}

func newCallBody(r *http.Request, p *patience) (*callBody, error) {
	b := &callBody{patience: p}
	if r.ContentLength < 0 || r.ContentLength > heldBodyBytes {
		b.stream = r.Body
		return b, nil
	}
	b.held = make([]byte, r.ContentLength)
	_, err := io.ReadFull(r.Body, b.held)
	return b, err
}

// replayable reports whether another attempt can send the whole body.
func (b *callBody) replayable() bool { return b.stream == nil || !b.touched.Load() }

// forAttempt returns the body for one attempt.
func (b *callBody) forAttempt() io.ReadCloser {
	if b.stream != nil {
		return &trackedBody{ReadCloser: b.stream, patience: b.patience, touched: &b.touched}
	}
	if len(b.held) == 0 {
		return http.NoBody
	}
	return &trackedBody{ReadCloser: io.NopCloser(bytes.NewReader(b.held)), patience: b.patience, touched: &b.touched}
}

const (
	// maxDrain and drainTime are what net/http itself grants an unread body on
	// a connection that it keeps.
	maxDrain  = 256 << 10
	drainTime = 500 * time.Millisecond
)

// drain reads the rest of a refused body on a connection that is closed after
// the answer. net/http does not, and closing a socket with unread bytes resets
// it, which can take the refusal from the caller.
func drain(w http.ResponseWriter, r *http.Request) {
	if !r.Close || r.Header.Get("Expect") != "" {
		return
	}
	if http.NewResponseController(w).SetReadDeadline(time.Now().Add(drainTime)) == nil {
		_, _ = io.CopyN(io.Discard, r.Body, maxDrain)
	}
}

// fingerprint identifies equal requests by method, target, key and, where it
// is held, the body. All nodes compute the same number.
func fingerprint(r *http.Request, b *callBody) uint64 {
	h := fnv.New64a()
	for _, part := range []string{r.Method, r.URL.RequestURI(), r.Header.Get(wire.HeaderKey)} {
		_, _ = io.WriteString(h, part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(b.held)
	return h.Sum64()
}
