package edgeoutbound

import (
	"io"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"

	"teaselring/result"
)

// useOriginForm converts a target in absolute form, which a server must accept (RFC 9112
// section 3.2.2). net/http has set the host of the request from it.
func useOriginForm(r *http.Request) {
	if r.URL.Scheme != "http" || r.URL.Host == "" || r.Method == http.MethodConnect {
		return
	}
	_, target, _ := strings.Cut(r.RequestURI, "://")
	if i := strings.IndexAny(target, "/?"); i >= 0 && target[i] == '/' {
		r.RequestURI = target[i:]
	} else if i >= 0 {
		r.RequestURI = "/" + target[i:]
	} else {
		r.RequestURI = "/"
	}
	r.URL.Scheme, r.URL.Host, r.URL.User = "", "", nil
	if r.URL.Path == "" {
		r.URL.Path = "/"
	}
}

// validateRequest refuses requests that another HTTP implementation might parse
// differently.
func validateRequest(r *http.Request, bodyBytes int64) error {
	for name, values := range r.Header {
		for _, value := range values {
			if !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(value) {
				return result.BadRequest.Errorf("header %q is not valid", name)
			}
		}
	}
	switch {
	case !httpguts.ValidHostHeader(r.Host) || r.Host == "":
		return result.BadRequest.Errorf("host %q is not valid", r.Host)
	case r.URL.Host != "" || !strings.HasPrefix(r.RequestURI, "/"):
		return result.BadRequest.Errorf("the target %q is not a path", r.RequestURI)
	case r.ContentLength > bodyBytes:
		return result.BodyTooLarge.Errorf("the body has %d bytes; allowed are %d", r.ContentLength, bodyBytes)
	}
	return nil
}

// limitedBody is the rest of a body in chunks. It fails with result.BodyOverLimit where
// the body goes beyond its limit: an end there would look like that of the body.
type limitedBody struct {
	io.Reader
	left int64 // bytes; below 0: the limit is exceeded
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	if b.left >= 0 {
		n, err := b.Reader.Read(p[:min(int64(len(p)), b.left+1)])
		if b.left -= int64(n); b.left >= 0 {
			return n, err
		}
	}
	return 0, result.BodyOverLimit.Err()
}

// mayOverlap reports whether a pipelined request may start before the earlier ones are
// answered. If an earlier response closes the connection, the client resends the request,
// whatever its class.
func (e *edge) mayOverlap(r *http.Request) bool {
	snapshot := e.Snapshot.Load()
	if snapshot == nil {
		return false
	}
	route := snapshot.RouteOfHost(r.Host, r.URL.Path)
	return route != nil && route.Class.Idempotent()
}
