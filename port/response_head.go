package port

import (
	"net/http"

	"github.com/juju/errors"
	"golang.org/x/net/http/httpguts"
)

// CheckResponseHead returns an error for a head of a response, interim ones included, that
// net/http accepts although its status (RFC 9110 section 15) or a field name (section 5.1) is
// not valid, or that switches to a protocol which no request has asked for. What follows must
// not be read as a message.
func CheckResponseHead(r *http.Response) error {
	switch {
	case r.StatusCode < http.StatusContinue:
		return errors.NotValidf("status %q of a response", r.Status)
	case r.StatusCode == http.StatusSwitchingProtocols:
		return errors.New("the connection was switched to another protocol")
	}
	return checkFieldNames(r.Header)
}

// MaxInterimResponses bounds the interim responses (1xx) to one request.
const MaxInterimResponses = 16

func checkFieldNames(h map[string][]string) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.NotValidf("field name %q of a response", name)
		}
	}
	return nil
}
