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

// pendingInterval is the interval at which the duty checks whether a version that
// waits for an acknowledgement or for reports of peers can be put in force.
const pendingInterval = 50 * time.Millisecond

// configDuty is the state of the config duty.
type configDuty struct {
	dependencies
	store             *config.Store
	assembler         config.Assembler
	peers             peers
	partCache         partCache
	reported          config.Refusal // last refusal that was logged and audited
	contradictingHead config.Head    // last head that was logged as contradicting the version held
	refusals          metrics.Counter
	inForce           metrics.Gauge
}

func newConfigDuty(in dependencies) *configDuty {
	return &configDuty{
		dependencies: in,
		store:        config.NewStore(time.Now()),
		peers:        peers{},
		refusals:     metrics.GetOrRegisterCounter("config.refusals", in.Metrics),
		inForce:      metrics.GetOrRegisterGauge("config.in_force", in.Metrics),
	}
}

func (d *configDuty) run(ctx context.Context) error {
	check := time.NewTimer(pendingInterval)
	defer check.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case report := <-d.Heads.C():
			d.handleHead(ctx, time.Now(), report)
		case in := <-d.Inbox.C():
			d.handleMessage(ctx, time.Now(), in)
		case <-check.C:
		}
		d.advance(ctx, time.Now(), "")
		if d.store.Newest() != d.store.Active() {
			check.Reset(pendingInterval)
		}
	}
}

// handleHead processes a read of the head. A new version is offered to all links
// before it is in force; the first acknowledgement ends the wait.
func (d *configDuty) handleHead(ctx context.Context, now time.Time, report port.HeadReport) {
	head := config.Head(report.Head)
	switch {
	case report.Err != nil && head.Version == 0:
		d.store.PlatformDown()
		return
	case report.Err != nil:
		d.store.RecordMissingObject(head, report.Err)
	case report.Content == nil && head.Version > d.newestVersion():
		return // an earlier report had the content, and it was refused
	default:
		before := d.store.Newest()
		anyLinked := d.Push != nil && d.peers.anyLinked(now)
		err := d.store.AcceptHead(now, report.ReadAt, head, report.Content, anyLinked)
		d.logContradiction(head, err)
		if newest := d.store.Newest(); newest != before {
			d.offer(ctx, "", "")
		}
	}
	d.report(ctx)
}

// logContradiction logs once that the platform's head is not a successor of
// the version held, as after a restore of the platform from a backup.
func (d *configDuty) logContradiction(head config.Head, err error) {
	if code := result.Of(err); code != result.StaleVersion && code != result.DigestMismatch || head == d.contradictingHead {
		return
	}
	d.contradictingHead = head
	d.log(d.Logger.Error(), head.Version).Int("code", result.Of(err).Number).Err(err).Msg("head contradicts the version held")
}

func (d *configDuty) newestVersion() mesh.Version {
	if newest := d.store.Newest(); newest != nil {
		return newest.Version
	}
	return 0
}

// handleMessage processes a message from a link.
func (d *configDuty) handleMessage(ctx context.Context, now time.Time, in port.LinkMessage[wire.Message]) {
	switch m := in.Message.(type) {
	case wire.Hello:
		d.peers.recordMessage(in.From, now, m.InForce)
		d.offer(ctx, in.From, "")
		d.fetch(ctx, now, in.From, m.InForce)
	case wire.Heartbeat:
		d.handleHeartbeat(ctx, now, in.From, m)
	case wire.ConfigOffer:
		d.handleOffer(ctx, now, in.From, m)
	case wire.ConfigFetch:
		d.sendData(ctx, in.From, m.BaseVersion)
	case wire.ConfigData:
		d.handleData(ctx, now, in.From, m)
	case wire.ConfigAck:
		d.store.RecordAck(m.Version)
	}
}

func (d *configDuty) handleHeartbeat(ctx context.Context, now time.Time, from mesh.NodeID, m wire.Heartbeat) {
	d.peers.recordMessage(from, now, m.InForce)
	d.store.RecordAck(m.InForce)
	if m.HeadAge > 0 {
		d.store.RecordPeerConfirmation(m.InForce, now.Add(-time.Duration(m.HeadAge)*time.Millisecond))
	}
	d.fetch(ctx, now, from, m.InForce)
	if d.store.Active() != nil {
		return
	}
	if m.InForce == 0 {
		d.store.RecordPeerReport(now, from, 0, 0)
		return
	}
	// The peer responds to an empty offer with its own, which also carries the
	// version that it remembers of this node.
	d.send(ctx, from, wire.ConfigOffer{Remembered: d.remembered(from)})
}

