package callrelay

import (
	"context"
	"fmt"
	"net/http"
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
	// answerMargin is left of an attempt's time for the answer's way back, so that
	// a server's own answer at its deadline arrives before the caller's.
	answerMargin = 15 * time.Millisecond
	// acceptWhileStopping is the time after the signal to stop in which calls of
	// other nodes are still taken. Clients of the machine are sent elsewhere after
	// 2 s; calls that begin by then end within the rest of the grace.
	acceptWhileStopping = 1800 * time.Millisecond
)

// owner runs attempts on the server beside the node.
type owner struct {
	*relayIn
	pool  *pool
	calls *atomic.Int64 // of other nodes in progress
}

// ServeHTTP runs an attempt that another node sent.
func (o *owner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	o.calls.Add(1)
	defer o.calls.Add(-1)
	now := time.Now()
	o.hint(r.Header)
	a, err := wire.ReadAttempt(r, now)
	if err == nil && o.Grace.StoppingFor() > acceptWhileStopping {
		err = result.Draining.Errorf("the node is stopping")
	}
	var answer *port.Answer
	if err == nil {
		ctx, cancel := context.WithDeadline(r.Context(), a.Call.Deadline)
		defer cancel()
		body := &port.Request{Request: r, Length: r.ContentLength, Arrived: now}
		if r.ContentLength != 0 {
			body.Rest = readAhead(ctx, r.Body, r.ContentLength, cancel)
		}
		answer, err = o.run(ctx, a, body)
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
	writeAnswer(w, answer)
}

// run admits the attempt and sends it to the server. The slot is released when
// the answer is complete or closed.
func (o *owner) run(ctx context.Context, a *wire.Attempt, body *port.Request) (*port.Answer, error) {
	admitted, err := kernel.Do(ctx, o.Admit, port.Admit{
		Call: a.Call, Attempt: a.ID, Incarnation: o.incarnation(), Version: a.Target.Version,
	})
	if err != nil {
		if result.Of(err) == result.Stopped && ctx.Err() != nil {
			err = result.QueueTimeout.Errorf("the call ended while it waited for a slot")
		}
		return nil, err
	}
	answer, load, err := o.send(ctx, a, body, admitted)
	released := port.Released{Attempt: a.ID, Load: load}
	if err != nil {
		code := result.Of(err)
		released.Shed, released.Lost, released.Down = code == result.Shed, code == result.UpstreamLost, code == result.ConnectFailed
		o.release(released)
		return nil, err
	}
	released.Status = answer.Status
	if answer.Rest == nil {
		o.release(released)
		return answer, nil
	}
	answer.Rest = &closing{ReadCloser: answer.Rest, stop: func() bool { o.release(released); return true }}
	return answer, nil
}

// incarnation returns that of this node. Which life of the node the entry node
// knows does not matter: service, version and the server's id are checked, and
// while the store is down no other node can learn of a new life.
func (o *owner) incarnation() mesh.Incarnation {
	if view := o.View.Load(); view != nil {
		if self := view.Member(o.Identity.Node); self != nil {
			return self.Incarnation
		}
	}
	return 0 // refused by the slots duty
}

func (o *owner) release(released port.Released) { port.Release(o.Release, released, o.Logger) }

// send runs the attempt on the server. The load is what the server reported with
// an answer that counts for nothing, such as a refusal.
func (o *owner) send(ctx context.Context, a *wire.Attempt, body *port.Request, to port.Admitted) (*port.Answer, *mesh.Load, error) {
	request := outgoing(body.Request)
	h := request.Header
	id := h.Get(o.Headers.RequestID)
	h.Set(o.Headers.DeadlineMS, wire.FormatLeft(a.Call.Deadline, time.Now().Add(answerMargin)))
	h.Set(o.Headers.Caller, string(a.Call.Caller))
	h.Del(o.Headers.Expect)
	if to.Instance != "" {
		h.Set(o.Headers.Expect, to.Instance)
	}
	x := &exchange{
		pool: o.pool, address: to.Upstream.String(), request: request, body: body, kept: keepAlive, readsLate: true,
		matches: func(r *http.Response) bool {
			echo := r.Header.Get(o.Headers.RequestID)
			return echo == id || echo == ""
		},
	}
	answer, err := x.run(ctx)
	if result.Of(err) == result.ConnectionLost {
		err = result.UpstreamLost.Errorf("%v", err)
	}
	if err != nil {
		return nil, nil, err
	}
	if err := o.judge(answer, id); err != nil {
		if answer.Rest != nil {
			_ = answer.Rest.Close()
		}
		return nil, o.Headers.ReadLoad(answer.Header), err
	}
	return answer, nil, nil
}

// judge decides what a server's answer is worth: an answer to the request, its
// statement that the request did not run, or neither.
func (o *owner) judge(a *port.Answer, id string) error {
	h := a.Header
	if h.Get(o.Headers.NotRun) != "" {
		load := "no load"
		if l := o.Headers.ReadLoad(h); l != nil {
			load = fmt.Sprintf("%d running and %d waiting on %d slots", l.InFlight, l.Queued, l.Limit)
		}
		return result.Shed.Errorf("the server answered %d, did not run the request and reported %s", a.Status, load)
	}
	success := a.Status >= 200 && a.Status < 300
	switch {
	case a.Status == http.StatusMisdirectedRequest:
		return result.Draining.Errorf("another server has the address: %s", h.Get(o.Headers.Instance))
	case success && (h.Get(o.Headers.Signature) == "" || h.Get(o.Headers.RequestID) != id):
		return result.UpstreamLost.Errorf("an answer %d without signature or request id", a.Status)
	case h.Get("Content-Encoding") != "":
		return result.UpstreamLost.Errorf("an encoded answer %d", a.Status)
	case promises(a.Status):
		return result.UpstreamLost.Errorf("an answer %d without the statement that the request did not run", a.Status)
	}
	return nil
}

// promises reports whether a caller takes the status for a promise that the
// request has not run.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// outgoing returns the request to send on, without what concerns one connection
// or the nodes only.
func outgoing(r *http.Request) *http.Request {
	h := r.Header.Clone()
	wire.RemoveHopHeaders(h)
	for name := range h {
		if strings.HasPrefix(name, nodeHeaders) {
			delete(h, name)
		}
	}
	h.Del("Expect")
	if _, given := h["User-Agent"]; !given {
		h["User-Agent"] = nil // keeps net/http from adding its own
	}
	return &http.Request{Method: r.Method, URL: r.URL, Host: r.Host, Header: h, ProtoMajor: 1, ProtoMinor: 1}
}

// nodeHeaders begins the names of all headers between nodes.
const nodeHeaders = "Teasel-"

// writeAnswer sends an answer to another node. A body that breaks off aborts
// the connection, so that a part is never taken for the whole.
func writeAnswer(w http.ResponseWriter, a *port.Answer) {
	h := w.Header()
	for name, values := range a.Header {
		h[name] = values
	}
	wire.RemoveHopHeaders(h)
	if h["Date"] == nil {
		h["Date"] = nil // keeps net/http from adding one to the server's answer
	}
	if a.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(a.Length, 10))
	}
	w.WriteHeader(a.Status)
	_, err := w.Write(a.Held)
	if a.Rest != nil {
		defer func() { _ = a.Rest.Close() }()
		err = copyRest(w, a)
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}
