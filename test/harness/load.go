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
)

// Class of a call in a load, named as in route records.
type Class string

// Classes of calls.
const (
	Once   Class = "once"
	Upload Class = "upload"
	Read   Class = "read"
)

// Prefixes are the path prefixes of the routes that a load calls.
var Prefixes = map[Class]string{Once: "/filing/", Upload: "/upload/", Read: "/stock/"}

// callerPatience is above every timeout of a route in the suites. A call that
// takes longer has no result.
const callerPatience = 45 * time.Second

// Load is a fixed number of calls. Each has its own path and each once call
// its own key, so that the upstreams' journals identify it.
type Load struct {
	Name    string // part of all paths and keys; differs between the loads of one test
	Entries []*Node
	Calls   int
	Workers int // calls in flight
	Seed    uint64
	Mix     []Class // drawn from with equal chances; nil: two reads to one once and one upload
}

// Planned is one call before it is sent.
type Planned struct {
	Class             Class
	Method, Path, Key string
	Body              []byte // empty for reads and for some once calls
	Entry             *Node
}

// Result is what the caller of one call was told.
type Result struct {
	Planned
	Status       int
	Code         int  // result code, 0 for an answer of the upstream
	Whole        bool // the body is the echo of this very request
	Err          error
	Began, Ended time.Time
}

// Answered reports whether the upstream's whole answer arrived.
func (r *Result) Answered() bool { return r.Err == nil && r.Status == http.StatusOK && r.Code == 0 }

// TimedOut reports whether the caller gave up without a result.
func (r *Result) TimedOut() bool {
	var timeout net.Error
	return errors.Is(r.Err, os.ErrDeadlineExceeded) || errors.As(r.Err, &timeout) && timeout.Timeout()
}

// Refused reports whether no connection to the entry node could be made.
func (r *Result) Refused() bool { return errors.Is(r.Err, syscall.ECONNREFUSED) }

// Plan returns the calls of a load.
func (l *Load) Plan() []Planned {
	random := rand.New(rand.NewPCG(l.Seed, 0))
	mix := l.Mix
	if mix == nil {
		mix = []Class{Read, Read, Once, Upload}
	}
	plan := make([]Planned, l.Calls)
	for i := range plan {
		p := &plan[i]
		p.Class = mix[random.IntN(len(mix))]
		p.Entry = l.Entries[random.IntN(len(l.Entries))]
		p.Path = fmt.Sprintf("%s%s-%d", Prefixes[p.Class], l.Name, i)
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

// repeat fills size bytes with a text.
func repeat(text string, size int) []byte {
	return bytes.Repeat([]byte(text+"\n"), size/len(text)+1)[:size]
}

// Running is a load in progress.
type Running struct {
	h       *Harness
	handed  atomic.Int64
	results chan Result
	calls   int
}

// Run starts a load. The test goes on meanwhile and breaks things.
func (h *Harness) Run(l Load) *Running {
	h.tb.Helper()
	r := &Running{h: h, results: make(chan Result, l.Calls), calls: l.Calls}
	jobs := make(chan Planned)
	// Connections are not kept: the client would repeat a call by itself on a
	// broken one, and the caller would see the result of the second call only.
	client := &http.Client{
		Timeout:   callerPatience,
		Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true},
	}
	go func() {
		defer close(jobs)
		for _, p := range l.Plan() {
			jobs <- p
			r.handed.Add(1)
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

// Await waits until a number of calls has been handed to workers.
func (r *Running) Await(calls int) {
	r.h.tb.Helper()
	r.h.Until(fmt.Sprintf("%d calls", calls), func() error {
		if n := r.handed.Load(); n < int64(calls) {
			return fmt.Errorf("%d calls so far", n)
		}
		return nil
	})
}

// Wait returns the results of all calls. It ends, because each call does.
func (r *Running) Wait() []Result {
	results := make([]Result, 0, r.calls)
	for range r.calls {
		results = append(results, <-r.results)
	}
	return results
}

func (p Planned) send(client *http.Client) Result {
	r := Result{Planned: p, Began: time.Now()}
	defer func() { r.Ended = time.Now() }()
	request, err := http.NewRequest(p.Method, "http://"+p.Entry.Callers+p.Path, bytes.NewReader(p.Body))
	if err != nil {
		r.Err = err
		return r
	}
	if p.Key != "" {
		request.Header.Set("Idempotency-Key", p.Key)
	}
	answer, err := client.Do(request)
	if err != nil {
		r.Err = err
		return r
	}
	defer func() { _ = answer.Body.Close() }()
	r.Status = answer.StatusCode
	r.Code, _ = strconv.Atoi(answer.Header.Get("Teasel-Code"))
	var body []byte
	body, r.Err = io.ReadAll(answer.Body)
	r.Whole = bytes.Equal(body, p.echo())
	return r
}

// echo is the answer of test/upstream to a call.
func (p Planned) echo() []byte {
	if len(p.Body) == 0 {
		return []byte(p.Method + " " + p.Path + "\n")
	}
	return p.Body
}
