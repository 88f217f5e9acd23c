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

	"teaselring/port"
	"teaselring/result"
)

// TransportError reports that no complete response was received.
type TransportError struct {
	// Sent is set if a connection was obtained for the request, which may therefore
	// have been executed.
	Sent bool
	Err  error
}

// Error states whether the request was sent.
func (e *TransportError) Error() string {
	if e.Sent {
		return fmt.Sprintf("no response: %v", e.Err)
	}
	return fmt.Sprintf("node is unreachable, nothing was sent: %v", e.Err)
}

// Unwrap returns the cause.
func (e *TransportError) Unwrap() error { return e.Err }

const (
	// attemptTimeout bounds one attempt of a request that is retried or polled. It is
	// enough for a publication, which takes up to 8 transactions, on a slow platform.
	attemptTimeout = 10 * time.Second
	// maxResponseBytes is far above the 4 MiB that a configuration version can have.
	maxResponseBytes = 64 << 20
)

// Client calls the operators' API of one node. Every method returns when its context
// ends. Errors are *result.Error for a refusal and *TransportError without a complete
// response.
type Client struct {
	baseURL string
	token   string
	http    *http.Client
	// OperatorName identifies the operator in the audit trail; empty: unnamed.
	OperatorName string
	// Progress, if not nil, receives messages about what a method waits for.
	Progress func(message string)
}

// New returns a client of the operators' listener at address.
func New(address netip.AddrPort, token string) *Client {
	return &Client{
		baseURL: "http://" + address.String(),
		token:   token,
		http: &http.Client{
			Transport:     port.NewTransport(&http.Transport{}),
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

func (c *Client) progress(format string, args ...any) {
	if c.Progress != nil {
		c.Progress(fmt.Sprintf(format, args...))
	}
}

// apiResponse is a complete response with a status below 300.
type apiResponse struct {
	header http.Header
	body   []byte
}

// send makes one attempt.
func (c *Client) send(ctx context.Context, method, path, contentType string, body []byte) (apiResponse, error) {
	var sent atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { sent.Store(false) },
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	request, err := http.NewRequestWithContext(traced, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return apiResponse{}, result.BadRequest.Errorf("%v", err)
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	if c.OperatorName != "" {
		request.Header.Set(HeaderOperator, c.OperatorName)
	}
	if len(body) > 0 {
		request.Header.Set("Content-Type", contentType)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return apiResponse{}, &TransportError{Sent: sent.Load(), Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return apiResponse{}, &TransportError{Sent: true, Err: err}
	}
	if response.StatusCode >= 300 {
		return apiResponse{}, parseRefusal(response.StatusCode, content)
	}
	return apiResponse{header: response.Header, body: content}, nil
}

// parseRefusal decodes the result code of a response.
func parseRefusal(status int, content []byte) error {
	var body ErrorResponse
	if err := json.Unmarshal(content, &body); err != nil || body.Code == 0 {
		return result.BadMessage.Errorf("status %d without a result code: %.200s", status, content)
	}
	return body.Err()
}

// call sends a request with a JSON body (none if nil) and decodes the response.
func call[R any](ctx context.Context, c *Client, method, path string, body any) (R, error) {
	var content []byte
	if body != nil {
		content, _ = json.Marshal(body)
	}
	response, err := c.send(ctx, method, path, "application/json", content)
	return decode[R](response, err)
}

func decode[R any](response apiResponse, err error) (R, error) {
	var decoded R
	if err != nil {
		return decoded, err
	}
	if err := json.Unmarshal(response.body, &decoded); err != nil {
		return decoded, result.BadMessage.Errorf("response can't be decoded: %v", err)
	}
	return decoded, nil
}
