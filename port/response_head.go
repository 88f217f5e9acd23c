package port

import (
	"net/http"

	"github.com/juju/errors"
)

// CheckResponseHead returns an error for a head of a response, interim ones included, whose
// status net/http accepts although it is not valid (RFC 9110 section 15), or switches to a
// protocol that no request has asked for. What follows must not be read as a message.
func CheckResponseHead(r *http.Response) error {
	switch {
	case r.StatusCode < http.StatusContinue:
		return errors.NotValidf("status %q of a response", r.Status)
	case r.StatusCode == http.StatusSwitchingProtocols:
		return errors.New("the connection was switched to another protocol")
	}
	return nil
}
