package callrelay

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"teaselring/decision/retry"
	"teaselring/decision/routing"
	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/result"
	"teaselring/wire"
)

// maxSpillWait is the longest wait for a slot outside the caller's zone, so that a
// spilled call takes a free slot and does not queue behind the calls of that zone.
const maxSpillWait = 40 * time.Millisecond

// call is one request at its entry node, over all its attempts.
type call struct {
	*entry
	request   *port.Request
	route     *mesh.Route
	version   mesh.Version
	call      mesh.Call
	id        string
	startedAt time.Time

	triedNodes  []mesh.NodeID
	sends       int           // attempts that may have reached a server
	refusals    int           // attempts that did not
	returnTime  time.Duration // told with the decision against a retry; 0: none
	finalError  retry.FinalError
	lastOutcome mesh.Outcome
}

// serve runs attempts until one gets a response or no other may follow. The router bounds
// the attempts that did not reach a server.
func (c *call) serve(ctx context.Context) (*port.Response, error) {
	retried := false
	for {
		response, outcome, err := c.attempt(ctx, retried)
		if err == nil {
			c.report(port.OutcomeReport{Outcome: outcome, CallEnded: true})
			return response, nil
		}
		err = c.finalError.Of(err)
		if outcome.Target.Node == "" { // no attempt was made
			c.releaseCaller(outcome)
			return nil, err
		}
		c.report(port.OutcomeReport{Outcome: outcome})
		switch {
		case c.request.Remaining != nil, ctx.Err() != nil:
			c.releaseCaller(outcome)
			return nil, err
		case !reachedServer(result.ByNumber(outcome.Code)):
			c.refusals++
			retried = false
			continue
		}
		if !c.mayRetry(ctx, outcome) {
			c.releaseCaller(outcome)
			return nil, err
		}
		retried = true
	}
}

// reachedServer reports whether an attempt with the code may have reached a server.
// If not, another node is tried without charging the retry budget.
func reachedServer(code *result.Code) bool {
	return code.Ran != result.NotRun || code == result.Shed
}

// releaseCaller releases the caller's in-flight place after a call without a
// response.
func (c *call) releaseCaller(outcome mesh.Outcome) {
	if len(c.triedNodes) > 0 {
		c.report(port.OutcomeReport{Outcome: outcome, CallEnded: true, NoAttempt: true})
	}
}

// mayRetry reports whether the router allows the call to be sent to another server,
// and waits for the backoff that it returns.
func (c *call) mayRetry(ctx context.Context, outcome mesh.Outcome) bool {
	verdict, err := kernel.Do(ctx, c.Retries, port.RetryRequest{
		Call: c.call, Outcome: outcome, Attempts: c.sends, MaxAttempts: c.route.MaxAttempts,
	})
	c.Logger.Info().Str("request", c.id).Str("route", string(c.route.ID)).Int("sends", c.sends).Int("code", outcome.Code).
		Bool("retry", err == nil && verdict.Retry).Str("why", verdict.Reason).Msg("retry decided")
	if err != nil || !verdict.Retry {
		c.returnTime = verdict.RetryAfter
		return false
	}
	return kernel.Sleep(ctx, verdict.Wait) == nil
}

// attempt picks a target and runs the call there once.
func (c *call) attempt(ctx context.Context, retried bool) (*port.Response, mesh.Outcome, error) {
	outcome := mesh.Outcome{Route: c.call.Route, Caller: c.call.Caller, Class: c.call.Class, LatencyTarget: c.route.Target}
	target, err := c.pick(ctx, port.Pick{
		Call: c.call, Tried: c.triedNodes, FirstAttempt: len(c.triedNodes) == 0, Retried: retried, Refusals: c.refusals,
	})
	if err != nil {
		return nil, outcome, err
	}
	c.triedNodes = append(c.triedNodes, target.Node)
	outcome.Target = target
	startedAt := time.Now()
	a := &wire.Attempt{ID: mesh.AttemptID(c.id + "/" + strconv.Itoa(len(c.triedNodes))), Call: c.call, Target: target}
	if start := startedAt.Add(maxSpillWait); target.Spillover && start.Before(a.Call.StartBy) {
		a.Call.StartBy = start
	}
	response, load, err := c.run(ctx, a)
	outcome.Duration, outcome.Load = time.Since(startedAt), load
	if response != nil {
		outcome.ServerTime = min(response.ServerTime, outcome.Duration)
	}
	port.FillOutcome(&outcome, statusOf(response), err)
	if reachedServer(result.Of(err)) {
		c.sends++
	}
	if err != nil {
		c.Logger.Info().Str("request", c.id).Str("attempt", string(a.ID)).Str("node", string(target.Node)).
			Str("version", string(target.Version)).Int("code", outcome.Code).Dur("took", outcome.Duration).Err(err).Msg("attempt failed")
	}
	c.lastOutcome = outcome
	return response, outcome, err
}

func (c *call) run(ctx context.Context, a *wire.Attempt) (*port.Response, *mesh.Load, error) {
	if a.Target.Node != c.Identity.Node {
		return c.runRemote(ctx, a, c.request)
	}
	response, err := c.owner.run(ctx, a, c.request)
	return response, c.Load.Load(), err
}

