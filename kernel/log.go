package kernel

import (
	"bytes"
	"io"
	"time"

	"github.com/phuslu/log"
)

// NewLogger returns a logger of JSON lines with the keys time, level and msg.
func NewLogger(w io.Writer) *log.Logger {
	return &log.Logger{
		Level:      log.InfoLevel,
		TimeField:  "time",
		TimeFormat: time.RFC3339Nano,
		Writer:     log.IOWriter{Writer: msgWriter{w}},
	}
}

var (
	libraryKey = []byte(`,"message":"`)
	msgKey     = []byte(`,"msg":"`)
)

// msgWriter renames the key "message" of the log library, which has no setting
// for it. Quotes within values are escaped, so that only the key can match.
type msgWriter struct{ w io.Writer }

// Write writes one line.
func (m msgWriter) Write(line []byte) (int, error) {
	if _, err := m.w.Write(bytes.Replace(line, libraryKey, msgKey, 1)); err != nil {
		return 0, err
	}
	return len(line), nil
}
