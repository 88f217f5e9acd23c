package callrelay

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/result"
	"teaselring/wire"
)

const (
	// responseMargin is reserved for the transmission of the response, so that a
	// server's own response at its deadline arrives before the caller's deadline.
	responseMargin = 15 * time.Millisecond
	// acceptRemoteWhileStopping is the time after the stop signal in which calls from
	// other nodes are still accepted. Clients of the machine are sent elsewhere after
	// 2 s; calls that begin by then end within the rest of the grace.
	acceptRemoteWhileStopping = 1800 * time.Millisecond
)

// owner runs attempts on the server beside the node.
type owner struct {
	*relayIn
	pool  *pool
	calls *atomic.Int64 // in progress, from other nodes
}

// ServeHTTP runs an attempt that another node sent.
func (o *owner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	o.calls.Add(1)
	defer o.calls.Add(-1)
	now := time.Now()
	o.hintFromEntry(r.Header)
	a, err := wire.ReadAttempt(r, now)
	if err == nil && o.Grace.StoppingFor() > acceptRemoteWhileStopping {
		err = result.Draining.Errorf("the node is stopping")
	}
	var response *port.Response
	if err == nil {
		ctx, cancel := context.WithDeadline(r.Context(), a.Call.Deadline)
		defer cancel()
		incoming := &port.Request{Request: r, Length: r.ContentLength, Arrived: now}
		if r.ContentLength != 0 {
			incoming.Remaining = readAhead(ctx, o.Guard, r.Body, r.ContentLength, cancel)
		}
		response, err = o.run(ctx, a, incoming)
	}
	h := w.Header()
	if load := o.Load.Load(); load != nil {
		h.Set(wire.HeaderLoad, wire.FormatLoad(*load))
	}
	h.Set(port.SeenHeader, o.seen())
	if err != nil {
		port.Refuse(w, err)
		return
	}
	h.Set(wire.HeaderServerTime, strconv.FormatInt(response.ServerTime.Microseconds(), 10))
	writeResponse(w, response)
}

// run admits the attempt and sends it to the server. The slot is released when
// the response is complete or closed.
func (o *owner) run(ctx context.Context, a *wire.Attempt, incoming *port.Request) (*port.Response, error) {
	admitted, err := kernel.Do(ctx, o.Admit, port.Admit{
		Call: a.Call, Attempt: a.ID, Incarnation: o.incarnation(), Version: a.Target.Version,
	})
	if err != nil {
		if result.Of(err) == result.Stopped && ctx.Err() != nil {
			err = result.QueueTimeout.Errorf("the call ended while it waited for a slot")
		}
		return nil, err
	}
	var response *port.Response
	var load *mesh.Load
	sentAt := time.Now()
	err = o.Guard.Run("attempt", string(a.ID), func() (err error) {
		response, load, err = o.send(ctx, a, incoming, admitted)
		return err
	})
	released := port.SlotRelease{Attempt: a.ID, Load: load}
	if err != nil {
		code := result.Of(err)
		released.Shed, released.ConnectionLost, released.Unreachable = code == result.Shed, code == result.UpstreamLost, code == result.ConnectFailed
		o.release(released)
		return nil, err
	}
	released.Status = response.Status
	response.ServerTime = time.Since(sentAt)
	if response.Remaining == nil {
		o.release(released)
		return response, nil
	}
	response.Remaining = &stoppingBody{ReadCloser: response.Remaining, stop: func() bool { o.release(released); return true }}
	return response, nil
}

// incarnation returns the current incarnation of this node. The one that the entry
// node sent is not compared: service, version and the server's id are checked, and
// no other node can see a new incarnation while the store is down.
func (o *owner) incarnation() mesh.Incarnation {
	if view := o.View.Load(); view != nil {
		if self := view.Member(o.Identity.Node); self != nil {
			return self.Incarnation
		}
	}
	return 0 // unknown: the slots duty refuses it
}

func (o *owner) release(released port.SlotRelease) { port.Release(o.Release, released, o.Logger) }