func statusOf(response *port.Response) int {
	if response == nil {
		return 0
	}
	return response.Status
}

// refusal returns the response to a request that got none from a server.
func (e *entry) refusal(c *call, err error) *port.Response {
	x := result.AsError(err)
	response := &port.Response{Status: refusalStatus(x.Code), Header: http.Header{}}
	response.Buffered = port.WriteRefusal(response.Header, x)
	response.Length = int64(len(response.Buffered))
	if c.id != "" {
		response.Header.Set(e.Headers.RequestID, c.id)
	}
	if after := result.AsError(err).Details[port.RetryAfterDetail]; after != "" { // the account is at its limit
		response.Header.Set("Retry-After", after)
	} else if after := c.retryAfter(err, response.Status); after > 0 {
		response.Header.Set("Retry-After", fmt.Sprintf("%.3f", after.Seconds()))
	}
	return response
}

// refusalStatus returns the HTTP status of a refusal. For callers, 503 guarantees
// that the request has not run and never will, so it needs proof.
func refusalStatus(code *result.Code) int {
	switch {
	case code == result.NoRoute, code == result.BadRequest, code == result.BodyTooLarge, code == result.BodyOverLimit, code == result.Unauthenticated,
		code == result.AccountLimit:
		return code.Status
	case code.Ran == result.NotRun:
		return http.StatusServiceUnavailable
	case code == result.DeadlineDuring:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// retryAfter returns the time after which a refused call may be repeated, as the error or
// the decision against a retry says; 0: the refusal does not say that it has not run.
func (c *call) retryAfter(err error, status int) time.Duration {
	var timed interface{ RetryIn() time.Duration }
	if errors.As(err, &timed) && timed.RetryIn() > 0 {
		return timed.RetryIn()
	}
	if status != http.StatusServiceUnavailable {
		return 0
	}
	if c.returnTime > 0 {
		return c.returnTime
	}
	return c.unknownRetryAfter()
}

const (
	// retryAfterMinShare and retryAfterMaxShare bound the random Retry-After of a
	// refusal that has none, as shares of the target latency.
	retryAfterMinShare = 0.1
	retryAfterMaxShare = 0.5
	// defaultTargetLatency is the target latency of a request without a route.
	defaultTargetLatency = 500 * time.Millisecond
)

func (c *call) unknownRetryAfter() time.Duration {
	target := defaultTargetLatency
	if c.route != nil && c.route.Target > 0 {
		target = c.route.Target
	}
	share := retryAfterMinShare + (retryAfterMaxShare-retryAfterMinShare)*rand.Float64()
	return time.Duration(share * float64(target))
}

// maxSuccessLinesPerSecond bounds the log lines about calls that succeeded at the
// first attempt. Suppressed lines are counted in the next one.
const maxSuccessLinesPerSecond = 100

// lineLimit limits the rate of log lines of one kind.
type lineLimit struct {
	perSecond  int64
	second     atomic.Int64 // Unix time
	written    atomic.Int64 // lines in this second
	suppressed atomic.Int64 // since the last line
}

// allow reports whether a line may be written now, and how many were suppressed
// since the last one.
func (l *lineLimit) allow(now time.Time) (suppressed int64, ok bool) {
	if second := now.Unix(); l.second.Swap(second) != second {
		l.written.Store(0)
	}
	if l.written.Add(1) > l.perSecond {
		l.suppressed.Add(1)
		return 0, false
	}
	return l.suppressed.Swap(0), true
}

// countResult counts a call that ended, refusals by code.
func (c *call) countResult(err error) {
	if err == nil {
		c.answered.Inc(1)
		return
	}
	metrics.GetOrRegisterCounter("calls.refused."+strconv.Itoa(result.Of(err).Number), c.Metrics).Inc(1)
}

// logResult logs the result of a call. The rate of lines is limited for calls that
// succeeded at the first attempt, but not for failures and retries.
func (c *call) logResult(response *port.Response, err error) {
	c.countResult(err)
	var suppressed int64
	if err == nil && response.Status < http.StatusInternalServerError && len(c.triedNodes) == 1 {
		var ok bool
		if suppressed, ok = c.successes.allow(time.Now()); !ok {
			return
		}
	}
	line := c.Logger.Info().Str("request", c.id).Str("route", string(c.route.ID)).Uint64("version", uint64(c.version)).
		Str("node", string(c.lastOutcome.Target.Node)).Int("sends", c.sends).Int("picks", len(c.triedNodes)).
		Dur("took", time.Since(c.request.Arrived))
	if err != nil {
		x := result.AsError(err)
		var refusal *routing.Refusal
		if errors.As(err, &refusal) {
			line.Str("passed_over", refusal.Passed.String()).Dur("retry_after", refusal.RetryAfter)
		}
		line.Int("code", x.Code.Number).Str("ran", x.Code.Ran.String()).Int("status", refusalStatus(x.Code)).Err(err).Msg("call refused")
		return
	}
	if suppressed > 0 {
		line.Int64("left_out", suppressed)
	}
	line.Int("status", response.Status).Msg("call answered")
}
