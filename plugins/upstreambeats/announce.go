package upstreambeats

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/phuslu/log"
	"go.uber.org/fx"

	"teaselring/decision/presence"
	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
)

type announceIn struct {
	fx.In
	Identity mesh.Identity
	Site     *port.Site
	Headers  port.CallHeaders
	Requests *port.AnnounceRing
	Wake     wake
	Orders   *orderRing
	Self     *port.SelfRing
	Local    *port.LocalCell
	Rows     *port.RowsCell
	Snapshot *port.SnapshotCell
	Grace    *kernel.Grace
	Logger   *log.Logger
}

// announce owns the state of the server beside the node.
type announce struct {
	announceIn
	state  presence.State
	member mesh.Member
	client *http.Client
	checks int
}

func newAnnounce(in announceIn) kernel.Duty {
	a := &announce{
		announceIn: in,
		member: mesh.Member{
			Node: in.Identity.Node, Incarnation: mesh.Incarnation(time.Now().UnixNano()), Zone: in.Identity.Zone,
			Region: in.Identity.Region, PeerAddress: in.Site.Inbound.String(), State: mesh.NodeAlive,
		},
		client: &http.Client{Timeout: checkTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	return kernel.Duty{
		Name: "announce", Owns: "the state of the server beside the node",
		In: []string{announceRing, wakeRing}, Out: []string{selfRing, rowRing}, Run: a.run,
	}
}

func (a *announce) run(ctx context.Context) error {
	a.publish(ctx)
	check := time.NewTimer(checkEvery)
	defer check.Stop()
	stopping := a.Grace.StopBegan()
	for {
		select {
		case <-ctx.Done():
			return nil
		case ask := <-a.Requests.C():
			a.take(ctx, &ask.Payload)
			ask.Respond(struct{}{})
		case <-a.Wake.ring.C():
			a.check(ctx)
		case <-check.C:
			if a.check(ctx) {
				check.Reset(checkEvery)
			}
		case <-stopping:
			stopping = nil
			a.stop(ctx)
		}
	}
}

// take applies an announcement. The state is in force before the answer, so
// that the acknowledgement of a leaving server binds at once.
func (a *announce) take(ctx context.Context, n *port.Announcement) {
	next, counts := presence.Next(a.state, presence.Announcement{
		Instance: n.Instance, Born: n.Born, Sequence: n.Sequence, Leaving: n.Draining || n.Left, LeaveNotice: n.Left,
	})
	if !counts {
		a.Logger.Info().Str("instance", n.Instance).Int64("born", n.Born).Int64("sequence", n.Sequence).
			Str("known", a.state.Instance).Int64("known_born", a.state.Born).Msg("older announcement ignored")
		return
	}
	before := a.member.Endpoint
	a.state = next
	e := mesh.Endpoint{
		Service: n.Service, Version: n.Version, Slots: n.Slots, State: mesh.EndpointReady,
		Process: fmt.Sprintf("%s/%d", n.Instance, next.Born), Instance: n.Instance,
	}
	if n.Left {
		e.Version, e.Slots = before.Version, before.Slots
	}
	if next.Leaving {
		e.State = mesh.EndpointDraining
	}
	if e == before {
		return
	}
	a.member.Endpoint = e
	a.member.Sequence++
	a.Logger.Info().Str("instance", n.Instance).Str("version", string(e.Version)).Int("slots", e.Slots).
		Int64("sequence", n.Sequence).Bool("leaving", next.Leaving).Msg("server state changed")
	a.publish(ctx)
	a.write(ctx, rowOrder{Member: a.member})
}

// publish tells the other duties of this node.
func (a *announce) publish(ctx context.Context) {
	if a.member.Endpoint.State != mesh.EndpointNone {
		a.Local.Store(&port.Local{Endpoint: a.member.Endpoint, Address: a.Site.Upstream})
	}
	_ = a.Self.Send(ctx, a.member) // replaces the oldest, never fails
}

func (a *announce) write(ctx context.Context, order rowOrder) {
	_ = a.Orders.Send(ctx, order) // replaces the oldest, never fails
}

// check asks a server that is not known yet for its health, once the node's row
// of an earlier life says what it was. It reports whether to try again. A server
// that leaves does not say that it is healthy.
func (a *announce) check(ctx context.Context) bool {
	if a.state.Instance != "" || a.checks >= checkMost {
		return false
	}
	known, ok := a.ownRow()
	snapshot := a.Snapshot.Load()
	if !ok || snapshot == nil {
		return !a.Rows.Load().Listed(port.NodeTable) || snapshot == nil
	}
	path := snapshot.Services[a.Site.Service].HealthPath
	if known.Endpoint.State != mesh.EndpointReady || known.Endpoint.Service != a.Site.Service || path == "" {
		return false
	}
	a.checks++
	answer, err := a.client.Get("http://" + a.Site.Upstream.String() + path)
	if err != nil {
		return true
	}
	_ = answer.Body.Close()
	healthy := answer.StatusCode == http.StatusOK && answer.Header.Get(a.Headers.Instance) == known.Endpoint.Instance
	a.Logger.Info().Str("instance", known.Endpoint.Instance).Bool("healthy", healthy).Int("status", answer.StatusCode).
		Msg("server checked after the node's start")
	if !healthy {
		return true
	}
	a.state = presence.State{Instance: known.Endpoint.Instance}
	a.member.Endpoint = known.Endpoint
	a.publish(ctx)
	a.write(ctx, rowOrder{Member: a.member})
	return false
}

func (a *announce) ownRow() (m mesh.Member, ok bool) {
	row, ok := a.Rows.Load().Get(port.NodeTable, port.NodeRowPrefix+string(a.Identity.Node))
	if !ok {
		return m, false
	}
	return m, cbor.Unmarshal(row.Value, &m) == nil
}

// stop removes the row of a node whose server leaves: neither comes back.
func (a *announce) stop(ctx context.Context) {
	if a.state.Leaving || a.state.Instance == "" {
		a.write(ctx, rowOrder{Member: a.member, Gone: true})
	}
}
