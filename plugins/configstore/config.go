package configstore

import (
	"context"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"teaselring/decision/config"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/result"
	"teaselring/wire"
)

// pendingCheck is how often the duty looks whether a version that waits for an
// acknowledgement or for reports of peers may be put in force.
const pendingCheck = 50 * time.Millisecond

// keeper is the state of the config duty.
type keeper struct {
	dependencies
	store    *config.Store
	assembly config.Assembler
	peers    peers
	outgoing outgoing
	reported config.Refusal // refusal that was logged and audited last
	rejected config.Head    // head that was logged as contradicting the version held
	refusals metrics.Counter
	inForce  metrics.Gauge
}

func newKeeper(in dependencies) *keeper {
	return &keeper{
		dependencies: in,
		store:        config.NewStore(time.Now()),
		peers:        peers{},
		refusals:     metrics.GetOrRegisterCounter("config.refusals", in.Metrics),
		inForce:      metrics.GetOrRegisterGauge("config.in_force", in.Metrics),
	}
}

func (k *keeper) run(ctx context.Context) error {
	check := time.NewTimer(pendingCheck)
	defer check.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case report := <-k.Heads.C():
			k.takeHead(ctx, time.Now(), report)
		case in := <-k.Inbox.C():
			k.takeMessage(ctx, time.Now(), in)
		case <-check.C:
		}
		k.advance(ctx, time.Now(), "")
		if k.store.Newest() != k.store.Active() {
			check.Reset(pendingCheck)
		}
	}
}

// takeHead takes a read of the head. A version that the platform shows is
// offered to all links before it is in force; the first peer that holds it
// ends the wait.
func (k *keeper) takeHead(ctx context.Context, now time.Time, report port.HeadReport) {
	head := config.Head(report.Head)
	switch {
	case report.Err != nil && head.Version == 0:
		k.store.PlatformDown()
		return
	case report.Err != nil:
		k.store.RecordMissingObject(head, report.Err)
	case report.Content == nil && head.Version > k.held():
		return // the content came with an earlier report and was refused
	default:
		before := k.store.Newest()
		linked := k.Push != nil && k.peers.linked(now)
		err := k.store.AcceptHead(now, report.ReadAt, head, report.Content, linked)
		k.noteContradiction(head, err)
		if newest := k.store.Newest(); newest != before {
			k.offer(ctx, "", "")
		}
	}
	k.report(ctx)
}

// noteContradiction logs once that the platform's head is not a successor of
// the version held, such as after the platform was restored from a backup.
func (k *keeper) noteContradiction(head config.Head, err error) {
	if code := result.Of(err); code != result.StaleVersion && code != result.DigestMismatch || head == k.rejected {
		return
	}
	k.rejected = head
	k.log(k.Logger.Error(), head.Version).Int("code", result.Of(err).Number).Err(err).Msg("head contradicts the version held")
}

func (k *keeper) held() mesh.Version {
	if newest := k.store.Newest(); newest != nil {
		return newest.Version
	}
	return 0
}

// takeMessage takes a message of a link.
func (k *keeper) takeMessage(ctx context.Context, now time.Time, in port.LinkMessage[wire.Message]) {
	switch m := in.Message.(type) {
	case wire.Hello:
		k.peers.seen(in.From, now, m.InForce)
		k.offer(ctx, in.From, "")
		k.fetch(ctx, now, in.From, m.InForce)
	case wire.Heartbeat:
		k.takeHeartbeat(ctx, now, in.From, m)
	case wire.ConfigOffer:
		k.takeOffer(ctx, now, in.From, m)
	case wire.ConfigFetch:
		k.sendData(ctx, in.From, m.Have)
	case wire.ConfigData:
		k.takeData(ctx, now, in.From, m)
	case wire.ConfigAck:
		k.store.RecordAck(m.Version)
	}
}

func (k *keeper) takeHeartbeat(ctx context.Context, now time.Time, from mesh.NodeID, m wire.Heartbeat) {
	k.peers.seen(from, now, m.InForce)
	k.store.RecordAck(m.InForce)
	if m.HeadAge > 0 {
		k.store.RecordPeerConfirmation(m.InForce, now.Add(-time.Duration(m.HeadAge)*time.Millisecond))
	}
	k.fetch(ctx, now, from, m.InForce)
	if k.store.Active() != nil {
		return
	}
	if m.InForce == 0 {
		k.store.RecordPeerReport(now, from, 0, 0)
		return
	}
	// An offer of nothing makes the peer answer with its own, which also says
	// what it remembers of this node.
	k.send(ctx, from, wire.ConfigOffer{Remembered: k.remembered(from)})
}

