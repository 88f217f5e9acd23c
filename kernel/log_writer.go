package kernel

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// logRingCapacity is the capacity of the log ring in lines: a few seconds of output
	// of a busy node, less than 2 MB.
	logRingCapacity = 4096
	// logFlushTimeout bounds how long Close waits for the buffered lines.
	logFlushTimeout = 500 * time.Millisecond
)

// LogWriter writes log lines asynchronously through a bounded ring, so that no
// caller waits for the output. When the ring is full, lines are dropped and counted;
// the count is logged as a separate line.
type LogWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	stop    chan struct{}
	done    chan struct{}
}

// NewLogWriter returns a writer to out and starts the duty that empties its ring.
func NewLogWriter(out io.Writer) *LogWriter {
	w := &LogWriter{out: out, lines: make(chan []byte, logRingCapacity), stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It never blocks and never fails.
func (w *LogWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

func (w *LogWriter) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		case <-w.stop:
			for len(w.lines) > 0 {
				w.writeLine(<-w.lines)
			}
			return
		}
	}
}

// writeLine writes one line. Write errors are ignored: there is no other place to
// report them.
func (w *LogWriter) writeLine(line []byte) {
	_, _ = w.out.Write(line)
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w.out, "{\"time\":%q,\"level\":\"warn\",\"lines\":%d,\"msg\":\"log lines dropped\"}\n",
			time.Now().Format(time.RFC3339Nano), n)
	}
}

// Close writes the buffered lines, for at most logFlushTimeout.
func (w *LogWriter) Close() {
	close(w.stop)
	select {
	case <-w.done:
	case <-time.After(logFlushTimeout):
	}
}
