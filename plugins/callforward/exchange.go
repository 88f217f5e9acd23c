package callforward

import (
	"context"
	"encoding/json"
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
	request  *http.Request
	patience *patience
	body     *callBody
	call     mesh.Call
	tried    []mesh.NodeID
	truth    retry.Truth
}

// serve runs attempts until one is answered or the router allows no other.
func (c *exchange) serve(ctx context.Context, w http.ResponseWriter) {
	for {
		answer, outcome, err := c.attempt(ctx)
		if err == nil {
			c.deliver(w, answer, outcome)
			return
		}
		err = c.truth.Of(err)
		verdict := c.judge(ctx, outcome)
		if verdict.Retry && kernel.Sleep(ctx, verdict.Wait) == nil {
			continue
		}
		c.refuse(w, outcome, verdict, err)
		return
	}
}

// judge ends a failed attempt and asks the router whether another may follow.
// The attempt is reported first, so that the router counts it no longer. A body
// that was partly streamed can't be sent again, whatever the router would allow.
func (c *exchange) judge(ctx context.Context, outcome mesh.Outcome) port.RetryVerdict {
	if outcome.Target.Node == "" { // no attempt was made
		return port.RetryVerdict{}
	}
	c.report(port.Finished{Outcome: outcome})
	if !c.body.replayable() {
		return port.RetryVerdict{}
	}
	verdict, err := kernel.Do(ctx, c.Retries, port.MayRetry{
		Call: c.call, Outcome: outcome, Attempts: len(c.tried),
		RetriedAbove: c.request.Header.Get(headerRetried) != "",
	})
	if err != nil {
		return port.RetryVerdict{}
	}
	return verdict
}

// refuse ends the call with an error. A call whose first pick failed holds no
// place that could be released.
func (c *exchange) refuse(w http.ResponseWriter, outcome mesh.Outcome, verdict port.RetryVerdict, err error) {
	if len(c.tried) > 0 {
		c.report(port.Finished{Outcome: outcome, CallEnded: true, NoAttempt: true})
	}
	if verdict.Mark {
		w.Header().Set(headerRetried, "1")
	}
	drain(w, c.request)
	port.Refuse(w, err)
}

// deliver copies the answer to the caller. The report is deferred because
// copyAnswer aborts the connection by a panic.
func (c *exchange) deliver(w http.ResponseWriter, answer *http.Response, outcome mesh.Outcome) {
	defer answer.Body.Close()
	defer func() { c.report(port.Finished{Outcome: outcome, CallEnded: true}) }()
	copyAnswer(w, answer, c.patience)
}

// attempt picks a target and runs the call there once.
func (c *exchange) attempt(ctx context.Context) (*http.Response, mesh.Outcome, error) {
	outcome := mesh.Outcome{Route: c.call.Route, Caller: c.call.Caller, Class: c.call.Class}
	first := len(c.tried) == 0
	target, err := c.pick(ctx, port.Pick{Call: c.call, Tried: c.tried, First: first, Retried: !first})
	if err != nil {
		return nil, outcome, err
	}
	c.tried = append(c.tried, target.Node)
	outcome.Target = target
	began := time.Now()
	answer, load, err := c.run(ctx, &wire.Attempt{ID: newAttemptID(), Call: c.call, Target: target})
	outcome.Duration = time.Since(began)
	outcome.Load = load
	port.Describe(&outcome, statusOf(answer), err)
	return answer, outcome, err
}

func statusOf(answer *http.Response) int {
	if answer == nil {
		return 0
	}
	return answer.StatusCode
}

// run sends the attempt to its target: over the peers' connection, or straight
// to the upstream beside this node.
func (c *exchange) run(ctx context.Context, a *wire.Attempt) (*http.Response, *mesh.Load, error) {
	request := c.request.Clone(ctx)
	request.Body = c.body.forAttempt()
	request.RequestURI = ""
	request.Close = false // the caller's wish for its own connection
	removeHeaders(request.Header)
	if a.Target.Node == c.Identity.Node {
		answer, load, err := c.Owner.run(ctx, a, request)
		return answer, &load, err
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
	answer, err := c.Peers.Transport.RoundTrip(request)
	if err != nil {
		return nil, nil, c.settleFailure(ctx, a, err, connected.Load())
	}
	load := wire.ParseLoad(answer.Header.Get(wire.HeaderLoad))
	if answer.Header.Get(port.CodeHeader) != "" {
		defer answer.Body.Close()
		return nil, load, port.ReadRefusal(answer)
	}
	removeHeaders(answer.Header)
	return answer, load, nil
}

// settleFailure finds out whether an attempt without an answer began. Without
// proof it is answered "may have run".
func (c *exchange) settleFailure(ctx context.Context, a *wire.Attempt, cause error, connected bool) error {
	if !connected {
		return result.ConnectFailed.Errorf("node %s: %v", a.Target.Node, cause)
	}
	if c.askFenced(a) {
		return result.Fenced.Errorf("node %s: %v", a.Target.Node, cause)
	}
	if ended := endedBy(ctx); ended != nil {
		return ended
	}
	return result.ConnectionLost.Errorf("node %s: %v", a.Target.Node, cause)
}

// askFenced reports whether the owner node confirmed that the attempt never
// began and never will. The broken connection has left the client's pool, so
// that the question travels on a fresh one. After the deadline the owner node
// may have forgotten the attempt, so there is no proof any more.
func (c *exchange) askFenced(a *wire.Attempt) bool {
	left := time.Until(a.Call.Deadline)
	if left <= 0 {
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
	request.Header.Set(wire.HeaderDeadline, strconv.FormatInt(left.Milliseconds(), 10))
	request.Header.Set(wire.HeaderIncarnation, strconv.FormatUint(uint64(a.Target.Incarnation), 10))
	answer, err := c.Peers.Do(request)
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	var settled settleAnswer
	return answer.StatusCode == http.StatusOK &&
		json.NewDecoder(answer.Body).Decode(&settled) == nil && settled.NotRun
}
