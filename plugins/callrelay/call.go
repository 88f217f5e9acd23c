package callrelay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"teaselring/decision/retry"
	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/result"
	"teaselring/wire"
)

// maxReroutes bounds the owner nodes that one call asks after refusals that did
// not reach a server.
const maxReroutes = 6

// spillWait is the longest wait for a slot outside the zone: calls that leave it
// are to use slots that are free there, not to join a queue of that zone's calls.
const spillWait = 40 * time.Millisecond

// call is one request at its entry node, over all its attempts.
type call struct {
	*entry
	request *port.Request
	route   *mesh.Route
	version mesh.Version
	call    mesh.Call
	id      string
	began   time.Time

	tried []mesh.NodeID
	sends int // attempts that may have reached a server
	truth retry.Truth
	last  mesh.Outcome
}

// serve runs attempts until one is answered or no other may follow.
func (c *call) serve(ctx context.Context) (*port.Answer, error) {
	retried := false
	for reroutes := 0; ; {
		answer, outcome, err := c.attempt(ctx, retried)
		if err == nil {
			c.report(port.Finished{Outcome: outcome, CallEnded: true})
			return answer, nil
		}
		err = c.truth.Of(err)
		if outcome.Target.Node == "" { // no attempt was made
			c.end(outcome)
			return nil, err
		}
		c.report(port.Finished{Outcome: outcome})
		switch {
		case c.request.Rest != nil, ctx.Err() != nil:
			c.end(outcome)
			return nil, err
		case !reachedServer(result.ByNumber(outcome.Code)):
			if reroutes++; reroutes < maxReroutes {
				retried = false
				continue
			}
			c.end(outcome)
			return nil, err
		}
		if !c.mayRetry(ctx, outcome) {
			c.end(outcome)
			return nil, err
		}
		retried = true
	}
}

// reachedServer reports whether an attempt with the code may have cost a server
// something. Refusals of the owner node before that are free to try elsewhere.
func reachedServer(code *result.Code) bool {
	return code.Ran != result.NotRun || code == result.Shed
}

// end releases the caller's place after a call that was not answered.
func (c *call) end(outcome mesh.Outcome) {
	if len(c.tried) > 0 {
		c.report(port.Finished{Outcome: outcome, CallEnded: true, NoAttempt: true})
	}
}

// mayRetry asks the router whether another server may be sent the call, and
// waits as long as it says.
func (c *call) mayRetry(ctx context.Context, outcome mesh.Outcome) bool {
	verdict, err := kernel.Do(ctx, c.Retries, port.MayRetry{
		Call: c.call, Outcome: outcome, Attempts: c.sends, MaxAttempts: c.route.MaxAttempts,
	})
	c.Logger.Info().Str("request", c.id).Str("route", string(c.route.ID)).Int("sends", c.sends).Int("code", outcome.Code).
		Bool("retry", err == nil && verdict.Retry).Str("why", verdict.Why).Msg("retry decided")
	if err != nil || !verdict.Retry {
		return false
	}
	return kernel.Sleep(ctx, verdict.Wait) == nil
}

// attempt picks a target and runs the call there once.
func (c *call) attempt(ctx context.Context, retried bool) (*port.Answer, mesh.Outcome, error) {
	outcome := mesh.Outcome{Route: c.call.Route, Caller: c.call.Caller, Class: c.call.Class, Aim: c.route.Target}
	target, err := c.pick(ctx, port.Pick{
		Call: c.call, Tried: c.tried, First: len(c.tried) == 0, Retried: retried,
	})
	if err != nil {
		return nil, outcome, err
	}
	c.tried = append(c.tried, target.Node)
	outcome.Target = target
	began := time.Now()
	a := &wire.Attempt{ID: mesh.AttemptID(c.id + "/" + strconv.Itoa(len(c.tried))), Call: c.call, Target: target}
	if start := began.Add(spillWait); target.Spill && start.Before(a.Call.StartBy) {
		a.Call.StartBy = start
	}
	answer, load, err := c.run(ctx, a)
	outcome.Duration, outcome.Load = time.Since(began), load
	port.Describe(&outcome, statusOf(answer), err)
	if reachedServer(result.Of(err)) {
		c.sends++
	}
	if err != nil {
		c.Logger.Info().Str("request", c.id).Str("attempt", string(a.ID)).Str("node", string(target.Node)).
			Str("version", string(target.Version)).Int("code", outcome.Code).Dur("took", outcome.Duration).Err(err).Msg("attempt failed")
	}
	c.last = outcome
	return answer, outcome, err
}

