package wire

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"teaselring/mesh"
	"teaselring/result"
)

// Headers of calls between nodes. Only nodes set the headers of an attempt.
const (
	HeaderAttempt      = "Teasel-Attempt"
	HeaderService      = "Teasel-Service"
	HeaderVersion      = "Teasel-Upstream-Version"
	HeaderIncarnation  = "Teasel-Incarnation"
	HeaderDeadline     = "Teasel-Deadline-Ms"
	HeaderStartBy      = "Teasel-Start-By-Ms"
	HeaderSoftDeadline = "Teasel-Aim-Ms"
	HeaderPriority     = "Teasel-Priority"
	HeaderClass        = "Teasel-Class"
	HeaderRoute        = "Teasel-Route"
	HeaderCaller       = "Teasel-Caller"
	HeaderFingerprint  = "Teasel-Fingerprint"
	HeaderAccount      = "Teasel-Account"
	HeaderLoad         = "Teasel-Load"
	HeaderServerTime   = "Teasel-Server-Time" // of the response, in µs
	HeaderKey          = "Idempotency-Key"
	HeaderEntry        = "Teasel-Entry" // IP:port of the entry node's inbound edge
)

// Attempt is the metadata of a call between nodes, sent in headers.
type Attempt struct {
	ID     mesh.AttemptID
	Call   mesh.Call
	Target mesh.Target
}

// Write sets the attempt's headers. Times are sent relative to now, because the nodes'
// clocks differ.
func (a *Attempt) Write(h http.Header, now time.Time) {
	h.Set(HeaderAttempt, string(a.ID))
	h.Set(HeaderService, string(a.Call.Service))
	h.Set(HeaderVersion, string(a.Target.Version))
	h.Set(HeaderIncarnation, strconv.FormatUint(uint64(a.Target.Incarnation), 10))
	h.Set(HeaderDeadline, FormatRemaining(a.Call.Deadline, now))
	h.Set(HeaderClass, string(a.Call.Class))
	h.Set(HeaderRoute, string(a.Call.Route))
	h.Set(HeaderFingerprint, strconv.FormatUint(a.Call.Fingerprint, 16))
	if a.Call.Caller != "" {
		h.Set(HeaderCaller, string(a.Call.Caller))
	}
	if a.Call.Account != "" {
		h.Set(HeaderAccount, string(a.Call.Account))
	}
	if !a.Call.StartBy.IsZero() {
		h.Set(HeaderStartBy, FormatRemaining(a.Call.StartBy, now))
	}
	if !a.Call.SoftDeadline.IsZero() {
		h.Set(HeaderSoftDeadline, FormatRemaining(a.Call.SoftDeadline, now))
	}
	if a.Call.HasPriority {
		h.Set(HeaderPriority, strconv.Itoa(a.Call.Priority))
	}
}

// FormatRemaining returns the time left until a moment in whole milliseconds, at least 0.
func FormatRemaining(until, now time.Time) string {
	return strconv.FormatInt(max(until.Sub(now).Milliseconds(), 0), 10)
}

// ReadAttempt parses the headers that Write sets.
func ReadAttempt(r *http.Request, now time.Time) (*Attempt, error) {
	h := r.Header
	incarnation, err := strconv.ParseUint(h.Get(HeaderIncarnation), 10, 64)
	if err != nil {
		return nil, result.BadRequest.Errorf("header %s: %v", HeaderIncarnation, err)
	}
	leftMS, err := strconv.ParseInt(h.Get(HeaderDeadline), 10, 64)
	if err != nil {
		return nil, result.BadRequest.Errorf("header %s: %v", HeaderDeadline, err)
	}
	fingerprint, err := strconv.ParseUint(h.Get(HeaderFingerprint), 16, 64)
	if err != nil {
		return nil, result.BadRequest.Errorf("header %s: %v", HeaderFingerprint, err)
	}
	a := &Attempt{
		ID: mesh.AttemptID(h.Get(HeaderAttempt)),
		Call: mesh.Call{
			Method: r.Method, Path: r.URL.Path, Caller: mesh.CallerID(h.Get(HeaderCaller)),
			Key: h.Get(HeaderKey), Class: mesh.Class(h.Get(HeaderClass)),
			Service: mesh.ServiceID(h.Get(HeaderService)), Route: mesh.RouteID(h.Get(HeaderRoute)),
			Deadline: now.Add(time.Duration(leftMS) * time.Millisecond), Fingerprint: fingerprint,
			Account: mesh.AccountName(h.Get(HeaderAccount)),
		},
		Target: mesh.Target{
			Incarnation: mesh.Incarnation(incarnation),
			Version:     mesh.UpstreamVersion(h.Get(HeaderVersion)),
		},
	}
	if a.ID == "" || a.Call.Service == "" {
		return nil, result.BadRequest.Errorf("headers %s and %s are required", HeaderAttempt, HeaderService)
	}
	return a, a.readOptional(h, now)
}

// readOptional parses the optional headers.
func (a *Attempt) readOptional(h http.Header, now time.Time) error {
	for _, field := range []struct {
		header string
		time   *time.Time
	}{{HeaderStartBy, &a.Call.StartBy}, {HeaderSoftDeadline, &a.Call.SoftDeadline}} {
		text := h.Get(field.header)
		if text == "" {
			continue
		}
		leftMS, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return result.BadRequest.Errorf("header %s: %v", field.header, err)
		}
		*field.time = now.Add(time.Duration(leftMS) * time.Millisecond)
	}
	if text := h.Get(HeaderPriority); text != "" {
		priority, err := strconv.Atoi(text)
		if err != nil {
			return result.BadRequest.Errorf("header %s: %v", HeaderPriority, err)
		}
		a.Call.Priority, a.Call.HasPriority = priority, true
	}
	return nil
}

// FormatLoad encodes a load as "in flight,queued,limit", followed by the slowness if it
// is known.
func FormatLoad(l mesh.Load) string {
	if l.Slowness > 0 {
		return fmt.Sprintf("%d,%d,%d,%d", l.InFlight, l.Queued, l.Limit, l.Slowness)
	}
	return fmt.Sprintf("%d,%d,%d", l.InFlight, l.Queued, l.Limit)
}

// ParseLoad decodes a load. It returns nil when s is empty or malformed. Figures after
// the fourth are ignored.
func ParseLoad(s string) *mesh.Load {
	var l mesh.Load
	fields := []*int{&l.InFlight, &l.Queued, &l.Limit, &l.Slowness}
	parts := strings.Split(s, ",")
	if len(parts) < len(fields)-1 {
		return nil
	}
	for i, part := range parts[:min(len(parts), len(fields))] {
		n, err := strconv.Atoi(strings.TrimSpace(part))
		if err != nil {
			return nil
		}
		*fields[i] = n
	}
	return &l
}

// hopHeaders are the hop-by-hop headers (RFC 9110 section 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// RemoveHopHeaders deletes the hop-by-hop headers, including those that Connection
// lists.
func RemoveHopHeaders(h http.Header) {
	for _, list := range h["Connection"] {
		for _, name := range strings.Split(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}
