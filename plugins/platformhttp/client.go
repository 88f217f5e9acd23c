package platformhttp

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"teaselring/port"
	"teaselring/result"
)

const (
	// maxResponseBytes bounds a body: a configuration version has at most 4 MiB,
	// and a scan is limited by its number of rows.
	maxResponseBytes = 16 << 20
	// maxConnections is per node.
	maxConnections = 16
	idleTimeout    = 30 * time.Second
)

// Client implements port.Table and port.Objects over HTTP. It is safe for use
// by many goroutines.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
}

// New returns a client. It opens no connection.
func New(settings Settings) *Client {
	transport := port.NewTransport(&http.Transport{
		DialContext:         (&net.Dialer{Timeout: settings.Timeout.Duration}).DialContext,
		MaxIdleConnsPerHost: maxConnections,
		MaxConnsPerHost:     maxConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	})
	return &Client{
		base:    "http://" + settings.Address.String(),
		timeout: settings.Timeout.Duration,
		http: &http.Client{
			Transport:     transport,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// escapePath joins path segments and escapes them, since keys contain slashes.
func escapePath(prefix string, segments ...string) string {
	for _, s := range segments {
		prefix += "/" + url.PathEscape(s)
	}
	return prefix
}

// response is a complete response, or one whose body could not be read because of
// bodyErr.
type response struct {
	status  int
	body    []byte
	bodyErr error
}

// read sends a GET. A failure without information about the row is PlatformDown.
func (c *Client) read(ctx context.Context, path string) (response, error) {
	resp, _, err := c.send(ctx, http.MethodGet, path, nil)
	if err == nil && resp.status == http.StatusOK {
		err = resp.bodyErr
	}
	if err != nil {
		return resp, result.PlatformDown.Errorf("platform: GET %s: %v", path, err)
	}
	return resp, statusError(resp, result.PlatformDown)
}

// write sends a request that changes the platform. Its errors state whether the
// change may have taken effect. The status suffices; errors of the body are ignored.
func (c *Client) write(ctx context.Context, method, path string, body []byte) (response, error) {
	resp, sent, err := c.send(ctx, method, path, body)
	switch {
	case err != nil && sent:
		return resp, result.PlatformUnknown.Errorf("platform: %s %s: no response: %v", method, path, err)
	case err != nil:
		return resp, result.PlatformDown.Errorf("platform: %s %s: not sent: %v", method, path, err)
	}
	return resp, statusError(resp, result.PlatformUnknown)
}

// statusError returns the error of a status that means the same for all requests.
// other5xx is the code of a server error other than 503.
func statusError(resp response, other5xx *result.Code) error {
	switch {
	case resp.status == http.StatusServiceUnavailable:
		return result.PlatformDown.Errorf("platform: status 503")
	case resp.status == http.StatusTooManyRequests:
		return result.PlatformLimit.Errorf("platform: status 429")
	case resp.status >= 500:
		return other5xx.Errorf("platform: status %d", resp.status)
	}
	return nil
}

// unexpectedStatus returns the error for a status that the protocol does not define.
func unexpectedStatus(resp response) error {
	return result.Internal.Errorf("platform: unexpected status %d: %.200s", resp.status, resp.body)
}

// send performs one request. If sent is true, the request was passed to a connection,
// and part of it may have reached the platform.
func (c *Client) send(ctx context.Context, method, path string, body []byte) (resp response, sent bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var onWire atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		// The transport gets another connection only if it wrote nothing to the last
		// one, because these requests are not replayable.
		GetConn: func(string) { onWire.Store(false) },
		GotConn: func(httptrace.GotConnInfo) { onWire.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return response{}, false, err
	}
	httpResponse, err := c.http.Do(request)
	if err != nil {
		return response{}, onWire.Load(), err
	}
	defer func() { _ = httpResponse.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(httpResponse.Body, maxResponseBytes+1))
	if len(content) > maxResponseBytes {
		err = fmt.Errorf("response is larger than %d bytes", maxResponseBytes)
	}
	return response{status: httpResponse.StatusCode, body: content, bodyErr: err}, true, nil
}
