// Package soak runs nodes of the users' platform as processes, injects faults into
// them, their connections and the store by a seeded plan, and checks what callers and
// servers observe.
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
	drainBound      = 2 * time.Second // a draining server gets nothing this long after the acknowledgement
	stableWindow    = 3 * time.Second // the bounds do not apply for this long after a fault
	rollbackSlack   = 250 * time.Millisecond
	responseSlack   = 500 * time.Millisecond // a response is due this long after the timeout
	lossSlack       = 200 * time.Millisecond // a connection may be lost this soon after a request that was not forwarded
	disconnectSlack = 500 * time.Millisecond // a request reaches no server this long after its caller disconnected
	evacuationBound = 5 * time.Second        // a zone gets nothing this long after its evacuation was ordered
)

// call records what a caller sent and received.
type call struct {
	machine string
	once    bool
	path    string
	credentials
	began          time.Time
	sent           time.Time // last byte written; zero: incomplete
	disconnected   time.Time
	ended          time.Time
	timeout        time.Duration
	status         int
	mismatch       string // why a response does not belong to this call
	connectionLost bool   // the connection ended without a response
}

// run is one run of a request on a server.
type run struct {
	server string
	at     time.Time
}

// faultPeriod is the time of a fault.
type faultPeriod struct {
	name     string
	from, to time.Time // to is zero while it lasts
}

// ledger records what callers and servers observed, and the faults.
type ledger struct {
	mu         sync.Mutex
	calls      map[string]*call
	runs       map[string][]run
	faults     map[string][]*faultPeriod // by machine; "" for those of all machines
	versions   []time.Time               // when each version of the configuration was written
	limits     map[string]accountLimit   // by account
	evacuated  string                    // zone; "": none
	ordered    time.Time                 // when its evacuation was written
	violations []string
}

func newLedger() *ledger {
	return &ledger{calls: map[string]*call{}, runs: map[string][]run{}, faults: map[string][]*faultPeriod{}}
}

// addViolation records a violation of a rule.
func (l *ledger) addViolation(rule, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, rule+": "+fmt.Sprintf(format, args...))
}

func (l *ledger) recordCall(id string, c *call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls[id] = c
}

func (l *ledger) update(c *call, change func(*call)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(c)
}

// recordVersion records that the next version of the configuration has been written.
func (l *ledger) recordVersion() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions = append(l.versions, time.Now())
}

// versionWritten returns when a version was written, if it was. The caller holds mu.
func (l *ledger) versionWritten(version int) (time.Time, bool) {
	if version < 1 || version > len(l.versions) {
		return time.Time{}, false
	}
	return l.versions[version-1], true
}

// setEvacuated records the zone that is being evacuated; "": none.
func (l *ledger) setEvacuated(zone string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.evacuated, l.ordered = zone, time.Now()
}

func (l *ledger) evacuatedZone() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.evacuated
}

// afterEvacuation returns how long ago the zone of a server was ordered to be evacuated when
// a request reached it; 0: it was not, or a fault excuses the request. The entry node passes
// over the zone and the node beside the server refuses, so one of them without a fault is
// enough. The caller holds mu.
func (l *ledger) afterEvacuation(machine string, s *sidecar.Server, c *call, now time.Time) time.Duration {
	entryInTouch := c != nil && c.began.Sub(l.ordered) > evacuationBound && !l.underFault(c.machine, c.began, now)
	if l.evacuated != s.Zone() || (l.underFault(machine, now, now) && !entryInTouch) {
		return 0
	}
	return now.Sub(l.ordered)
}

// fault records the start of a fault; the returned function records its end.
func (l *ledger) fault(machine, name string) (end func()) {
	s := &faultPeriod{name: name, from: time.Now()}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults[machine] = append(l.faults[machine], s)
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		s.to = time.Now()
	}
}

// underFault reports whether a fault of a machine, or of all, overlaps a period or
// ended less than stableWindow before it. The caller holds mu.
func (l *ledger) underFault(machine string, from, to time.Time) bool {
	for _, where := range []string{machine, ""} {
		for _, s := range l.faults[where] {
			if s.from.Before(to) && (s.to.IsZero() || s.to.Add(stableWindow).After(from)) {
				return true
			}
		}
	}
	return false
}

// anyUnderFault reports underFault for any machine. The caller holds mu.
func (l *ledger) anyUnderFault(from, to time.Time) bool {
	for machine := range l.faults {
		if l.underFault(machine, from, to) {
			return true
		}
	}
	return false
}

