package callrelay

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"teaselring/kernel"
	"teaselring/port"
)

const (
	readAheadChunkBytes = 32 << 10
	maxReadAheadChunks  = maxHeldBytes / readAheadChunkBytes // of one body
	// reserveInterval is the time between two tries to close slow connections in favour
	// of a body that does not fit into the budget.
	reserveInterval = 250 * time.Millisecond
)

// readAheadBody reads a body while the attempt waits for its slot. net/http detects
// a disconnected peer only after the whole body was read. Reading it all before
// requesting a slot would deny a free slot to a long body on a slow link.
type readAheadBody struct {
	chunks  chan readAheadChunk // in order; closed at the end of the body
	err     error               // that ended the body; set before chunks is closed
	current readAheadChunk

	// reservation bounds the chunks that are held. When it refuses, the next one is read
	// after all of them were consumed.
	reservation *port.Reservation
	held        atomic.Int64  // chunks that are not consumed
	consumed    chan struct{} // signals that a chunk was consumed
}

type readAheadChunk struct {
	content  []byte
	reserved int64 // bytes of the reservation
}

// readAhead starts to read a body, until its end or the end of the context. The
// length is in bytes, -1 when unknown. A read error calls onError.
func readAhead(ctx context.Context, guard *kernel.Guard, body io.Reader, length int64, onError func()) io.Reader {
	a := &readAheadBody{
		chunks: make(chan readAheadChunk, maxReadAheadChunks), err: io.ErrUnexpectedEOF,
		reservation: port.ReservationOf(ctx), consumed: make(chan struct{}, 1),
	}
	go func() {
		if guard.Do("read a body", func() { a.fill(ctx, body, length, onError) }) != nil {
			onError()
		}
	}()
	return a
}

func (a *readAheadBody) fill(ctx context.Context, body io.Reader, remaining int64, onError func()) {
	defer close(a.chunks)
	for {
		size := chunkSize(remaining)
		reserved, err := a.reserve(ctx, size)
		if err != nil {
			a.err = err
			return
		}
		chunk := make([]byte, size)
		n, err := io.ReadFull(body, chunk)
		remaining -= int64(n)
		if n == 0 {
			a.reservation.Release(reserved)
		} else {
			a.held.Add(1)
			select {
			case a.chunks <- readAheadChunk{chunk[:n], reserved}:
			case <-ctx.Done():
				a.err = ctx.Err()
				return
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF) && atEnd(body):
			a.err = io.EOF
			return
		default:
			a.err = err
			onError()
			return
		}
	}
}

// reserve takes the bytes of the next chunk from the budget and returns their number.
// When they do not fit, it waits until no chunk is held, so that one chunk of each body
// is always read, or until other connections are slow enough to be closed. Otherwise
// bodies that stop short of their end would hold the slots one after another: a body
// that is not read can't be seen to have stopped.
func (a *readAheadBody) reserve(ctx context.Context, size int64) (int64, error) {
	if a.reservation.TryReserve(size) {
		return size, nil
	}
	ticker := time.NewTicker(reserveInterval)
	defer ticker.Stop()
	for a.held.Load() > 0 {
		select {
		case <-a.consumed:
			if a.reservation.TryReserve(size) {
				return size, nil
			}
		case <-ticker.C:
			if a.reservation.Reserve(size) {
				return size, nil
			}
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
	return 0, nil
}

// chunkSize returns the size of the next chunk. With nothing remaining it is one
// byte, since net/http watches the connection only after the end was read.
func chunkSize(remaining int64) int64 {
	if remaining < 0 {
		return readAheadChunkBytes
	}
	return max(1, min(remaining, readAheadChunkBytes))
}

// atEnd reports whether a body that filled only a part of a chunk was complete, by
// one more read. ReadFull returns the same error for a short body and a broken one.
func atEnd(body io.Reader) bool {
	_, err := body.Read(make([]byte, 1))
	return errors.Is(err, io.EOF)
}

// Read implements io.Reader.
func (a *readAheadBody) Read(p []byte) (int, error) {
	if len(a.current.content) == 0 {
		chunk, more := <-a.chunks
		if !more {
			return 0, a.err
		}
		a.current = chunk
	}
	n := copy(p, a.current.content)
	if a.current.content = a.current.content[n:]; len(a.current.content) == 0 {
		a.release()
	}
	return n, nil
}

// release returns the bytes of the current chunk.
func (a *readAheadBody) release() {
	a.reservation.Release(a.current.reserved)
	a.held.Add(-1)
	select {
	case a.consumed <- struct{}{}:
	default:
	}
}
