package callforward

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"teaselring/decision/retry"
	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/result"
	"teaselring/wire"
)

// exchange is one call at its entry node, over all its attempts.
type exchange struct {
	*entry
	request       *http.Request
	progressTimer *progressTimer
	body          *callBody
	call          mesh.Call
	triedNodes    []mesh.NodeID
	finalError    retry.FinalError
}

// serve runs attempts until one gets a response or the router allows no other.
func (c *exchange) serve(ctx context.Context, w http.ResponseWriter) {
	for {
		response, outcome, err := c.attempt(ctx)
		if err == nil {
			c.deliver(w, response, outcome)
			return
		}
		err = c.finalError.Of(err)
		verdict := c.decideRetry(ctx, outcome)
		if verdict.Retry && kernel.Sleep(ctx, verdict.Wait) == nil {
			continue
		}
		c.refuse(w, outcome, verdict, err)
		return
	}
}

// decideRetry reports a failed attempt and returns the router's decision on another.
// The report comes first, so that the router no longer counts the attempt as in
// flight. A call whose body was partly streamed can't be retried.
func (c *exchange) decideRetry(ctx context.Context, outcome mesh.Outcome) port.RetryDecision {
	if outcome.Target.Node == "" { // no attempt was made
		return port.RetryDecision{}
	}
	c.report(port.OutcomeReport{Outcome: outcome})
	if !c.body.replayable() {
		return port.RetryDecision{}
	}
	verdict, err := kernel.Do(ctx, c.Retries, port.RetryRequest{
		Call: c.call, Outcome: outcome, Attempts: len(c.triedNodes),
		RequestRetried: c.request.Header.Get(headerRetried) != "",
	})
	if err != nil {
		return port.RetryDecision{}
	}
	return verdict
}

// refuse ends the call with an error. A call whose first pick failed holds no
// in-flight place to release.
func (c *exchange) refuse(w http.ResponseWriter, outcome mesh.Outcome, verdict port.RetryDecision, err error) {
	if len(c.triedNodes) > 0 {
		c.report(port.OutcomeReport{Outcome: outcome, CallEnded: true, NoAttempt: true})
	}
	if verdict.MarkRetried {
		w.Header().Set(headerRetried, "1")
	}
	drainBody(w, c.request)
	port.Refuse(w, err)
}

// deliver copies the response to the caller. The report is deferred because
// copyResponse aborts the connection with a panic.
func (c *exchange) deliver(w http.ResponseWriter, response *http.Response, outcome mesh.Outcome) {
	defer response.Body.Close()
	defer func() { c.report(port.OutcomeReport{Outcome: outcome, CallEnded: true}) }()
	copyResponse(w, c.request, response, c.progressTimer)
}

// attempt picks a target and runs the call there once.
func (c *exchange) attempt(ctx context.Context) (*http.Response, mesh.Outcome, error) {
	outcome := mesh.Outcome{Route: c.call.Route, Caller: c.call.Caller, Class: c.call.Class}
	first := len(c.triedNodes) == 0
	target, err := c.pick(ctx, port.Pick{Call: c.call, Tried: c.triedNodes, FirstAttempt: first, Retried: !first})
	if err != nil {
		return nil, outcome, err
	}
	c.triedNodes = append(c.triedNodes, target.Node)
	outcome.Target = target
	startedAt := time.Now()
	response, load, err := c.run(ctx, &wire.Attempt{ID: newAttemptID(), Call: c.call, Target: target})
	outcome.Duration = time.Since(startedAt)
	outcome.Load = load
	port.FillOutcome(&outcome, statusOf(response), err)
	return response, outcome, err
}

func statusOf(response *http.Response) int {
	if response == nil {
		return 0
	}
	return response.StatusCode
}

// run sends the attempt to its target: to another node, or directly to the
// upstream beside this node.
func (c *exchange) run(ctx context.Context, a *wire.Attempt) (*http.Response, *mesh.Load, error) {
	request := c.request.Clone(ctx)
	request.Body = c.body.attemptBody()
	request.RequestURI = ""
	request.Close = false // concerns the caller's connection only
	removeInternalHeaders(request.Header)
	if a.Target.Node == c.Identity.Node {
		response, load, err := c.Owner.run(ctx, a, request)
		return response, &load, err
	}
	return c.runRemote(ctx, a, request)
}

func (c *exchange) runRemote(ctx context.Context, a *wire.Attempt, request *http.Request) (*http.Response, *mesh.Load, error) {
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request = request.WithContext(traced)
	a.Write(request.Header, time.Now())
	request.URL.Scheme = "https"
	request.URL.Host = a.Target.PeerAddress
	request.URL.Path = callPrefix + request.URL.Path
	if request.URL.RawPath != "" {
		request.URL.RawPath = callPrefix + request.URL.RawPath
	}
	response, err := c.Peers.Transport.RoundTrip(request)
	if err != nil {
		return nil, nil, c.settleFailure(ctx, a, err, connected.Load())
	}
	load := wire.ParseLoad(response.Header.Get(wire.HeaderLoad))
	if response.Header.Get(port.CodeHeader) != "" {
		defer response.Body.Close()
		return nil, load, port.ReadRefusal(response)
	}
	removeInternalHeaders(response.Header)
	if err := holdBody(response); err != nil {
		return nil, load, c.settleFailure(ctx, a, err, true)
	}
	return response, load, nil
}

// maxHeldBytes is the length up to which a response of another node is read before it is
// forwarded. A connection that breaks in between then costs an attempt, not the caller's
// connection.
const maxHeldBytes = 64 << 10

// holdBody reads the body of a short response of known length.
func holdBody(response *http.Response) error {
	if response.ContentLength < 0 || response.ContentLength > maxHeldBytes {
		return nil
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	response.Body = io.NopCloser(bytes.NewReader(body))
	return err
}

// settleFailure determines whether an attempt without a response began. Without
// proof that it did not, the error says "may have run".
func (c *exchange) settleFailure(ctx context.Context, a *wire.Attempt, cause error, connected bool) error {
	if !connected {
		return result.ConnectFailed.Errorf("node %s: %v", a.Target.Node, cause)
	}
	if c.confirmNotRun(a) {
		return result.Fenced.Errorf("node %s: %v", a.Target.Node, cause)
	}
	if stopErr := stopCause(ctx); stopErr != nil {
		return stopErr
	}
	return result.ConnectionLost.Errorf("node %s: %v", a.Target.Node, cause)
}

// confirmNotRun reports whether the owner node confirmed that the attempt never
// began and never will. The client has removed the broken connection from its pool,
// so the request uses another. After the deadline the owner node may have removed the
// attempt from its table, so there is no proof.
func (c *exchange) confirmNotRun(a *wire.Attempt) bool {
	remaining := time.Until(a.Call.Deadline)
	if remaining <= 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.settleTimeout)
	defer cancel()
	url := "https://" + a.Target.PeerAddress + settlePath
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	if err != nil {
		return false
	}
	request.Header.Set(wire.HeaderAttempt, string(a.ID))
	request.Header.Set(wire.HeaderDeadline, strconv.FormatInt(remaining.Milliseconds(), 10))
	request.Header.Set(wire.HeaderIncarnation, strconv.FormatUint(uint64(a.Target.Incarnation), 10))
	response, err := c.Peers.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	var settled settleResponse
	return response.StatusCode == http.StatusOK &&
		json.NewDecoder(io.LimitReader(response.Body, port.MaxHeadBytes)).Decode(&settled) == nil && settled.NotRun
}
