package callforward

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"teaselring/mesh"
	"teaselring/port"
	"teaselring/result"
)

// Paths on the peers' listener.
const (
	callPrefix = "/call"
	settlePath = "/settle"
)

// Headers between entry node, owner node and upstream.
const (
	headerAttempt     = "Teasel-Attempt"
	headerService     = "Teasel-Service"
	headerVersion     = "Teasel-Upstream-Version"
	headerIncarnation = "Teasel-Incarnation"
	headerDeadline    = "Teasel-Deadline-Ms"
	headerClass       = "Teasel-Class"
	headerRoute       = "Teasel-Route"
	headerCaller      = "Teasel-Caller"
	headerFingerprint = "Teasel-Fingerprint"
	headerLoad        = "Teasel-Load"
	headerShed        = "Teasel-Shed"
	headerRetried     = "Teasel-Retried"
	headerKey         = "Idempotency-Key"
)

// hopHeaders concern one connection only (RFC 9110 section 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// internalHeaders are set by nodes only; a caller or upstream can't forge them.
var internalHeaders = []string{
	headerAttempt, headerService, headerVersion, headerIncarnation, headerClass,
	headerRoute, headerFingerprint, headerLoad, port.CodeHeader,
}

func removeHeaders(h http.Header, names ...[]string) {
	for _, list := range h["Connection"] {
		for _, name := range strings.Split(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, group := range names {
		for _, name := range group {
			h.Del(name)
		}
	}
}

// attempt is what travels with a call between nodes besides the request itself.
type attempt struct {
	id     mesh.AttemptID
	call   mesh.Call
	target mesh.Target
}

func (a *attempt) write(h http.Header, now time.Time) {
	h.Set(headerAttempt, string(a.id))
	h.Set(headerService, string(a.call.Service))
	h.Set(headerVersion, string(a.target.Version))
	h.Set(headerIncarnation, strconv.FormatUint(uint64(a.target.Incarnation), 10))
	h.Set(headerDeadline, strconv.FormatInt(max(a.call.Deadline.Sub(now).Milliseconds(), 0), 10))
	h.Set(headerClass, string(a.call.Class))
	h.Set(headerRoute, string(a.call.Route))
	h.Set(headerFingerprint, strconv.FormatUint(a.call.Fingerprint, 16))
	if a.call.Caller != "" {
		h.Set(headerCaller, string(a.call.Caller))
	}
}

func readAttempt(r *http.Request, now time.Time) (*attempt, error) {
	h := r.Header
	incarnation, err := strconv.ParseUint(h.Get(headerIncarnation), 10, 64)
	if err != nil {
		return nil, result.BadRequest.Errorf("header %s: %v", headerIncarnation, err)
	}
	left, err := strconv.ParseInt(h.Get(headerDeadline), 10, 64)
	if err != nil {
		return nil, result.BadRequest.Errorf("header %s: %v", headerDeadline, err)
	}
	fingerprint, err := strconv.ParseUint(h.Get(headerFingerprint), 16, 64)
	if err != nil {
		return nil, result.BadRequest.Errorf("header %s: %v", headerFingerprint, err)
	}
	a := &attempt{
		id: mesh.AttemptID(h.Get(headerAttempt)),
		call: mesh.Call{
			Method: r.Method, Path: r.URL.Path, Caller: mesh.CallerID(h.Get(headerCaller)),
			Key: h.Get(headerKey), Class: mesh.Class(h.Get(headerClass)),
			Service: mesh.ServiceID(h.Get(headerService)), Route: mesh.RouteID(h.Get(headerRoute)),
			Deadline: now.Add(time.Duration(left) * time.Millisecond), Fingerprint: fingerprint,
		},
		target: mesh.Target{
			Incarnation: mesh.Incarnation(incarnation),
			Version:     mesh.UpstreamVersion(h.Get(headerVersion)),
		},
	}
	if a.id == "" || a.call.Service == "" {
		return nil, result.BadRequest.Errorf("headers %s and %s are required", headerAttempt, headerService)
	}
	return a, nil
}

func formatLoad(l mesh.Load) string {
	return fmt.Sprintf("%d,%d,%d", l.InFlight, l.Queued, l.Limit)
}

func parseLoad(s string) *mesh.Load {
	var l mesh.Load
	if _, err := fmt.Sscanf(s, "%d,%d,%d", &l.InFlight, &l.Queued, &l.Limit); err != nil {
		return nil
	}
	return &l
}