func (k *keeper) takeOffer(ctx context.Context, now time.Time, from mesh.NodeID, m wire.ConfigOffer) {
	k.store.RecordPeerReport(now, from, m.Version, m.Remembered)
	k.store.RecordAck(m.Version)
	held := k.held()
	switch {
	case m.Version > held:
		k.fetch(ctx, now, from, m.Version)
	case m.Version < held:
		k.offer(ctx, from, "")
	case held == 0:
	case m.Digest != k.store.Newest().Digest:
		k.log(k.Logger.Error(), held).Str("from", string(from)).Msg("peer holds another content of the version")
	default:
		k.send(ctx, from, wire.ConfigAck{Version: held})
	}
}

// takeData joins the parts of a version and takes it when it is complete.
func (k *keeper) takeData(ctx context.Context, now time.Time, from mesh.NodeID, m wire.ConfigData) {
	part := config.Delta{Base: m.Base, Version: m.Version, Digest: m.Digest, Records: m.Records, Removed: m.Removed}
	k.store.ExtendFetch(now, m.Version)
	whole, err := k.assembly.Add(from, part, m.Part, m.Parts)
	if err == nil && whole != nil {
		err = k.store.AcceptDelta(now, *whole)
	}
	if err != nil && result.Of(err) != result.StaleVersion {
		k.log(k.Logger.Warn(), m.Version).Str("from", string(from)).Int("code", result.Of(err).Number).Err(err).Msg("version of a peer not taken")
	}
	if err == nil && whole != nil {
		k.send(ctx, from, wire.ConfigAck{Version: whole.Version})
		k.advance(ctx, now, from)
	}
	if result.Of(err) == result.WrongBase || result.Of(err) == result.DigestMismatch && m.Base != 0 {
		k.fetch(ctx, now, from, m.Version) // the whole version in place of the delta
	}
	k.report(ctx)
}

// fetch asks a peer for a version that it holds, if it is wanted.
func (k *keeper) fetch(ctx context.Context, now time.Time, from mesh.NodeID, v mesh.Version) {
	if have, do := k.store.BeginFetch(now, v); do {
		k.send(ctx, from, wire.ConfigFetch{Have: have})
	}
}

// advance puts the next version in force when it may be, and publishes the
// state of the duty. A version that came from a peer is offered to the others.
func (k *keeper) advance(ctx context.Context, now time.Time, from mesh.NodeID) {
	pending := k.store.Newest() != k.store.Active()
	if pending && k.store.Advance(now, k.known(now)) {
		active := k.store.Active()
		k.Snapshot.Store(active)
		k.inForce.Update(int64(active.Version))
		k.log(k.Logger.Info(), active.Version).Str("source", string(k.store.Source())).Msg("version in force")
		if k.store.Source() == config.SourcePeer {
			k.offer(ctx, "", from)
		}
	}
	k.publishStatus()
}

func (k *keeper) publishStatus() {
	refusal := k.store.Refusal()
	status := port.ConfigStatus{
		Refused:       refusal.Version,
		Reason:        refusal.Reason,
		HeadConfirmed: k.store.ConfirmedAt(),
		Source:        string(k.store.Source()),
	}
	if refusal.Code != nil {
		status.Code = refusal.Code.Number
	}
	if active := k.store.Active(); active != nil {
		status.InForce = active.Version
	}
	if old := k.Status.Load(); old == nil || *old != status {
		k.Status.Store(&status)
	}
}

// report logs and audits a refusal once.
func (k *keeper) report(ctx context.Context) {
	refusal := k.store.Refusal()
	if refusal.Version == 0 || refusal == k.reported {
		return
	}
	k.reported = refusal
	k.refusals.Inc(1)
	k.log(k.Logger.Warn(), refusal.Version).Int("code", refusal.Code.Number).Str("reason", refusal.Reason).Msg("version refused")
	k.audit(ctx, port.AuditEntry{
		Who:     string(k.Self.Node),
		Action:  "refuse",
		Subject: "config",
		Why:     refusal.Reason,
		Code:    refusal.Code.Number,
		Version: refusal.Version,
	})
}

func (k *keeper) log(entry *log.Entry, v mesh.Version) *log.Entry {
	return entry.Uint64("version", uint64(v))
}