// send runs the attempt on the server. It returns the load that the server reported with
// its response, also with a rejected one.
func (o *owner) send(ctx context.Context, a *wire.Attempt, incoming *port.Request, admitted port.Admission) (*port.Response, *mesh.Load, error) {
	request := outgoingRequest(incoming.Request)
	h := request.Header
	id := h.Get(o.Headers.RequestID)
	h.Set(o.Headers.DeadlineMS, wire.FormatRemaining(a.Call.Deadline, time.Now().Add(responseMargin)))
	h.Set(o.Headers.Caller, string(a.Call.Caller))
	o.setAccountHeader(h, a)
	h.Del(o.Headers.Expect)
	if admitted.Instance != "" {
		h.Set(o.Headers.Expect, admitted.Instance)
	}
	x := &exchange{
		pool: o.pool, guard: o.Guard, address: admitted.Upstream.String(), request: request, incoming: incoming, idleTimeout: keepAliveTimeout, mayRejectEarly: true,
		matches: func(r *http.Response) bool {
			echo := r.Header.Get(o.Headers.RequestID)
			return echo == id || echo == ""
		},
	}
	response, err := x.run(ctx)
	if result.Of(err) == result.ConnectionLost {
		err = result.UpstreamLost.Errorf("%v", err)
	}
	if err != nil {
		return nil, nil, err
	}
	removeNodeHeaders(response.Header) // a server's own would be taken for those of its node
	if err := o.checkResponse(response, id); err != nil {
		if response.Remaining != nil {
			_ = response.Remaining.Close()
		}
		return nil, o.Headers.ReadLoad(response.Header), err
	}
	return response, o.Headers.ReadLoad(response.Header), nil
}

// checkResponse checks that a server's response is valid. The error's code
// distinguishes a declared refusal (not run) from an invalid response (may have run).
// Only the request's id proves that a response, and so a refusal, belongs to the request:
// a faulty server may write an earlier one again.
func (o *owner) checkResponse(response *port.Response, id string) error {
	h := response.Header
	if h.Get(o.Headers.RequestID) != id {
		return result.UpstreamLost.Errorf("response %d without the id of the request", response.Status)
	}
	if h.Get(o.Headers.NotRun) != "" {
		load := "no load"
		if l := o.Headers.ReadLoad(h); l != nil {
			load = fmt.Sprintf("%d running and %d waiting on %d slots", l.InFlight, l.Queued, l.Limit)
		}
		return result.Shed.Errorf("the server responded %d, did not run the request and reported %s", response.Status, load)
	}
	success := response.Status >= 200 && response.Status < 300
	switch {
	case response.Status == http.StatusMisdirectedRequest:
		return result.Draining.Errorf("another server has the address: %s", h.Get(o.Headers.Instance))
	case success && h.Get(o.Headers.Signature) == "":
		return result.UpstreamLost.Errorf("response %d without signature", response.Status)
	case h.Get("Content-Encoding") != "":
		return result.UpstreamLost.Errorf("response %d with a content encoding", response.Status)
	case impliesNotRun(response.Status):
		return result.UpstreamLost.Errorf("response %d without the statement that the request did not run", response.Status)
	}
	return nil
}

// impliesNotRun reports whether callers conclude from the status that the request
// has not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// outgoingRequest returns the request to forward, without hop-by-hop headers and
// those between nodes.
func outgoingRequest(r *http.Request) *http.Request {
	h := r.Header.Clone()
	wire.RemoveHopHeaders(h)
	removeNodeHeaders(h)
	h.Del("Expect")
	if _, given := h["User-Agent"]; !given {
		h["User-Agent"] = nil // keeps net/http from adding its own
	}
	return &http.Request{Method: r.Method, URL: targetURL(r), Host: r.Host, Header: h, ProtoMajor: 1, ProtoMinor: 1}
}

// targetURL returns a URL that is written as the target of the received request. net/url
// escapes characters such as | anew.
func targetURL(r *http.Request) *url.URL {
	if r.RequestURI == "" || r.RequestURI == r.URL.RequestURI() || strings.HasPrefix(r.RequestURI, "//") {
		return r.URL
	}
	return &url.URL{Opaque: r.RequestURI}
}

// removeNodeHeaders deletes the headers that only nodes may set.
func removeNodeHeaders(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, nodeHeaderPrefix) {
			delete(h, name)
		}
	}
}

// nodeHeaderPrefix is the prefix of all headers between nodes.
const nodeHeaderPrefix = "Teasel-"

// writeResponse sends a response to another node. A truncated body aborts the
// connection, so that it is never taken for a complete one.
func writeResponse(w http.ResponseWriter, response *port.Response) {
	h := w.Header()
	for name, values := range response.Header {
		h[name] = values
	}
	wire.RemoveHopHeaders(h)
	if h["Date"] == nil {
		h["Date"] = nil // keeps net/http from adding one to the server's response
	}
	if response.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(response.Length, 10))
	}
	w.WriteHeader(response.Status)
	_, err := w.Write(response.Buffered)
	if response.Remaining != nil {
		defer func() { _ = response.Remaining.Close() }()
		err = copyRemaining(w, response)
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}
