package callrelay

import (
	"bytes"
	"context"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"

	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/result"
	"teaselring/wire"
)

// entry accepts callers' requests and sends each to an owner node.
type entry struct {
	*relayIn
	owner     *owner
	pool      *pool
	successes lineLimit
	answered  metrics.Counter // calls
	// accountLines limits the log lines about refused requests of accounts.
	accountLines lineLimit
}

func newEntry(in *relayIn, o *owner) *entry {
	return &entry{
		relayIn: in, owner: o, pool: newPool(), answered: metrics.NewRegisteredCounter("calls.answered", in.Metrics),
		successes: lineLimit{perSecond: maxSuccessLinesPerSecond}, accountLines: lineLimit{perSecond: maxAccountLinesPerSecond},
	}
}

// serve handles one request.
func (e *entry) serve(ctx context.Context, r *port.Request) *port.Response {
	c, err := e.newCall(r)
	if err != nil {
		return e.refusal(c, err)
	}
	ctx, cancel := context.WithDeadline(ctx, c.call.Deadline)
	var response *port.Response
	err = e.Guard.Run("call", c.id, func() (err error) {
		response, err = c.serveCharged(ctx)
		return err
	})
	if errors.Is(err, kernel.ErrPanic) {
		c.releaseCaller(c.lastOutcome)
	}
	c.logEnd(response, err)
	if err != nil {
		cancel()
		return e.refusal(c, err)
	}
	if response.Remaining == nil {
		cancel()
		return response
	}
	response.Remaining = &stoppingBody{ReadCloser: response.Remaining, stop: func() bool { cancel(); return true }}
	return response
}

func (e *entry) newCall(r *port.Request) (*call, error) {
	id := r.Header.Get(e.Headers.RequestID)
	c := &call{entry: e, request: r, id: id, startedAt: time.Now()}
	if e.Grace.StoppingFor() > acceptLocalWhileStopping {
		return c, result.Draining.Errorf("the node is stopping")
	}
	snapshot := e.Snapshot.Load()
	if snapshot == nil {
		return c, result.NoConfiguration.Err()
	}
	if id == "" {
		return c, result.BadRequest.Errorf("header %s is missing", e.Headers.RequestID)
	}
	path := r.URL.Path
	route := snapshot.RouteOfHost(r.Host, path)
	if route == nil {
		return c, result.NoRoute.Errorf("no route matches %s%s in version %d", r.Host, path, snapshot.Version)
	}
	c.route, c.version = route, snapshot.Version
	account, err := e.identify(snapshot, route, r)
	if err != nil {
		return c, err
	}
	if route.Unusable {
		return c, result.RouteUnusable.Errorf("route %q was not understood in version %d", route.ID, snapshot.Version)
	}
	timeout := route.Timeout
	if remaining, err := strconv.ParseInt(r.Header.Get(e.Headers.DeadlineMS), 10, 64); err == nil {
		timeout = min(timeout, max(time.Duration(remaining)*time.Millisecond, 0))
	}
	target := route.Target
	if target <= 0 || target > timeout {
		target = timeout
	}
	c.call = mesh.Call{
		Method: r.Method, Path: path, Caller: mesh.CallerID(e.PlatformSettings.Service), Key: id, Class: route.Class,
		Service: route.ServiceFor(rand.Float64()), Route: route.ID, Deadline: r.Arrived.Add(timeout),
		SoftDeadline: r.Arrived.Add(target), StartBy: r.Arrived.Add(max(time.Duration(startByShare*float64(target)), min(minStartWindow, timeout/2))),
		Priority: route.Priority, HasPriority: route.HasPriority, BodyLength: r.Length, Regions: mesh.AllowedRegions{Route: route.Regions}, Fingerprint: fingerprint(r, e.PlatformSettings.Service),
	}
	setAccount(&c.call, account)
	if snapshot.RequiresKeys() && account == nil && c.call.HasShortTarget() {
		raiseForServers(&c.call)
	}
	if !c.call.Deadline.After(time.Now()) {
		return c, result.DeadlineBefore.Err()
	}
	e.boundStart(&c.call)
	return c, nil
}

