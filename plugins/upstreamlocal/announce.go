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

// tickEvery is how exactly the end of announcements is noticed.
const tickEvery = 100 * time.Millisecond

// announce is the duty that owns the state of the upstream beside the node.
type announce struct {
	parts
	upstream *membership.Upstream
	address  netip.AddrPort
	received metrics.Counter
	state    metrics.Gauge
}

func newAnnounce(p parts) *announce {
	return &announce{
		parts:    p,
		upstream: membership.NewUpstream(p.Settings.GoneAfter.Duration),
		received: metrics.NewRegisteredCounter("announce.received", p.Metrics),
		state:    metrics.NewRegisteredGauge("announce.state", p.Metrics),
	}
}

func (a *announce) duty() kernel.Duty {
	return kernel.Duty{
		Name: "announce",
		Owns: "the state of the upstream beside the node",
		In:   []string{"announce.requests", "announce.drain"},
		Out:  []string{"members.local"},
		Run:  a.run,
	}
}

func (a *announce) run(ctx context.Context) error {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			a.tick(ctx)
		case r := <-a.Requests.C():
			a.take(ctx, r)
		case ask := <-a.Drain.C():
			a.drain(ctx, ask)
		}
	}
}

// tick takes waiting announcements first, so that a pause of this node does
// not make its upstream look gone.
func (a *announce) tick(ctx context.Context) {
	for waiting := a.Requests.Len(); waiting > 0; waiting-- {
		a.take(ctx, <-a.Requests.C())
	}
	if a.upstream.Tick(time.Now()) {
		a.publish(ctx)
	}
}

func (a *announce) take(ctx context.Context, r announcement) {
	a.received.Inc(1)
	changed := a.upstream.Announce(r.Endpoint, time.Now())
	if !changed && r.Address == a.address {
		return
	}
	a.address = r.Address
	a.publish(ctx)
}

func (a *announce) drain(ctx context.Context, ask kernel.Request[port.Drain, struct{}]) {
	if !a.upstream.Drain() {
		ask.Fail(result.NoEndpoint.Errorf("no upstream has announced itself to this node"))
		return
	}
	a.Logger.Info().Str("by", ask.Payload.By).Msg("upstream drained by an operator")
	a.publish(ctx)
	ask.Respond(struct{}{})
}

func (a *announce) publish(ctx context.Context) {
	local := port.Local{Endpoint: a.upstream.Endpoint(), Address: a.address}
	a.Cell.Store(&local)
	_ = a.Out.Send(ctx, local) // replaces the oldest when full
	a.state.Update(int64(local.Endpoint.State))
	a.Logger.Info().Str("service", string(local.Endpoint.Service)).Str("upstream_version", string(local.Endpoint.Version)).
		Int("state", int(local.Endpoint.State)).Str("process", local.Endpoint.Process).Msg("upstream changed")
}
