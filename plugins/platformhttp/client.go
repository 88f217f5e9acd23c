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

	"teaselring/result"
)

const (
	// maxAnswer is in bytes: a configuration version has at most 4 MiB, and a
	// scan is limited by its number of rows.
	maxAnswer = 16 << 20
	// maxConnections to the platform per node.
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

// New returns a client. It makes no connection yet.
func New(settings Settings) *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: settings.Timeout.Duration}).DialContext,
		MaxIdleConnsPerHost: maxConnections,
		MaxConnsPerHost:     maxConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return &Client{
		base:    "http://" + settings.Address.String(),
		timeout: settings.Timeout.Duration,
		http: &http.Client{
			Transport:     transport,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// path joins escaped segments: keys contain slashes.
func path(prefix string, segments ...string) string {
	for _, s := range segments {
		prefix += "/" + url.PathEscape(s)
	}
	return prefix
}

// answer is a complete answer, or one whose body was cut off after the status.
type answer struct {
	status  int
	body    []byte
	bodyErr error
}

// read sends a GET. Failures that say nothing about the row are PlatformDown.
func (c *Client) read(ctx context.Context, path string) (answer, error) {
	a, _, err := c.send(ctx, http.MethodGet, path, nil)
	if err == nil && a.status == http.StatusOK {
		err = a.bodyErr
	}
	if err != nil {
		return a, result.PlatformDown.Errorf("platform: GET %s: %v", path, err)
	}
	return a, refusal(a, result.PlatformDown)
}

// write sends a request that changes the platform. Its failures tell whether
// the change may have taken effect. The status is enough of an answer.
func (c *Client) write(ctx context.Context, method, path string, body []byte) (answer, error) {
	a, sent, err := c.send(ctx, method, path, body)
	switch {
	case err != nil && sent:
		return a, result.PlatformUnknown.Errorf("platform: %s %s: no answer: %v", method, path, err)
	case err != nil:
		return a, result.PlatformDown.Errorf("platform: %s %s: not sent: %v", method, path, err)
	}
	return a, refusal(a, result.PlatformUnknown)
}

// refusal returns the error of a status that is the same for all requests.
// Other5xx is the code of a server error other than 503.
func refusal(a answer, other5xx *result.Code) error {
	switch {
	case a.status == http.StatusServiceUnavailable:
		return result.PlatformDown.Errorf("platform: status 503")
	case a.status == http.StatusTooManyRequests:
		return result.PlatformLimit.Errorf("platform: status 429")
	case a.status >= 500:
		return other5xx.Errorf("platform: status %d", a.status)
	}
	return nil
}

// unexpected is the error of a status that the protocol does not have.
func unexpected(a answer) error {
	return result.Internal.Errorf("platform: unexpected status %d: %.200s", a.status, a.body)
}

// send reports in sent whether a connection was handed the request, so that
// some of it may have reached the platform.
func (c *Client) send(ctx context.Context, method, path string, body []byte) (a answer, sent bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var onWire atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		// The transport asks for another connection only when it wrote nothing to
		// the last one, because these requests are not replayable.
		GetConn: func(string) { onWire.Store(false) },
		GotConn: func(httptrace.GotConnInfo) { onWire.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return answer{}, false, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return answer{}, onWire.Load(), err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer+1))
	if len(content) > maxAnswer {
		err = fmt.Errorf("answer is larger than %d bytes", maxAnswer)
	}
	return answer{status: response.StatusCode, body: content, bodyErr: err}, true, nil
}