func (d *configDuty) handleOffer(ctx context.Context, now time.Time, from mesh.NodeID, m wire.ConfigOffer) {
	d.store.RecordPeerReport(now, from, m.Version, m.Remembered)
	d.store.RecordAck(m.Version)
	newestVersion := d.newestVersion()
	switch {
	case m.Version > newestVersion:
		d.fetch(ctx, now, from, m.Version)
	case m.Version < newestVersion:
		d.offer(ctx, from, "")
	case newestVersion == 0:
	case m.Digest != d.store.Newest().Digest:
		d.log(d.Logger.Error(), newestVersion).Str("from", string(from)).Msg("peer holds other content for the same version")
	default:
		d.send(ctx, from, wire.ConfigAck{Version: newestVersion})
	}
}

// handleData adds a part of a version and applies the version once it is complete.
func (d *configDuty) handleData(ctx context.Context, now time.Time, from mesh.NodeID, m wire.ConfigData) {
	part := config.Delta{Base: m.Base, Version: m.Version, Digest: m.Digest, Records: m.Records, Removed: m.Removed}
	d.store.ExtendFetch(now, m.Version)
	complete, err := d.assembler.Add(from, part, m.Part, m.Parts)
	if err == nil && complete != nil {
		err = d.store.AcceptDelta(now, *complete)
	}
	if err != nil && result.Of(err) != result.StaleVersion {
		d.log(d.Logger.Warn(), m.Version).Str("from", string(from)).Int("code", result.Of(err).Number).Err(err).Msg("version from a peer not applied")
	}
	if err == nil && complete != nil {
		d.send(ctx, from, wire.ConfigAck{Version: complete.Version})
		d.advance(ctx, now, from)
	}
	if result.Of(err) == result.WrongBase || result.Of(err) == result.DigestMismatch && m.Base != 0 {
		d.fetch(ctx, now, from, m.Version) // the full version in place of the delta
	}
	d.report(ctx)
}

// fetch requests a version from a peer that holds it, if the store needs it.
func (d *configDuty) fetch(ctx context.Context, now time.Time, from mesh.NodeID, v mesh.Version) {
	if base, ok := d.store.BeginFetch(now, v); ok {
		d.send(ctx, from, wire.ConfigFetch{BaseVersion: base})
	}
}

// advance puts the next version in force once the store allows it, and publishes
// the status. A version from a peer is offered to all other links.
func (d *configDuty) advance(ctx context.Context, now time.Time, from mesh.NodeID) {
	pending := d.store.Newest() != d.store.Active()
	if pending && d.store.Advance(now, d.peerCount(now)) {
		active := d.store.Active()
		d.Snapshot.Store(active)
		d.inForce.Update(int64(active.Version))
		d.log(d.Logger.Info(), active.Version).Str("source", string(d.store.Source())).Msg("version in force")
		if d.store.Source() == config.SourcePeer {
			d.offer(ctx, "", from)
		}
	}
	d.publishStatus()
}

func (d *configDuty) publishStatus() {
	refusal := d.store.Refusal()
	status := port.ConfigStatus{
		Refused:       refusal.Version,
		Reason:        refusal.Reason,
		HeadConfirmed: d.store.ConfirmedAt(),
		Source:        string(d.store.Source()),
	}
	if refusal.Code != nil {
		status.Code = refusal.Code.Number
	}
	if active := d.store.Active(); active != nil {
		status.InForce = active.Version
	}
	if old := d.Status.Load(); old == nil || *old != status {
		d.Status.Store(&status)
	}
}

// report logs and audits each refusal once.
func (d *configDuty) report(ctx context.Context) {
	refusal := d.store.Refusal()
	if refusal.Version == 0 || refusal == d.reported {
		return
	}
	d.reported = refusal
	d.refusals.Inc(1)
	d.log(d.Logger.Warn(), refusal.Version).Int("code", refusal.Code.Number).Str("reason", refusal.Reason).Msg("version refused")
	d.audit(ctx, port.AuditEntry{
		Who:     string(d.Self.Node),
		Action:  "refuse",
		Subject: "config",
		Why:     refusal.Reason,
		Code:    refusal.Code.Number,
		Version: refusal.Version,
	})
}

func (d *configDuty) log(entry *log.Entry, v mesh.Version) *log.Entry {
	return entry.Uint64("version", uint64(v))
}
