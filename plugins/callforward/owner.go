package callforward

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
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

// owner runs attempts on the upstream beside the node.
type owner struct {
	in                ownerIn
	upstreamTransport *port.Transport
}

func newOwner(s *Settings, in ownerIn) *owner {
	return &owner{in: in, upstreamTransport: port.NewTransport(&http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: s.UpstreamConnections,
		MaxConnsPerHost:     s.UpstreamConnections,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	})}
}

// ServeHTTP runs an attempt that another node sent.
func (o *owner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	r.URL.Path = strings.TrimPrefix(r.URL.Path, callPrefix)
	r.URL.RawPath = strings.TrimPrefix(r.URL.RawPath, callPrefix)
	a, err := wire.ReadAttempt(r, time.Now())
	if err != nil {
		port.Refuse(w, err)
		return
	}
	remaining := time.Until(a.Call.Deadline)
	ctx, progressTimer, cancel := withProgressTimer(r.Context(), a.Call.Class, remaining, remaining)
	defer cancel()
	if r.Body != http.NoBody {
		r.Body = &trackedBody{ReadCloser: r.Body, progressTimer: progressTimer, readStarted: new(atomic.Bool)}
	}
	response, load, err := o.run(ctx, a, r)
	if load := o.load(load); load.Limit > 0 {
		w.Header().Set(wire.HeaderLoad, wire.FormatLoad(load))
	}
	if err != nil {
		port.Refuse(w, err)
		return
	}
	defer response.Body.Close()
	copyResponse(w, r, response, progressTimer)
}

// load returns the current load of the upstream, or else the one at admission.
func (o *owner) load(admitted mesh.Load) mesh.Load {
	if o.in.Load != nil {
		if newest := o.in.Load.Load(); newest != nil {
			return *newest
		}
	}
	return admitted
}

// run admits the attempt, claims its key and sends it to the upstream. The
// slot is released when the response's body is closed.
func (o *owner) run(ctx context.Context, a *wire.Attempt, r *http.Request) (*http.Response, mesh.Load, error) {
	admitted, err := kernel.Do(ctx, o.in.Admit, port.Admit{
		Call: a.Call, Attempt: a.ID, Incarnation: a.Target.Incarnation, Version: a.Target.Version,
	})
	if err != nil {
		return nil, mesh.Load{}, notStartedError(ctx, err)
	}
	response, err := o.runAdmitted(ctx, a, r, admitted)
	if err != nil {
		e := result.AsError(err)
		o.release(port.SlotRelease{Attempt: a.ID, Shed: e.Code == result.Shed, ConnectionLost: e.Code == result.UpstreamLost})
		return nil, admitted.Load, err
	}
	response.Body = &releasingBody{ReadCloser: response.Body, release: func() {
		o.release(port.SlotRelease{Attempt: a.ID, Status: response.StatusCode})
	}}
	return response, admitted.Load, nil
}

func (o *owner) runAdmitted(ctx context.Context, a *wire.Attempt, r *http.Request, admitted port.Admission) (*http.Response, error) {
	claim := port.Claim{Service: a.Call.Service, Caller: a.Call.Caller, Key: a.Call.Key, Attempt: a.ID}
	claimed := a.Call.Class == mesh.ClassOnce && a.Call.Key != ""
	if claimed {
		if err := o.claim(ctx, claim); err != nil {
			return nil, err
		}
	}
	response, err := o.send(ctx, a, r, admitted)
	if claimed {
		o.settleClaim(claim, response, err)
	}
	return response, err
}

func (o *owner) claim(ctx context.Context, c port.Claim) error {
	if o.in.Claims == nil {
		return result.KeyStoreDown.Errorf("the node has no plug-in for once-only calls")
	}
	_, err := kernel.Do(ctx, o.in.Claims, c)
	return err
}

// settleClaim records the outcome of a claim. When the call did not run, it waits
// until the key is free, so that a caller that retries at once is not refused.
func (o *owner) settleClaim(c port.Claim, response *http.Response, err error) {
	s := port.Settlement{Claim: c}
	switch {
	case err == nil:
		s.Status = response.StatusCode
	case result.Of(err).Ran == result.NotRun:
		s.NotRun = true
	default:
		return // the outcome is unknown: the claim stays as it is
	}
	ctx, cancel := context.WithTimeout(context.Background(), settlementTimeout)
	defer cancel()
	if !s.NotRun {
		cancel() // hands over the settlement without waiting until the status is recorded
	}
	_, _ = kernel.Do(ctx, o.in.Settlements, s)
}

// settlementTimeout bounds the wait until a key is free. A retry before that is
// refused as "may have run", which is safe.
const settlementTimeout = 500 * time.Millisecond

// send runs the attempt on the upstream. The error's code says whether it may have
// run.
func (o *owner) send(ctx context.Context, a *wire.Attempt, r *http.Request, admitted port.Admission) (*http.Response, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request := r.Clone(ctx)
	if !a.Call.Idempotent() && request.Body == http.NoBody {
		request.Body = noReplayBody{http.NoBody}
	}
	request.URL.Scheme = "http"
	request.URL.Host = admitted.Upstream.String()
	request.RequestURI = ""
	removeInternalHeaders(request.Header)
	a.Write(request.Header, time.Now())
	response, err := o.upstreamTransport.RoundTrip(request)
	if err != nil {
		return nil, upstreamError(ctx, err, connected.Load())
	}
	removeInternalHeaders(response.Header)
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(headerShed) != "" {
		response.Body.Close()
		return nil, result.Shed.Err()
	}
	return response, nil
}

// upstreamError distinguishes "nothing was sent" from "may have run".
func upstreamError(ctx context.Context, err error, connected bool) error {
	if !connected {
		return result.ConnectFailed.Errorf("upstream: %v", err)
	}
	if stopErr := stopCause(ctx); stopErr != nil {
		return stopErr
	}
	if ctx.Err() != nil {
		return result.ConnectionLost.Errorf("the caller disconnected during the call")
	}
	return result.UpstreamLost.Errorf("upstream: %v", err)
}

func (o *owner) release(released port.SlotRelease) { port.Release(o.in.Release, released, o.in.Logger) }

// releasingBody releases the slot once, when the response is closed.
type releasingBody struct {
	io.ReadCloser
	release  func()
	released atomic.Bool
}

// Close closes the body and releases the slot.
func (b *releasingBody) Close() error {
	err := b.ReadCloser.Close()
	if !b.released.Swap(true) {
		b.release()
	}
	return err
}

// settle reports whether an attempt began on this node, and fences it if not.
func (o *owner) settle(w http.ResponseWriter, r *http.Request) {
	incarnation, err := strconv.ParseUint(r.Header.Get(wire.HeaderIncarnation), 10, 64)
	id := r.Header.Get(wire.HeaderAttempt)
	remaining, remainingErr := strconv.ParseInt(r.Header.Get(wire.HeaderDeadline), 10, 64)
	if err != nil || remainingErr != nil || id == "" {
		port.Refuse(w, result.BadRequest.Errorf("headers %s, %s and %s are required", wire.HeaderAttempt, wire.HeaderIncarnation, wire.HeaderDeadline))
		return
	}
	settled, err := kernel.Do(r.Context(), o.in.Settle, port.Settle{
		Attempt: mesh.AttemptID(id), Incarnation: mesh.Incarnation(incarnation),
		Deadline: time.Now().Add(time.Duration(remaining) * time.Millisecond),
	})
	if err != nil {
		port.Refuse(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(settleResponse{NotRun: settled.NotRun})
}

// settleResponse is the body of the response to a settle request.
type settleResponse struct {
	NotRun bool `json:"not_run"`
}
