package callrelay

import (
	"context"
	"errors"
	"io"
)

const (
	aheadChunk  = 32 << 10               // bytes
	aheadChunks = heldBytes / aheadChunk // of a body that are read ahead of its sending
)

// ahead is a body that is read while the attempt waits for its slot. net/http
// notices that the other side has left only once the whole body was read; reading
// it first would keep a long body on a slow link from the slot that is free now.
type ahead struct {
	chunks chan []byte // in order; closed at the end of the body
	err    error       // of the end; set before chunks is closed
	rest   []byte
}

// readAhead reads a body until its end or the end of the context. Length is in
// bytes, -1 when it is not known. Gone is called when the body breaks off.
func readAhead(ctx context.Context, body io.Reader, length int64, gone func()) io.Reader {
	a := &ahead{chunks: make(chan []byte, aheadChunks)}
	go a.fill(ctx, body, length, gone)
	return a
}

func (a *ahead) fill(ctx context.Context, body io.Reader, left int64, gone func()) {
	defer close(a.chunks)
	for {
		chunk := make([]byte, chunkSize(left))
		n, err := io.ReadFull(body, chunk)
		left -= int64(n)
		if n > 0 {
			select {
			case a.chunks <- chunk[:n]:
			case <-ctx.Done():
				a.err = ctx.Err()
				return
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF) && ended(body):
			a.err = io.EOF
			return
		default:
			a.err = err
			gone()
			return
		}
	}
}

// chunkSize returns the size of the next chunk. With nothing left, one byte more
// is asked for, since net/http watches the connection only after the end.
func chunkSize(left int64) int64 {
	if left < 0 {
		return aheadChunk
	}
	return max(1, min(left, aheadChunk))
}

// ended reports whether a body that filled a chunk only in part was whole: its
// next read says so. ReadFull tells a short body and a broken one alike.
func ended(body io.Reader) bool {
	_, err := body.Read(make([]byte, 1))
	return errors.Is(err, io.EOF)
}

// Read implements io.Reader.
func (a *ahead) Read(p []byte) (int, error) {
	if len(a.rest) == 0 {
		chunk, more := <-a.chunks
		if !more {
			return 0, a.err
		}
		a.rest = chunk
	}
	n := copy(p, a.rest)
	a.rest = a.rest[n:]
	return n, nil
}