// startWhileStoppingShare is the part of the grace after which a stopping node starts no
// call that it accepted. What has not started by then could only be cut off at the end of
// the grace, without a response; so it is refused as not run.
const startWhileStoppingShare = 0.7

// boundStart lets a call that a stopping node accepts start early enough to end within
// the grace.
func (e *entry) boundStart(c *mesh.Call) {
	grace := e.PlatformSettings.Grace
	if !e.Grace.Stopping() || grace <= 0 {
		return
	}
	left := time.Duration(startWhileStoppingShare*float64(grace)) - e.Grace.StoppingFor()
	if latest := time.Now().Add(left); latest.Before(c.StartBy) {
		c.StartBy = latest
	}
}

// acceptLocalWhileStopping is the time after the stop began in which calls from the
// node's own machine are still accepted. The rest of the grace is for calls in progress.
// Clients may still send calls 3 s after the stop signal, which a busy machine handles late.
const acceptLocalWhileStopping = 2800 * time.Millisecond

// startByShare is the part of a route's target latency within which a call must
// start. The rest is for its execution and transmission.
const startByShare = 0.6

// minStartWindow is the lower bound of the time within which a call must start, unless
// half of its timeout is less. Calls with short targets come from servers in the middle
// of a request, which fails if the call does.
const minStartWindow = 250 * time.Millisecond

// fingerprint identifies equal requests by method, host, URI, caller and held body.
// All nodes compute the same number.
func fingerprint(r *port.Request, caller mesh.ServiceID) uint64 {
	h := fnv.New64a()
	for _, part := range []string{r.Method, r.Host, r.URL.RequestURI(), string(caller)} {
		_, _ = io.WriteString(h, part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(r.Buffered)
	return h.Sum64()
}

func (e *entry) report(f port.OutcomeReport) { port.ReportOutcome(e.Outcomes, f, e.Logger) }

// pick gets a target from the router.
func (e *entry) pick(ctx context.Context, p port.Pick) (mesh.Target, error) {
	target, err := kernel.Do(ctx, e.Picks, p)
	if result.Of(err) == result.Stopped && ctx.Err() != nil {
		err = result.DeadlineBefore.Err()
	}
	return target, err
}

// runRemote sends the attempt to the owner node of the chosen server.
func (e *entry) runRemote(ctx context.Context, a *wire.Attempt, incoming *port.Request) (*port.Response, *mesh.Load, error) {
	request := outgoingRequest(incoming.Request)
	a.Write(request.Header, time.Now())
	request.Header.Set(wire.HeaderEntry, e.PlatformSettings.Inbound.String())
	request.Header.Set(port.SeenHeader, e.seen())
	x := &exchange{
		pool: e.pool, guard: e.Guard, address: a.Target.PeerAddress, request: request, incoming: incoming,
		idleTimeout: func(*http.Response) time.Duration { return peerIdleTimeout },
	}
	response, err := x.run(ctx)
	if err != nil {
		return nil, nil, err
	}
	e.hintFromPeer(response.Header, a.Target.PeerAddress)
	load := wire.ParseLoad(response.Header.Get(wire.HeaderLoad))
	if us, err := strconv.ParseInt(response.Header.Get(wire.HeaderServerTime), 10, 32); err == nil && us > 0 {
		response.ServerTime = time.Duration(us) * time.Microsecond
	}
	response.Header.Del(wire.HeaderLoad) // internal to nodes
	response.Header.Del(wire.HeaderServerTime)
	if response.Header.Get(port.CodeHeader) != "" {
		if response.Remaining != nil {
			_ = response.Remaining.Close()
		}
		return nil, load, port.ReadRefusal(&http.Response{
			StatusCode: response.Status, Header: response.Header, Body: io.NopCloser(bytes.NewReader(response.Buffered)),
		})
	}
	return response, load, nil
}

// peerIdleTimeout is the time for which an idle connection to another node is kept.
// It is shorter than the idle timeout of the inbound edge.
const peerIdleTimeout = 20 * time.Second
