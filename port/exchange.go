package port

import (
	"context"
	"io"
	"net/http"
	"time"

	"go.uber.org/fx"
)

// Request is a caller's request as an edge passes it to the call path.
type Request struct {
	*http.Request // without its body
	// Buffered is the body, or its beginning when Remaining is set.
	Buffered []byte
	// Remaining is the part of the body that has not arrived yet; nil: none.
	Remaining io.Reader
	// Length is the length of the whole body in bytes, -1 when unknown.
	Length  int64
	Arrived time.Time // of the first byte
}

// Response is the complete response to a request, or its beginning.
type Response struct {
	Status   int
	Header   http.Header
	Buffered []byte
	// Remaining is the part of the body that has not arrived yet; nil: none. An error
	// other than io.EOF means that the response is incomplete.
	Remaining io.ReadCloser
	Length    int64 // of the whole body in bytes, -1 when unknown
	// ServerTime is the time from the sending of the request to the server until its
	// response; 0: unknown.
	ServerTime time.Duration
}

// CallPath forwards a caller's request to an upstream. The context ends when the
// caller disconnects. It always returns a response.
type CallPath func(ctx context.Context, r *Request) *Response

// CallsInProgress returns the number of calls in progress that other nodes sent.
type CallsInProgress func() int64

// ProvideInboundRoute registers the InboundRoute that constructor returns.
func ProvideInboundRoute(constructor any) fx.Option {
	return fx.Provide(fx.Annotate(constructor, fx.ResultTags(`group:"inbound_routes"`)))
}
