package kernel

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// logLines is the capacity of the ring of log lines: a few seconds of a busy
	// node, below 2 MB.
	logLines = 4096
	// logFlush bounds the writing of the last lines when the process ends.
	logFlush = 500 * time.Millisecond
)

// LogWriter passes log lines on through a bounded ring, so that no caller waits
// for the output. Lines that find the ring full are dropped and counted; the
// count follows as a line of its own.
type LogWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	stop    chan struct{}
	ended   chan struct{}
}

// NewLogWriter returns a writer to out and starts the duty that empties its ring.
func NewLogWriter(out io.Writer) *LogWriter {
	w := &LogWriter{out: out, lines: make(chan []byte, logLines), stop: make(chan struct{}), ended: make(chan struct{})}
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
	defer close(w.ended)
	for {
		select {
		case line := <-w.lines:
			w.put(line)
		case <-w.stop:
			for len(w.lines) > 0 {
				w.put(<-w.lines)
			}
			return
		}
	}
}

// put writes one line. A failing output has no other place to be reported to.
func (w *LogWriter) put(line []byte) {
	_, _ = w.out.Write(line)
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w.out, "{\"time\":%q,\"level\":\"warn\",\"lines\":%d,\"msg\":\"log lines dropped\"}\n",
			time.Now().Format(time.RFC3339Nano), n)
	}
}

// Close writes the lines that wait, for a moment at most.
func (w *LogWriter) Close() {
	close(w.stop)
	select {
	case <-w.ended:
	case <-time.After(logFlush):
	}
}
