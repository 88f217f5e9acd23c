package port

import (
	"context"
	"io"
	"net/http"
	"time"

	"go.uber.org/fx"
)

// Request is a caller's request as an edge hands it to the call path.
type Request struct {
	*http.Request // without its body
	// Held is the body, or its beginning when Rest is set.
	Held []byte
	// Rest is the part of the body that has not arrived yet; nil: none.
	Rest io.Reader
	// Length is the length of the whole body in bytes, -1 when it is not known.
	Length  int64
	Arrived time.Time // of the first byte
}

// Answer is the complete answer to a request, or its beginning.
type Answer struct {
	Status int
	Header http.Header
	Held   []byte
	// Rest is the part of the body that has not arrived yet; nil: none. An error
	// other than io.EOF means that the answer is not complete.
	Rest   io.ReadCloser
	Length int64 // of the whole body in bytes, -1 when it is not known
}

// CallPath carries a caller's request to an upstream. The context ends when
// the caller leaves. It always returns an answer.
type CallPath func(ctx context.Context, r *Request) *Answer

// CallsInProgress returns the calls of other nodes that the node has in progress.
type CallsInProgress func() int64

// ProvideInboundRoute adds the InboundRoute that constructor returns.
func ProvideInboundRoute(constructor any) fx.Option {
	return fx.Provide(fx.Annotate(constructor, fx.ResultTags(`group:"inbound_routes"`)))
}
