package main

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"teaselring/port"
)

// callerTransport is the transport of all callers. It does not limit the number
// of connections, because it stands for many independent callers.
var callerTransport = &http.Transport{
	MaxIdleConnsPerHost: 1024,
	DisableCompression:  true,
	IdleConnTimeout:     5 * time.Second,
}

// callerTimeout bounds a call at the caller. It is well above the timeouts of
// the routes.
const callerTimeout = 10 * time.Second

type request struct {
	method, url, key string
	body             []byte
}

// reply is the result of a request at the caller.
type reply struct {
	latency time.Duration // from the due time until the whole response was read
	status  int
	code    string // result code, empty for a response of an upstream
	process string // of the upstream that responded
	body    []byte
	err     error
}

// send sends the request and reads the whole response.
func (q request) send(due time.Time) reply {
	r := q.roundTrip()
	r.latency = time.Since(due)
	return r
}

func (q request) roundTrip() reply {
	r, err := http.NewRequest(q.method, q.url, bytes.NewReader(q.body))
	if err != nil {
		return reply{err: err}
	}
	if q.key != "" {
		r.Header.Set("Idempotency-Key", q.key)
	}
	client := http.Client{Transport: callerTransport, Timeout: callerTimeout}
	response, err := client.Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	if err := port.CheckResponseHead(response); err != nil {
		return reply{err: err}
	}
	content, err := io.ReadAll(response.Body)
	return reply{
		status: response.StatusCode, code: response.Header.Get("Teasel-Code"),
		process: response.Header.Get("Upstream-Process"), body: content, err: err,
	}
}

// succeeded reports whether r is an upstream's complete response to q.
func (q request) succeeded(r reply) bool {
	if r.err != nil || r.status != http.StatusOK || r.code != "" {
		return false
	}
	if len(q.body) > 0 {
		return bytes.Equal(r.body, q.body)
	}
	_, path, _ := bytes.Cut([]byte(q.url[len("http://"):]), []byte("/"))
	return string(r.body) == q.method+" /"+string(path)+"\n"
}
