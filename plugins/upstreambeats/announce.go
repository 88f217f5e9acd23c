package upstreambeats

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/phuslu/log"
	"go.uber.org/fx"

	"teaselring/decision/presence"
	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/result"
)

type trackerIn struct {
	fx.In
	Identity         mesh.Identity
	PlatformSettings *port.PlatformSettings
	Headers          port.CallHeaders
	Requests         *port.AnnounceRing
	RowChanges       rowChanges
	RowUpdates       *rowUpdateRing
	Written          *writtenRing
	Health           *healthReportRing
	Self             *port.SelfRing
	Local            *port.LocalCell
	Rows             *port.RowsCell
	Snapshot         *port.SnapshotCell
	Grace            *kernel.Grace
	Logger           *log.Logger
}

// announceRequest is an announcement whose sender waits for the acknowledgement.
type announceRequest = kernel.Request[port.Announcement, struct{}]

// tracker is the duty that owns the state of the server beside the node.
type tracker struct {
	trackerIn
	state  presence.State
	member mesh.Member
	// identified is set once the server has announced itself to this process or passed
	// its health check. Until then the state is that of the node's row.
	identified bool
	// held is the latest announcement that arrived before the node's row was read.
	held *port.Announcement
	// unacknowledged holds the announcements of a leaving server until the row says so.
	unacknowledged []announceRequest
	written        mesh.Endpoint // in the row that was written last
	compared       storedRow     // with the node's state, in an era that began since the start
	client         *http.Client
	heard          hearing
	healthChecks   int
}

// storedRow identifies what the store has of the node's row after a change of its era.
type storedRow struct {
	eraChanges int
	revision   uint64 // 0: it has none
}

func newTracker(in trackerIn) kernel.Duty {
	t := &tracker{
		trackerIn: in,
		member: mesh.Member{
			Node: in.Identity.Node, Incarnation: mesh.Incarnation(time.Now().UnixNano()), Zone: in.Identity.Zone,
			Region: in.Identity.Region, PeerAddress: in.PlatformSettings.Inbound.String(), State: mesh.NodeAlive,
		},
		client: newHealthClient(),
	}
	return kernel.Duty{
		Name: "announce", Owns: "the state of the server beside the node",
		In: []string{announceRing, rowChangesRing, writtenRowRing, healthRing}, Out: []string{selfRing, rowRing}, Run: t.run,
	}
}

func (t *tracker) run(ctx context.Context) error {
	t.publish(ctx)
	healthCheck := time.NewTimer(healthCheckInterval)
	defer healthCheck.Stop()
	stopping := t.Grace.StopBegan()
	for {
		select {
		case <-ctx.Done():
			return nil
		case request := <-t.Requests.C():
			t.handle(ctx, request)
		case t.written = <-t.Written.C():
			t.acknowledge()
		case report := <-t.Health.C():
			t.applyHealth(&report)
		case <-t.RowChanges.ring.C():
			t.restore(ctx)
			t.healthCheck(ctx)
		case <-healthCheck.C:
			if t.healthCheck(ctx) {
				healthCheck.Reset(healthCheckInterval)
			}
		case <-stopping:
			stopping = nil
			t.removeRowAtStop(ctx)
		}
	}
}

// handle applies an announcement and acknowledges it, unless it is ignored because another
// server is known. The state is in force before the acknowledgement, so that a leaving
// server gets no new calls after it; that a server leaves is also in the node's row, so that
// a later process of the node knows it.
func (t *tracker) handle(ctx context.Context, request announceRequest) {
	n := &request.Payload
	leaving := n.Draining || n.Final
	switch {
	case !presence.PlausibleStart(n.StartedAt):
		request.Fail(result.BadMessage.Errorf("start %d of server %s is not plausible", n.StartedAt, n.Instance))
		return
	case !leaving && !t.rowKnown():
		t.hold(n)
		request.Respond(struct{}{})
		return
	}
	t.apply(ctx, n)
	if !t.state.IsOf(n.Instance, n.StartedAt) {
		request.Fail(result.BadMessage.Errorf("server %s is not the one that is known, %s", n.Instance, t.state.Instance))
		return
	}
	if !leaving {
		request.Respond(struct{}{})
		return
	}
	t.unacknowledged = slices.DeleteFunc(t.unacknowledged, announceRequest.Closed)
	if len(t.unacknowledged) >= maxUnacknowledged {
		request.Fail(result.RingFull.Errorf("%d announcements of a leaving server wait for its row", len(t.unacknowledged)))
		return
	}
	t.unacknowledged = append(t.unacknowledged, request)
	t.acknowledge()
}

