package main

import (
	"bytes"
	"io"
	"net/http"
	"time"
)

// callers is the transport of all callers. Its connections are not limited, as
// those of many independent callers are not.
var callers = &http.Transport{
	MaxIdleConnsPerHost: 1024,
	DisableCompression:  true,
	IdleConnTimeout:     5 * time.Second,
}

// patience bounds a call at the caller, well above the timeouts of the routes.
const patience = 10 * time.Second

type request struct {
	method, url, key string
	body             []byte
}

// reply is what a caller got.
type reply struct {
	took    time.Duration // from the instant due until the whole answer was read
	status  int
	code    string // result code, empty for an answer of an upstream
	process string // of the upstream that answered
	body    []byte
	err     error
}

// send sends a request and reads the whole answer.
func (q request) send(due time.Time) reply {
	r := q.exchange()
	r.took = time.Since(due)
	return r
}

func (q request) exchange() reply {
	r, err := http.NewRequest(q.method, q.url, bytes.NewReader(q.body))
	if err != nil {
		return reply{err: err}
	}
	if q.key != "" {
		r.Header.Set("Idempotency-Key", q.key)
	}
	client := http.Client{Transport: callers, Timeout: patience}
	answer, err := client.Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = answer.Body.Close() }()
	content, err := io.ReadAll(answer.Body)
	return reply{
		status: answer.StatusCode, code: answer.Header.Get("Teasel-Code"),
		process: answer.Header.Get("Upstream-Process"), body: content, err: err,
	}
}

// answered reports whether r is the whole answer to q of an upstream.
func (q request) answered(r reply) bool {
	if r.err != nil || r.status != http.StatusOK || r.code != "" {
		return false
	}
	if len(q.body) > 0 {
		return bytes.Equal(r.body, q.body)
	}
	_, path, _ := bytes.Cut([]byte(q.url[len("http://"):]), []byte("/"))
	return string(r.body) == q.method+" /"+string(path)+"\n"
}
