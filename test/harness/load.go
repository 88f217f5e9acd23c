package harness

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"teaselring/port"
)

// Class of a call in a load, named as in route records.
type Class string

// Classes of calls.
const (
	Once   Class = "once"
	Upload Class = "upload"
	Read   Class = "read"
)

// PathPrefixes maps each class to the path prefix of its route.
var PathPrefixes = map[Class]string{Once: "/filing/", Upload: "/upload/", Read: "/stock/"}

// callerTimeout is longer than every route timeout in the suites. A call that
// takes longer counts as having no result.
const callerTimeout = 45 * time.Second

// Load is a fixed number of calls. Each has its own path and each once call
// its own key, so that the upstreams' journals identify it.
type Load struct {
	Name    string // part of all paths and keys; unique among the loads of a test
	Entries []*Node
	Calls   int
	Workers int // maximum number of calls in flight
	Seed    uint64
	Mix     []Class // drawn from uniformly; nil: two reads for each once and each upload
}

// PlannedCall is a call that has not been sent.
type PlannedCall struct {
	Class             Class
	Method, Path, Key string
	Body              []byte // empty for reads and for some once calls
	Entry             *Node
}

// Result is the outcome of a call as its caller saw it.
type Result struct {
	PlannedCall
	Status       int
	Code         int  // result code, 0 for a response of the upstream
	EchoMatches  bool // the body is the echo of this request
	Err          error
	Began, Ended time.Time
}

// Answered reports whether the upstream's complete response arrived.
func (r *Result) Answered() bool { return r.Err == nil && r.Status == http.StatusOK && r.Code == 0 }

// TimedOut reports whether the caller timed out without a result.
func (r *Result) TimedOut() bool {
	var timeout net.Error
	return errors.Is(r.Err, os.ErrDeadlineExceeded) || errors.As(r.Err, &timeout) && timeout.Timeout()
}

// Refused reports whether the entry node refused the connection.
func (r *Result) Refused() bool { return errors.Is(r.Err, syscall.ECONNREFUSED) }

// Plan returns the calls of a load.
func (l *Load) Plan() []PlannedCall {
	random := rand.New(rand.NewPCG(l.Seed, 0))
	mix := l.Mix
	if mix == nil {
		mix = []Class{Read, Read, Once, Upload}
	}
	plan := make([]PlannedCall, l.Calls)
	for i := range plan {
		p := &plan[i]
		p.Class = mix[random.IntN(len(mix))]
		p.Entry = l.Entries[random.IntN(len(l.Entries))]
		p.Path = fmt.Sprintf("%s%s-%d", PathPrefixes[p.Class], l.Name, i)
		p.Method = http.MethodPost
		switch p.Class {
		case Read:
			p.Method = http.MethodGet
		case Once:
			p.Key = fmt.Sprintf("%s-%d", l.Name, i)
			p.Body = repeat(p.Path, random.IntN(2)*(1+random.IntN(2000)))
		case Upload:
			p.Body = repeat(p.Path, 1+random.IntN(200_000))
		}
	}
	return plan
}

// repeat returns size bytes of repeated text.
func repeat(text string, size int) []byte {
	return bytes.Repeat([]byte(text+"\n"), size/len(text)+1)[:size]
}

// RunningLoad is a load in progress.
type RunningLoad struct {
	h       *Harness
	started atomic.Int64
	results chan Result
	calls   int
}

// StartLoad starts a load and returns. The test injects faults while it runs.
func (h *Harness) StartLoad(l Load) *RunningLoad {
	h.tb.Helper()
	r := &RunningLoad{h: h, results: make(chan Result, l.Calls), calls: l.Calls}
	jobs := make(chan PlannedCall)
	// Without keep-alive, the client does not retry a call by itself on a broken
	// connection, which would hide the result of the first attempt.
	client := &http.Client{
		Timeout:   callerTimeout,
		Transport: port.NewTransport(&http.Transport{DisableKeepAlives: true, DisableCompression: true}),
	}
	go func() {
		defer close(jobs)
		for _, p := range l.Plan() {
			jobs <- p
			r.started.Add(1)
		}
	}()
	for range l.Workers {
		go func() {
			for p := range jobs {
				r.results <- p.send(client)
			}
		}()
	}
	return r
}

// WaitStarted waits until a number of calls has been passed to workers.
func (r *RunningLoad) WaitStarted(calls int) {
	r.h.tb.Helper()
	r.h.WaitUntil(fmt.Sprintf("%d calls", calls), func() error {
		if n := r.started.Load(); n < int64(calls) {
			return fmt.Errorf("%d calls so far", n)
		}
		return nil
	})
}

// Wait returns the results of all calls. Each call ends by callerTimeout.
func (r *RunningLoad) Wait() []Result {
	results := make([]Result, 0, r.calls)
	for range r.calls {
		results = append(results, <-r.results)
	}
	return results
}

func (p PlannedCall) send(client *http.Client) Result {
	r := Result{PlannedCall: p, Began: time.Now()}
	defer func() { r.Ended = time.Now() }()
	request, err := http.NewRequest(p.Method, "http://"+p.Entry.Callers+p.Path, bytes.NewReader(p.Body))
	if err != nil {
		r.Err = err
		return r
	}
	if p.Key != "" {
		request.Header.Set("Idempotency-Key", p.Key)
	}
	response, err := client.Do(request)
	if err != nil {
		r.Err = err
		return r
	}
	defer func() { _ = response.Body.Close() }()
	r.Status = response.StatusCode
	r.Code, _ = strconv.Atoi(response.Header.Get("Teasel-Code"))
	var body []byte
	body, r.Err = io.ReadAll(response.Body)
	r.EchoMatches = bytes.Equal(body, p.echo())
	return r
}

// echo returns the response body that test/upstream sends for the call.
func (p PlannedCall) echo() []byte {
	if len(p.Body) == 0 {
		return []byte(p.Method + " " + p.Path + "\n")
	}
	return p.Body
}
