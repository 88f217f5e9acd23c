package result

import (
	"fmt"

	"github.com/juju/errors"
)

// Error is an error with a result code and a message.
type Error struct {
	Code    *Code
	Message string
	// Details are machine-readable values, such as the record and the field.
	Details map[string]string
}

// Error returns the code's name and number with the message.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%d): %s", e.Code.Name, e.Code.Number, e.Message)
}

// Is reports whether target is an *Error with the same code, so that
// errors.Is(err, result.Conflict.Err()) works without comparing messages.
func (e *Error) Is(target error) bool {
	t, ok := target.(*Error)
	return ok && t.Code == e.Code
}

// With returns a copy of the error with one more detail.
func (e *Error) With(key, value string) *Error {
	c := *e
	c.Details = make(map[string]string, len(e.Details)+1)
	for k, v := range e.Details {
		c.Details[k] = v
	}
	c.Details[key] = value
	return &c
}

// Err returns an error with the code's own text.
func (c *Code) Err() *Error { return &Error{Code: c, Message: c.Text} }

// Errorf returns an error with the code and a formatted message.
func (c *Code) Errorf(format string, args ...any) *Error {
	return &Error{Code: c, Message: fmt.Sprintf(format, args...)}
}

// Of returns the code that err carries: OK for nil, Internal for an error
// without a code.
func Of(err error) *Code {
	if err == nil {
		return OK
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return Internal
}

// AsError returns err as an *Error, wrapping an error without a code as Internal.
func AsError(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Code: Internal, Message: err.Error()}
}
