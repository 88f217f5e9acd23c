package callforward

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"strconv"
	"time"

	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/result"
	"teaselring/wire"
)

// entry accepts callers' requests and sends each to an owner node.
type entry struct {
	entryIn
	settleTimeout time.Duration
}

func newEntry(s *Settings, in entryIn) *entry {
	return &entry{entryIn: in, settleTimeout: s.SettleTimeout.Duration}
}

// ServeHTTP handles one call.
func (e *entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	route, err := e.route(r)
	if err != nil {
		drainBody(w, r)
		port.Refuse(w, err)
		return
	}
	timeout := callTimeout(r, route)
	ctx, progressTimer, cancel := withProgressTimer(r.Context(), route.Class, timeout, timeout)
	defer cancel()
	body, err := newCallBody(r, progressTimer)
	if err != nil {
		port.Refuse(w, result.BadRequest.Errorf("reading the request's body: %v", err))
		return
	}
	c := &exchange{
		entry: e, request: r, progressTimer: progressTimer, body: body,
		call: mesh.Call{
			Method: r.Method, Path: r.URL.Path, Caller: mesh.CallerID(r.Header.Get(wire.HeaderCaller)),
			Key: r.Header.Get(wire.HeaderKey), Class: route.Class, Service: route.Service, Route: route.ID,
			Deadline: now.Add(timeout), Fingerprint: fingerprint(r, body),
		},
	}
	c.serve(ctx, w)
}

func (e *entry) route(r *http.Request) (*mesh.Route, error) {
	snapshot := e.Snapshot.Load()
	if snapshot == nil {
		return nil, result.NoConfiguration.Err()
	}
	route := snapshot.Route(r.Method, r.URL.Path)
	if route == nil {
		return nil, result.NoRoute.Errorf("no route matches %s %s in version %d", r.Method, r.URL.Path, snapshot.Version)
	}
	return route, nil
}

// callTimeout returns the route's timeout, or the caller's remaining time if less.
func callTimeout(r *http.Request, route *mesh.Route) time.Duration {
	remaining, err := strconv.ParseInt(r.Header.Get(wire.HeaderDeadline), 10, 64)
	if err != nil {
		return route.Timeout
	}
	return min(route.Timeout, max(time.Duration(remaining)*time.Millisecond, 0))
}

func newAttemptID() mesh.AttemptID {
	var b [16]byte
	_, _ = rand.Read(b[:])
	return mesh.AttemptID(hex.EncodeToString(b[:]))
}

func (e *entry) report(f port.OutcomeReport) { port.ReportOutcome(e.Outcomes, f, e.Logger) }

func (e *entry) pick(ctx context.Context, p port.Pick) (mesh.Target, error) {
	target, err := kernel.Do(ctx, e.Picks, p)
	if err != nil {
		return target, notStartedError(ctx, err)
	}
	return target, nil
}
