// Package soak runs nodes of the users' platform as processes, breaks them, their
// connections and the store from outside by a seeded plan, and judges what
// callers and servers see.
package soak

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"teaselring/test/sidecar"
)

// Bounds of the platform, as its settings state them.
const (
	drainBound    = 2 * time.Second // after the acknowledgement a leaving server gets nothing
	stableWindow  = 3 * time.Second // after a fault the bounds do not hold for this long
	rollbackSlack = 250 * time.Millisecond
	answerSlack   = 500 * time.Millisecond // an answer is due this long after the time-out
	lossSlack     = 200 * time.Millisecond // a request that was not passed on may be cut this soon
	leftSlack     = 500 * time.Millisecond // a request of a caller that left reaches no server later
)

// call is what a caller did and saw.
type call struct {
	machine string
	once    bool
	path    string
	began   time.Time
	sent    time.Time // the last byte; zero: not all was written
	left    time.Time
	ended   time.Time
	timeout time.Duration
	status  int
	foreign string // why an answer is not the one to this call
	cut     bool   // the connection ended without an answer
}

// run is one run of a request on a server.
type run struct {
	server string
	at     time.Time
}

// span is the time of a fault.
type span struct {
	what     string
	from, to time.Time // to is zero while it lasts
}

// ledger gathers what callers and servers saw, and what was broken when.
type ledger struct {
	mu     sync.Mutex
	calls  map[string]*call
	runs   map[string][]run
	faults map[string][]*span // by machine; "" for those of all
	found  []string
}

func newLedger() *ledger {
	return &ledger{calls: map[string]*call{}, runs: map[string][]run{}, faults: map[string][]*span{}}
}

// violation notes a broken promise.
func (l *ledger) violation(rule, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.found = append(l.found, rule+": "+fmt.Sprintf(format, args...))
}

func (l *ledger) begin(id string, c *call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls[id] = c
}

func (l *ledger) update(c *call, change func(*call)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(c)
}

// fault notes the beginning of a fault; the returned function notes its end.
func (l *ledger) fault(machine, what string) (end func()) {
	s := &span{what: what, from: time.Now()}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults[machine] = append(l.faults[machine], s)
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		s.to = time.Now()
	}
}

// broken reports whether a fault of a machine, or of all, overlaps a time or
// ended less than the stable window before it. The caller holds mu.
func (l *ledger) broken(machine string, from, to time.Time) bool {
	for _, where := range []string{machine, ""} {
		for _, s := range l.faults[where] {
			if s.from.Before(to) && (s.to.IsZero() || s.to.Add(stableWindow).After(from)) {
				return true
			}
		}
	}
	return false
}

// anyBroken is broken for every machine.
func (l *ledger) anyBroken(from, to time.Time) bool {
	for machine := range l.faults {
		if l.broken(machine, from, to) {
			return true
		}
	}
	return false
}

// calm is the opposite of anyBroken, for those that do not hold mu.
func (l *ledger) calm(from, to time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.anyBroken(from, to)
}

// ran notes and judges a run of a request; it is called by the servers.
func (l *ledger) ran(machine string, acked time.Time, s *sidecar.Server, r *http.Request) {
	id, now := r.Header.Get("Attempt-Id"), time.Now()
	if strings.HasPrefix(id, sidecar.CallPrefix) {
		return // asks whether the fleet has recovered
	}
	l.mu.Lock()
	l.runs[id] = append(l.runs[id], run{s.ID(), now})
	c := l.calls[id]
	late := !acked.IsZero() && now.Sub(acked) > drainBound && !l.broken(machine, acked, now)
	var gone time.Duration
	if c != nil && !c.left.IsZero() && !l.anyBroken(c.began, now) {
		gone = now.Sub(c.left)
	}
	l.mu.Unlock()
	switch {
	case c == nil:
		l.violation("UNASKED", "server %s ran request %q, which no caller sent", s.ID(), id)
	case c.path != r.URL.Path:
		l.violation("UNASKED", "server %s ran request %s with path %q, not %q", s.ID(), id, r.URL.Path, c.path)
	case r.Header.Get("Caller-Service") != sidecar.Service:
		l.violation("UNASKED", "request %s reached server %s in the name of %q", id, s.ID(), r.Header.Get("Caller-Service"))
	}
	if late {
		l.violation("DRAIN", "request %s ran on server %s %v after the acknowledgement of its leaving", id, s.ID(), now.Sub(acked))
	}
	if gone > leftSlack {
		l.violation("GONE", "request %s reached server %s %v after its caller had left", id, s.ID(), gone)
	}
}

// promise reports whether callers take a status for "has not run and never will".
func promise(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// judge returns all broken promises once the run is over.
func (l *ledger) judge() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := l.found
	note := func(rule, id string, c *call, format string, args ...any) {
		found = append(found, fmt.Sprintf("%s: request %s at %s, began %s: %s", rule, id, c.machine,
			c.began.Format("15:04:05.000"), fmt.Sprintf(format, args...)))
	}
	for id, c := range l.calls {
		runs := l.runs[id]
		if c.once && len(runs) > 1 {
			note("TWICE", id, c, "ran on %v", runs)
		}
		if c.once && promise(c.status) && len(runs) > 0 {
			note("REFUSED", id, c, "answered %d and ran on %v", c.status, runs)
		}
		if c.foreign != "" {
			note("MIXED", id, c, "%s", c.foreign)
		}
		if c.status >= 400 && c.status < 500 && !promise(c.status) && strings.HasPrefix(c.path, stablePrefix(c.once)) {
			note("DENIED", id, c, "answered %d", c.status)
		}
		calm := !l.anyBroken(c.began, c.ended)
		held := c.ended.Sub(c.sent)
		if c.cut && !c.sent.IsZero() && calm && c.left.IsZero() && (len(runs) > 0 || held > lossSlack) {
			note("LOST", id, c, "the connection ended without an answer %v after the request, which ran on %v", held, runs)
		}
		if due := c.timeout + answerSlack; c.left.IsZero() && calm && c.ended.Sub(c.began) > due {
			note("CONFIG", id, c, "no answer for %v", c.ended.Sub(c.began))
		}
	}
	return found
}

// stablePrefix is that of a route that every configuration has.
func stablePrefix(once bool) string {
	if once {
		return "/once/"
	}
	return "/read/"
}
