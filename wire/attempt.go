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

// Headers of a call between nodes. Those of the attempt are set by nodes only.
const (
	HeaderAttempt     = "Teasel-Attempt"
	HeaderService     = "Teasel-Service"
	HeaderVersion     = "Teasel-Upstream-Version"
	HeaderIncarnation = "Teasel-Incarnation"
	HeaderDeadline    = "Teasel-Deadline-Ms"
	HeaderStartBy     = "Teasel-Start-By-Ms"
	HeaderAim         = "Teasel-Aim-Ms"
	HeaderPriority    = "Teasel-Priority"
	HeaderClass       = "Teasel-Class"
	HeaderRoute       = "Teasel-Route"
	HeaderCaller      = "Teasel-Caller"
	HeaderFingerprint = "Teasel-Fingerprint"
	HeaderLoad        = "Teasel-Load"
	HeaderKey         = "Idempotency-Key"
	HeaderEntry       = "Teasel-Entry" // IP:port of the entry node's inbound edge
)

// Attempt is what travels with a call between nodes besides the request itself.
type Attempt struct {
	ID     mesh.AttemptID
	Call   mesh.Call
	Target mesh.Target
}

// Write sets the attempt's headers. Times are relative, since clocks differ.
func (a *Attempt) Write(h http.Header, now time.Time) {
	h.Set(HeaderAttempt, string(a.ID))
	h.Set(HeaderService, string(a.Call.Service))
	h.Set(HeaderVersion, string(a.Target.Version))
	h.Set(HeaderIncarnation, strconv.FormatUint(uint64(a.Target.Incarnation), 10))
	h.Set(HeaderDeadline, FormatLeft(a.Call.Deadline, now))
	h.Set(HeaderClass, string(a.Call.Class))
	h.Set(HeaderRoute, string(a.Call.Route))
	h.Set(HeaderFingerprint, strconv.FormatUint(a.Call.Fingerprint, 16))
	if a.Call.Caller != "" {
		h.Set(HeaderCaller, string(a.Call.Caller))
	}
	if !a.Call.StartBy.IsZero() {
		h.Set(HeaderStartBy, FormatLeft(a.Call.StartBy, now))
	}
	if !a.Call.Aim.IsZero() {
		h.Set(HeaderAim, FormatLeft(a.Call.Aim, now))
	}
	if a.Call.Ranked {
		h.Set(HeaderPriority, strconv.Itoa(a.Call.Priority))
	}
}

// FormatLeft returns the whole milliseconds until a time, at least 0.
func FormatLeft(until, now time.Time) string {
	return strconv.FormatInt(max(until.Sub(now).Milliseconds(), 0), 10)
}

// ReadAttempt reads what Write set.
func ReadAttempt(r *http.Request, now time.Time) (*Attempt, error) {
	h := r.Header
	incarnation, err := strconv.ParseUint(h.Get(HeaderIncarnation), 10, 64)
	if err != nil {
		return nil, result.BadRequest.Errorf("header %s: %v", HeaderIncarnation, err)
	}
	left, err := strconv.ParseInt(h.Get(HeaderDeadline), 10, 64)
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
			Deadline: now.Add(time.Duration(left) * time.Millisecond), Fingerprint: fingerprint,
		},
		Target: mesh.Target{
			Incarnation: mesh.Incarnation(incarnation),
			Version:     mesh.UpstreamVersion(h.Get(HeaderVersion)),
		},
	}
	if a.ID == "" || a.Call.Service == "" {
		return nil, result.BadRequest.Errorf("headers %s and %s are required", HeaderAttempt, HeaderService)
	}
	return a, a.readRank(h, now)
}

// readRank reads the headers that not every attempt has.
func (a *Attempt) readRank(h http.Header, now time.Time) error {
	for _, at := range []struct {
		header string
		time   *time.Time
	}{{HeaderStartBy, &a.Call.StartBy}, {HeaderAim, &a.Call.Aim}} {
		text := h.Get(at.header)
		if text == "" {
			continue
		}
		left, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return result.BadRequest.Errorf("header %s: %v", at.header, err)
		}
		*at.time = now.Add(time.Duration(left) * time.Millisecond)
	}
	if text := h.Get(HeaderPriority); text != "" {
		priority, err := strconv.Atoi(text)
		if err != nil {
			return result.BadRequest.Errorf("header %s: %v", HeaderPriority, err)
		}
		a.Call.Priority, a.Call.Ranked = priority, true
	}
	return nil
}

// FormatLoad encodes a load as "running,waiting,limit".
func FormatLoad(l mesh.Load) string {
	return fmt.Sprintf("%d,%d,%d", l.InFlight, l.Queued, l.Limit)
}

// ParseLoad decodes a load; nil when there is none.
func ParseLoad(s string) *mesh.Load {
	var l mesh.Load
	if _, err := fmt.Sscanf(s, "%d,%d,%d", &l.InFlight, &l.Queued, &l.Limit); err != nil {
		return nil
	}
	return &l
}

// hopHeaders concern one connection only (RFC 9110 section 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// RemoveHopHeaders deletes the headers that concern one connection only.
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