// faultFree is the opposite of anyUnderFault, for callers that do not hold mu.
func (l *ledger) faultFree(from, to time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.anyUnderFault(from, to)
}

// recordRun records and checks a run of a request. The servers call it.
func (l *ledger) recordRun(machine string, ackedAt time.Time, s *sidecar.Server, r *http.Request) {
	id, now := r.Header.Get("Attempt-Id"), time.Now()
	if strings.HasPrefix(id, sidecar.CallIDPrefix) {
		return // a check of recovery, not a request of a caller
	}
	l.mu.Lock()
	l.runs[id] = append(l.runs[id], run{s.ID(), now})
	c := l.calls[id]
	// The acknowledgement binds a restarted node too, once it is in touch again.
	inTouch := !l.underFault(machine, now, now) && c != nil && !l.underFault(c.machine, now, now)
	afterDrain := !ackedAt.IsZero() && now.Sub(ackedAt) > drainBound && (inTouch || !l.underFault(machine, ackedAt, now))
	sinceOrder := l.afterEvacuation(machine, s, c, now)
	var sinceDisconnect time.Duration
	if c != nil && !c.disconnected.IsZero() && !l.anyUnderFault(c.began, now) {
		sinceDisconnect = now.Sub(c.disconnected)
	}
	l.mu.Unlock()
	l.checkKey(c, id, r.Header)
	if sinceOrder > evacuationBound {
		l.addViolation("EVACUATION", "request %s ran on server %s %v after the evacuation of its zone was ordered", id, s.ID(), sinceOrder)
	}
	switch {
	case c == nil:
		l.addViolation("UNASKED", "server %s ran request %q, which no caller sent", s.ID(), id)
	case c.path != r.URL.Path:
		l.addViolation("UNASKED", "server %s ran request %s with path %q, not %q", s.ID(), id, r.URL.Path, c.path)
	case r.Header.Get("Caller-Service") != sidecar.Service:
		l.addViolation("UNASKED", "request %s reached server %s with caller service %q", id, s.ID(), r.Header.Get("Caller-Service"))
	}
	if afterDrain {
		l.addViolation("DRAIN", "request %s ran on server %s %v after the acknowledgement of its drain", id, s.ID(), now.Sub(ackedAt))
	}
	if sinceDisconnect > disconnectSlack {
		l.addViolation("GONE", "request %s reached server %s %v after its caller had disconnected", id, s.ID(), sinceDisconnect)
	}
}

// impliesNotRun reports whether a status tells callers that the request has not run
// and never will.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// checkCalls checks all calls at the end of the run and returns all violations.
func (l *ledger) checkCalls() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	violations := append(l.violations, l.checkLimits()...)
	note := func(rule, id string, c *call, format string, args ...any) {
		violations = append(violations, fmt.Sprintf("%s: request %s at %s, began %s: %s", rule, id, c.machine,
			c.began.Format("15:04:05.000"), fmt.Sprintf(format, args...)))
	}
	for id, c := range l.calls {
		runs := l.runs[id]
		if c.once && len(runs) > 1 {
			note("TWICE", id, c, "ran on %v", runs)
		}
		if c.once && impliesNotRun(c.status) && len(runs) > 0 {
			note("REFUSED", id, c, "answered %d and ran on %v", c.status, runs)
		}
		if c.mismatch != "" {
			note("MIXED", id, c, "%s", c.mismatch)
		}
		if problem := l.checkKeyOfRuns(c, runs); problem != "" {
			note("KEY", id, c, "%s", problem)
		}
		if c.status >= 400 && c.status < 500 && !impliesNotRun(c.status) && !isDenial(c.status) && (c.once || strings.HasPrefix(c.path, stablePrefix(false))) {
			note("DENIED", id, c, "answered %d", c.status)
		}
		faultFree := !l.anyUnderFault(c.began, c.ended)
		waited := c.ended.Sub(c.sent)
		if c.connectionLost && !c.sent.IsZero() && faultFree && c.disconnected.IsZero() && (len(runs) > 0 || waited > lossSlack) {
			note("LOST", id, c, "the connection ended without a response %v after the request, which ran on %v", waited, runs)
		}
		if due := c.timeout + responseSlack; c.disconnected.IsZero() && faultFree && c.ended.Sub(c.began) > due {
			note("CONFIG", id, c, "no response for %v", c.ended.Sub(c.began))
		}
	}
	return violations
}

// uploadPrefix is the prefix of the route of uploads.
const uploadPrefix = "/upload/"

// stablePrefix returns the prefix of a route that every configuration has.
func stablePrefix(once bool) string {
	if once {
		return "/once/"
	}
	return "/read/"
}
