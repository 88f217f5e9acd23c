package upstreamlocal

import (
	"context"
	"net/netip"
	"time"

	"github.com/rcrowley/go-metrics"

	"teaselring/decision/membership"
	"teaselring/kernel"
	"teaselring/port"
	"teaselring/result"
)

// tickInterval is the precision with which missing announcements are detected.
const tickInterval = 100 * time.Millisecond

// tracker is the duty that owns the state of the upstream beside the node.
type tracker struct {
	trackerIn
	upstream *membership.Upstream
	address  netip.AddrPort
	received metrics.Counter
	state    metrics.Gauge
}

func newTracker(in trackerIn) *tracker {
	return &tracker{
		trackerIn: in,
		upstream:  membership.NewUpstream(in.Settings.GoneAfter.Duration),
		received:  metrics.NewRegisteredCounter("announce.received", in.Metrics),
		state:     metrics.NewRegisteredGauge("announce.state", in.Metrics),
	}
}

func (t *tracker) duty() kernel.Duty {
	return kernel.Duty{
		Name: "announce",
		Owns: "the state of the upstream beside the node",
		In:   []string{"announce.requests", "announce.drain"},
		Out:  []string{"members.local"},
		Run:  t.run,
	}
}

func (t *tracker) run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			t.tick(ctx)
		case r := <-t.Requests.C():
			t.apply(ctx, r)
		case request := <-t.Drain.C():
			t.drain(ctx, request)
		}
	}
}

// tick applies queued announcements first, so that the upstream does not count as
// gone after a pause of this node.
func (t *tracker) tick(ctx context.Context) {
	for waiting := t.Requests.Len(); waiting > 0; waiting-- {
		t.apply(ctx, <-t.Requests.C())
	}
	if t.upstream.Tick(time.Now()) {
		t.publish(ctx)
	}
}

func (t *tracker) apply(ctx context.Context, r announcement) {
	t.received.Inc(1)
	changed := t.upstream.Announce(r.Endpoint, time.Now())
	if !changed && r.Address == t.address {
		return
	}
	t.address = r.Address
	t.publish(ctx)
}

func (t *tracker) drain(ctx context.Context, request kernel.Request[port.Drain, struct{}]) {
	if !t.upstream.Drain() {
		request.Fail(result.NoEndpoint.Errorf("no upstream has announced itself to this node"))
		return
	}
	t.Logger.Info().Str("by", request.Payload.By).Msg("upstream drained by an operator")
	t.publish(ctx)
	request.Respond(struct{}{})
}

func (t *tracker) publish(ctx context.Context) {
	local := port.Local{Endpoint: t.upstream.Endpoint(), Address: t.address}
	t.Cell.Store(&local)
	_ = t.Out.Send(ctx, local) // replaces the oldest when full
	t.state.Update(int64(local.Endpoint.State))
	t.Logger.Info().Str("service", string(local.Endpoint.Service)).Str("upstream_version", string(local.Endpoint.Version)).
		Int("state", int(local.Endpoint.State)).Str("process", local.Endpoint.Process).Msg("upstream changed")
}