// acknowledge responds to a leaving server once the row says that it leaves.
func (t *tracker) acknowledge() {
	if len(t.unacknowledged) == 0 {
		return // each change of any node's row comes here
	}
	if t.written != t.member.Endpoint {
		if stored, ok := t.ownRow(); !ok || stored.Endpoint != t.member.Endpoint {
			return
		}
	}
	for _, request := range t.unacknowledged {
		request.Respond(struct{}{})
	}
	t.unacknowledged = nil
}

// rowKnown reports whether the node knows what an earlier process of it wrote about the
// server.
func (t *tracker) rowKnown() bool {
	return t.PlatformSettings.FirstStart || t.Rows.Load().Listed(port.NodeTable)
}

// hold keeps an announcement of a ready server until the node's row is read: it may be a
// late one of a server that has left.
func (t *tracker) hold(n *port.Announcement) {
	if t.held == nil || n.StartedAt > t.held.StartedAt || (n.StartedAt == t.held.StartedAt && n.Sequence > t.held.Sequence) {
		if t.held == nil {
			t.Logger.Info().Str("instance", n.Instance).Int64("born", n.StartedAt).Int64("sequence", n.Sequence).
				Msg("announcement held until the row of this node is read")
		}
		t.held = n
	}
}

// restore applies what an earlier process of the node wrote about the server, and then the
// announcement that was held.
func (t *tracker) restore(ctx context.Context) {
	if !t.rowKnown() {
		return
	}
	if stored, ok := t.ownRow(); ok {
		t.restoreRow(ctx, &stored.Endpoint)
	}
	if n := t.held; n != nil {
		t.held = nil
		t.apply(ctx, n)
	}
	t.acknowledge()
	t.rewriteLost(ctx)
}

// rewriteLost writes the node's row again if the store has come back from a copy without
// it, or with an older one.
func (t *tracker) rewriteLost(ctx context.Context) {
	rows := t.Rows.Load()
	if rows.EraChanges() == 0 || t.member.Endpoint.State == mesh.EndpointNone {
		return
	}
	row, ok := rows.Get(port.NodeTable, port.NodeRowPrefix+string(t.Identity.Node))
	stored := storedRow{rows.EraChanges(), row.Condition()}
	if stored == t.compared {
		return
	}
	t.compared = stored
	var m mesh.Member
	if ok && !row.Lost && port.DecodeRow(row.Value, &m) == nil && m.Incarnation == t.member.Incarnation && m.Endpoint == t.member.Endpoint {
		return
	}
	t.Logger.Info().Uint64("era", rows.Era()).Uint64("stored", stored.revision).Msg("row of this node lost by the store, written again")
	t.queueRow(ctx, rowUpdate{Member: t.member, Rewrite: true})
}

func (t *tracker) restoreRow(ctx context.Context, stored *mesh.Endpoint) {
	if stored.Service != t.PlatformSettings.Service || stored.State == mesh.EndpointNone {
		return
	}
	if !presence.PlausibleStart(stored.StartedAt) {
		t.Logger.Warn().Str("instance", stored.Instance).Int64("born", stored.StartedAt).Msg("row of this node names an absurd start; ignored")
		return
	}
	next := t.state.Restore(presence.State{
		Instance: stored.Instance, StartedAt: stored.StartedAt, Leaving: stored.State != mesh.EndpointReady,
	})
	if next == t.state {
		return
	}
	t.identified = t.identified && next.Instance == t.state.Instance
	t.state = next
	t.Logger.Info().Str("instance", next.Instance).Int64("born", next.StartedAt).Bool("leaving", next.Leaving).
		Msg("server state restored from the row of this node")
	if next.Leaving && t.member.Endpoint != *stored {
		t.member.Endpoint = *stored
		t.member.Sequence++
		t.publish(ctx)
	}
}

// apply applies an announcement.
func (t *tracker) apply(ctx context.Context, n *port.Announcement) {
	next, applies := presence.Next(t.state, presence.Announcement{
		Instance: n.Instance, StartedAt: n.StartedAt, Sequence: n.Sequence, Leaving: n.Draining || n.Final, LeaveNotice: n.Final,
	})
	if !applies {
		t.Logger.Info().Str("instance", n.Instance).Int64("born", n.StartedAt).Int64("sequence", n.Sequence).
			Str("known", t.state.Instance).Int64("known_born", t.state.StartedAt).Bool("known_leaving", t.state.Leaving).Msg("older announcement ignored")
		return
	}
	previous := t.member.Endpoint
	t.state, t.identified = next, true
	if !n.Final {
		t.heard.heartbeat(n.ColdRemaining, time.Now())
	}
	e := mesh.Endpoint{
		Service: n.Service, Version: n.Version, Slots: n.Slots, State: mesh.EndpointReady,
		Process: fmt.Sprintf("%s/%d", n.Instance, next.StartedAt), Instance: n.Instance, StartedAt: next.StartedAt,
	}
	if n.Final {
		e.Version, e.Slots = t.leavingServer(n.Instance)
	}
	if next.Leaving {
		e.State = mesh.EndpointDraining
	}
	if e == previous {
		t.publishLocal()
		return
	}
	t.member.Endpoint = e
	t.member.Sequence++
	t.Logger.Info().Str("instance", n.Instance).Str("version", string(e.Version)).Int("slots", e.Slots).
		Int64("sequence", n.Sequence).Bool("leaving", next.Leaving).Msg("server state changed")
	t.publish(ctx)
	t.queueRow(ctx, rowUpdate{Member: t.member})
}

