package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync/atomic"
	"time"

	"teaselring/result"
)

// TransportError says that no complete answer came.
type TransportError struct {
	// Sent says that a connection was handed the request, so that it may have
	// been carried out.
	Sent bool
	Err  error
}

// Error tells whether the request was sent.
func (e *TransportError) Error() string {
	if e.Sent {
		return fmt.Sprintf("no answer: %v", e.Err)
	}
	return fmt.Sprintf("node is unreachable, nothing was sent: %v", e.Err)
}

// Unwrap returns the cause.
func (e *TransportError) Unwrap() error { return e.Err }

const (
	// tryTimeout bounds one try of a request that is repeated when its answer is
	// lost. A publisher's own tries take up to 8 transactions on a slow platform.
	tryTimeout = 10 * time.Second
	// maxAnswer is in bytes; a configuration version has at most 4 MiB.
	maxAnswer = 64 << 20
)

// Client calls the operators' API of one node. Every method ends with its
// context. Errors are *result.Error for a refusal and *TransportError when no
// answer came.
type Client struct {
	base  string
	token string
	http  *http.Client
	// Name is who sends the requests, for the audit trail; empty: unnamed.
	Name string
	// Progress is told what a method waits for; nil: nobody is told.
	Progress func(message string)
}

// New returns a client of the operators' listener at address.
func New(address netip.AddrPort, token string) *Client {
	return &Client{
		base:  "http://" + address.String(),
		token: token,
		http: &http.Client{
			Transport:     &http.Transport{},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

func (c *Client) progress(format string, args ...any) {
	if c.Progress != nil {
		c.Progress(fmt.Sprintf(format, args...))
	}
}

// answer is a complete answer with a status below 400.
type answer struct {
	header http.Header
	body   []byte
}

// send makes one try.
func (c *Client) send(ctx context.Context, method, path, contentType string, body []byte) (answer, error) {
	var sent atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { sent.Store(false) },
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	request, err := http.NewRequestWithContext(traced, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return answer{}, result.BadRequest.Errorf("%v", err)
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	if c.Name != "" {
		request.Header.Set(HeaderOperator, c.Name)
	}
	if len(body) > 0 {
		request.Header.Set("Content-Type", contentType)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return answer{}, &TransportError{Sent: sent.Load(), Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return answer{}, &TransportError{Sent: true, Err: err}
	}
	if response.StatusCode >= 300 {
		return answer{}, refusal(response.StatusCode, content)
	}
	return answer{header: response.Header, body: content}, nil
}

// refusal reads the numbered code of an answer.
func refusal(status int, content []byte) error {
	var body ErrorResponse
	if err := json.Unmarshal(content, &body); err != nil || body.Code == 0 {
		return result.BadMessage.Errorf("status %d without a result code: %.200s", status, content)
	}
	return body.Err()
}

// call sends a request with a body in JSON (none when nil) and decodes the
// answer.
func call[A any](ctx context.Context, c *Client, method, path string, body any) (A, error) {
	var content []byte
	if body != nil {
		content, _ = json.Marshal(body)
	}
	got, err := c.send(ctx, method, path, "application/json", content)
	return decode[A](got, err)
}

func decode[A any](got answer, err error) (A, error) {
	var decoded A
	if err != nil {
		return decoded, err
	}
	if err := json.Unmarshal(got.body, &decoded); err != nil {
		return decoded, result.BadMessage.Errorf("answer can't be decoded: %v", err)
	}
	return decoded, nil
}
