package callrelay

import (
	"bytes"
	"context"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/result"
	"teaselring/wire"
)

// entry accepts callers' requests and carries each to an owner node.
type entry struct {
	*relayIn
	owner     *owner
	pool      *pool
	successes successLog
	answered  metrics.Counter // calls
}

func newEntry(in *relayIn, o *owner) *entry {
	return &entry{relayIn: in, owner: o, pool: newPool(), answered: metrics.NewRegisteredCounter("calls.answered", in.Metrics)}
}

// serve answers one request.
func (e *entry) serve(ctx context.Context, r *port.Request) *port.Answer {
	c, err := e.newCall(r)
	if err != nil {
		return e.refusal(c, err)
	}
	ctx, cancel := context.WithDeadline(ctx, c.call.Deadline)
	answer, err := c.serve(ctx)
	c.log(answer, err)
	if err != nil {
		cancel()
		return e.refusal(c, err)
	}
	if answer.Rest == nil {
		cancel()
		return answer
	}
	answer.Rest = &closing{ReadCloser: answer.Rest, stop: func() bool { cancel(); return true }}
	return answer
}

func (e *entry) newCall(r *port.Request) (*call, error) {
	id := r.Header.Get(e.Headers.RequestID)
	c := &call{entry: e, request: r, id: id, began: time.Now()}
	if e.Grace.StoppingFor() > takeWhileStopping {
		return c, result.Draining.Errorf("the node is stopping")
	}
	snapshot := e.Snapshot.Load()
	if snapshot == nil {
		return c, result.NoConfiguration.Err()
	}
	if id == "" {
		return c, result.BadRequest.Errorf("header %s is missing", e.Headers.RequestID)
	}
	host, path := r.Host, r.URL.Path
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	route := snapshot.RouteOfHost(host, path)
	if route == nil {
		return c, result.NoRoute.Errorf("no route matches %s%s in version %d", host, path, snapshot.Version)
	}
	c.route, c.version = route, snapshot.Version
	timeout := route.Timeout
	if left, err := strconv.ParseInt(r.Header.Get(e.Headers.DeadlineMS), 10, 64); err == nil {
		timeout = min(timeout, max(time.Duration(left)*time.Millisecond, 0))
	}
	target := route.Target
	if target <= 0 || target > timeout {
		target = timeout
	}
	c.call = mesh.Call{
		Method: r.Method, Path: path, Caller: mesh.CallerID(e.Site.Service), Key: id, Class: route.Class,
		Service: route.ServiceFor(rand.Float64()), Route: route.ID, Deadline: r.Arrived.Add(timeout),
		Aim: r.Arrived.Add(target), StartBy: r.Arrived.Add(max(time.Duration(startShare*float64(target)), min(leastWait, timeout/2))),
		Priority: route.Priority, Ranked: route.Ranked, Body: r.Length, Fingerprint: fingerprint(r, e.Site.Service),
	}
	if !c.call.Deadline.After(time.Now()) {
		return c, result.DeadlineBefore.Err()
	}
	return c, nil
}

// takeWhileStopping is the time after the signal to stop in which calls of the
// machine are still taken. The rest of the grace is for those in progress.
const takeWhileStopping = 3 * time.Second

// startShare is the part of a route's target latency in which a call must have
// started. The rest is for its work and its ways.
const startShare = 0.6

// leastWait is the time in which a call with a shorter target may start all the
// same, while its deadline allows: such calls are made by servers, whose own
// request fails with them.
const leastWait = 250 * time.Millisecond

// fingerprint identifies equal requests by method, target, caller and held body.
// All nodes compute the same number.
func fingerprint(r *port.Request, caller mesh.ServiceID) uint64 {
	h := fnv.New64a()
	for _, part := range []string{r.Method, r.Host, r.URL.RequestURI(), string(caller)} {
		_, _ = io.WriteString(h, part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(r.Held)
	return h.Sum64()
}

func (e *entry) report(f port.Finished) { port.Report(e.Outcomes, f, e.Logger) }

// pick asks the router for a target.
func (e *entry) pick(ctx context.Context, p port.Pick) (mesh.Target, error) {
	target, err := kernel.Do(ctx, e.Picks, p)
	if result.Of(err) == result.Stopped && ctx.Err() != nil {
		err = result.DeadlineBefore.Err()
	}
	return target, err
}

// runRemote sends the attempt to the node beside the chosen server.
func (e *entry) runRemote(ctx context.Context, a *wire.Attempt, body *port.Request) (*port.Answer, *mesh.Load, error) {
	request := outgoing(body.Request)
	a.Write(request.Header, time.Now())
	request.Header.Set(wire.HeaderEntry, e.Site.Inbound.String())
	request.Header.Set(port.SeenHeader, e.seen())
	x := &exchange{
		pool: e.pool, address: a.Target.PeerAddress, request: request, body: body,
		kept: func(*http.Response) time.Duration { return peerIdle },
	}
	answer, err := x.run(ctx)
	if err != nil {
		return nil, nil, err
	}
	e.hintFrom(answer.Header, a.Target.PeerAddress)
	load := wire.ParseLoad(answer.Header.Get(wire.HeaderLoad))
	answer.Header.Del(wire.HeaderLoad) // not for callers
	if answer.Header.Get(port.CodeHeader) != "" {
		return nil, load, port.ReadRefusal(&http.Response{
			StatusCode: answer.Status, Header: answer.Header, Body: io.NopCloser(bytes.NewReader(answer.Held)),
		})
	}
	return answer, load, nil
}

// peerIdle is the time for which a connection to another node is kept; shorter
// than the idle timeout of the inbound edge.
const peerIdle = 20 * time.Second
