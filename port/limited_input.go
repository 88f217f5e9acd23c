package port

import (
	"io"

	"github.com/juju/errors"
)

// MaxHeadBytes bounds the head of a response of another process. The largest that is
// expected takes a few hundred bytes; net/http alone would hold 10 MB.
const MaxHeadBytes = 64 << 10

// ErrHeadTooLarge is returned by a LimitedInput whose limit is exhausted.
const ErrHeadTooLarge = errors.ConstError("the head of the message is too large")

// LimitedInput reads from a connection and limits the size of the head of a message,
// so that a peer that sends bytes without end can't exhaust the memory.
type LimitedInput struct {
	reader    io.Reader
	limited   bool
	remaining int64 // bytes
	charge    func(part []byte) bool
}

// NewLimitedInput returns an input without a limit.
func NewLimitedInput(reader io.Reader) *LimitedInput { return &LimitedInput{reader: reader} }

// Limit allows the given number of bytes to be read until Unlimit. Bytes that a
// buffered reader holds already don't count.
func (l *LimitedInput) Limit(bytes int) { l.limited, l.remaining = true, int64(max(bytes, 1)) }

// LimitAndCharge is Limit with a function that gets each part of the head before it is
// parsed. When it reports false, the part is refused with ErrBudget.
func (l *LimitedInput) LimitAndCharge(bytes int, charge func(part []byte) bool) {
	l.Limit(bytes)
	l.charge = charge
}

// Unlimit removes the limit.
func (l *LimitedInput) Unlimit() { l.limited, l.charge = false, nil }

// Read implements io.Reader.
func (l *LimitedInput) Read(p []byte) (int, error) {
	if !l.limited {
		return l.reader.Read(p)
	}
	if l.remaining <= 0 {
		return 0, ErrHeadTooLarge
	}
	n, err := l.reader.Read(p[:min(int64(len(p)), l.remaining)])
	l.remaining -= int64(n)
	if l.charge != nil && n > 0 && !l.charge(p[:n]) {
		return 0, ErrBudget
	}
	return n, err
}