// leavingServer returns the version and the slots of a server that left by a notice, which
// has neither.
func (t *tracker) leavingServer(instance string) (mesh.UpstreamVersion, int) {
	known := t.member.Endpoint
	if known.Instance != instance {
		if stored, ok := t.ownRow(); ok && stored.Endpoint.Instance == instance {
			known = stored.Endpoint
		}
	}
	return known.Version, max(known.Slots, 1) // a row without slots is refused by its readers
}

// publish sends the state to the other duties of this node.
func (t *tracker) publish(ctx context.Context) {
	t.publishLocal()
	_ = t.Self.Send(ctx, t.member) // replaces the oldest, never fails
}

func (t *tracker) publishLocal() {
	if t.member.Endpoint.State == mesh.EndpointNone {
		return
	}
	t.Local.Store(&port.Local{
		Endpoint: t.member.Endpoint, Address: t.PlatformSettings.Upstream, HeardAt: t.heard.at, ColdUntil: t.heard.coldUntil,
	})
}

func (t *tracker) queueRow(ctx context.Context, update rowUpdate) {
	_ = t.RowUpdates.Send(ctx, update) // replaces the oldest, never fails
}

// healthCheck checks a server that has not announced itself since the node's start.
// It applies the node's row of an earlier incarnation if the server is healthy and is
// the instance in that row; a leaving server does not report healthy. It reports
// whether to check again.
func (t *tracker) healthCheck(ctx context.Context) bool {
	if t.identified || t.state.Leaving || t.healthChecks >= maxHealthChecks {
		return false
	}
	stored, ok := t.ownRow()
	snapshot := t.Snapshot.Load()
	if !ok || snapshot == nil {
		return !t.Rows.Load().Listed(port.NodeTable) || snapshot == nil
	}
	service := snapshot.Services[t.PlatformSettings.Service]
	path := service.HealthPath
	if stored.Endpoint.State != mesh.EndpointReady || stored.Endpoint.Service != t.PlatformSettings.Service || path == "" {
		return false
	}
	t.healthChecks++
	response, err := t.client.Get("http://" + t.PlatformSettings.Upstream.String() + path)
	if err != nil {
		return true
	}
	_ = response.Body.Close()
	healthy := response.StatusCode == http.StatusOK && response.Header.Get(t.Headers.Instance) == stored.Endpoint.Instance
	t.Logger.Info().Str("instance", stored.Endpoint.Instance).Bool("healthy", healthy).Int("status", response.StatusCode).
		Msg("server checked after the node's start")
	if !healthy {
		return true
	}
	t.identified = true
	cold, told := readCold(response.Header, t.Headers.ColdMS)
	if !told {
		cold = service.ColdDuration
	}
	t.heard.heartbeat(cold, time.Now())
	t.member.Endpoint = stored.Endpoint
	t.publish(ctx)
	t.queueRow(ctx, rowUpdate{Member: t.member})
	return false
}

func (t *tracker) ownRow() (m mesh.Member, ok bool) {
	row, ok := t.Rows.Load().Get(port.NodeTable, port.NodeRowPrefix+string(t.Identity.Node))
	if !ok {
		return m, false
	}
	return m, port.DecodeRow(row.Value, &m) == nil // membership.rows logs the error
}

// removeRowAtStop removes the node's row if the server has ended and is not expected to
// return: it was leaving, or has not been identified since the node's start. While it
// still runs, only the node is stopped, and its next process needs the row.
func (t *tracker) removeRowAtStop(ctx context.Context) {
	if (t.state.Leaving || !t.identified) && t.serverEnded() {
		t.queueRow(ctx, rowUpdate{Member: t.member, Remove: true})
	}
}

// serverEnded reports whether nothing listens on the server's address.
func (t *tracker) serverEnded() bool {
	conn, err := net.DialTimeout("tcp", t.PlatformSettings.Upstream.String(), healthCheckTimeout)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}