func (c *call) run(ctx context.Context, a *wire.Attempt) (*port.Answer, *mesh.Load, error) {
	if a.Target.Node != c.Identity.Node {
		return c.runRemote(ctx, a, c.request)
	}
	answer, err := c.owner.run(ctx, a, c.request)
	return answer, c.Load.Load(), err
}

func statusOf(answer *port.Answer) int {
	if answer == nil {
		return 0
	}
	return answer.Status
}

// refusal is the answer to a request that has none of a server.
func (e *entry) refusal(c *call, err error) *port.Answer {
	x := result.From(err)
	a := &port.Answer{Status: refusalStatus(x.Code), Header: http.Header{}}
	a.Held = port.WriteRefusal(a.Header, x)
	a.Length = int64(len(a.Held))
	if c.id != "" {
		a.Header.Set(e.Headers.RequestID, c.id)
	}
	if a.Status == http.StatusServiceUnavailable {
		a.Header.Set("Retry-After", fmt.Sprintf("%.3f", e.retryAfter(c).Seconds()))
	}
	return a
}

// refusalStatus returns the status of a refusal. Callers take 503 for a promise
// that the request has not run and never will, so it needs proof.
func refusalStatus(code *result.Code) int {
	switch {
	case code == result.NoRoute, code == result.BadRequest, code == result.BodyTooLarge:
		return code.Status
	case code.Ran == result.NotRun:
		return http.StatusServiceUnavailable
	case code == result.DeadlineDuring:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

const (
	// retryAfterLeast and retryAfterMost are the parts of the target latency
	// between which the return of a refused request is spread.
	retryAfterLeast = 0.1
	retryAfterMost  = 0.5
	// retryAfterUnknown stands for the target latency of a request without route.
	retryAfterUnknown = 500 * time.Millisecond
)

func (e *entry) retryAfter(c *call) time.Duration {
	target := retryAfterUnknown
	if c.route != nil && c.route.Target > 0 {
		target = c.route.Target
	}
	share := retryAfterLeast + (retryAfterMost-retryAfterLeast)*rand.Float64()
	return time.Duration(share * float64(target))
}

// successLines is the number of lines a second about calls that were answered at
// the first attempt. Further ones are counted in the next line.
const successLines = 100

// successLog bounds the lines of plain successes.
type successLog struct {
	second  atomic.Int64 // Unix time
	written atomic.Int64 // lines in that second
	leftOut atomic.Int64 // since the last line
}

// allow reports whether a line may be written now, and how many were left out
// before it.
func (s *successLog) allow(now time.Time) (leftOut int64, ok bool) {
	if second := now.Unix(); s.second.Swap(second) != second {
		s.written.Store(0)
	}
	if s.written.Add(1) > successLines {
		s.leftOut.Add(1)
		return 0, false
	}
	return s.leftOut.Swap(0), true
}

// count counts the end of a call, refusals by their code.
func (c *call) count(err error) {
	if err == nil {
		c.answered.Inc(1)
		return
	}
	metrics.GetOrRegisterCounter("calls.refused."+strconv.Itoa(result.Of(err).Number), c.Metrics).Inc(1)
}

// log writes the line that ends a call. Plain successes are bounded, what failed
// or took more than one attempt is not.
func (c *call) log(answer *port.Answer, err error) {
	c.count(err)
	var leftOut int64
	if err == nil && answer.Status < http.StatusInternalServerError && len(c.tried) == 1 {
		var ok bool
		if leftOut, ok = c.successes.allow(time.Now()); !ok {
			return
		}
	}
	line := c.Logger.Info().Str("request", c.id).Str("route", string(c.route.ID)).Uint64("version", uint64(c.version)).
		Str("node", string(c.last.Target.Node)).Int("sends", c.sends).Int("picks", len(c.tried)).
		Dur("took", time.Since(c.request.Arrived))
	if err != nil {
		x := result.From(err)
		line.Int("code", x.Code.Number).Str("ran", x.Code.Ran.String()).Int("status", refusalStatus(x.Code)).Err(err).Msg("call refused")
		return
	}
	if leftOut > 0 {
		line.Int64("left_out", leftOut)
	}
	line.Int("status", answer.Status).Msg("call answered")
}
