package configstore

import (
	"context"

	"teaselring/decision/config"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/wire"
)

// partCache caches the parts of deltas to the newest version, since many peers
// fetch the same ones.
type partCache struct {
	version mesh.Version
	parts   map[mesh.Version][]config.Delta // by base version
}

// parts returns the parts of the delta from version base to the newest one.
func (d *configDuty) parts(base mesh.Version) ([]config.Delta, error) {
	newest := d.store.Newest()
	cache := &d.partCache
	if cache.version != newest.Version {
		*cache = partCache{version: newest.Version, parts: map[mesh.Version][]config.Delta{}}
	}
	delta := d.store.Delta(base)
	if parts, cached := cache.parts[delta.Base]; cached {
		return parts, nil
	}
	parts, err := config.Split(delta)
	if err == nil {
		cache.parts[delta.Base] = parts
	}
	return parts, err
}

// sendData responds to a fetch.
func (d *configDuty) sendData(ctx context.Context, to mesh.NodeID, base mesh.Version) {
	if base >= d.newestVersion() {
		return
	}
	parts, err := d.parts(base)
	if err != nil {
		d.log(d.Logger.Error(), d.newestVersion()).Err(err).Msg("version can't be sent")
		return
	}
	for i, part := range parts {
		d.send(ctx, to, wire.ConfigData{
			Base:    part.Base,
			Version: part.Version,
			Digest:  part.Digest,
			Records: part.Records,
			Removed: part.Removed,
			Part:    i,
			Parts:   len(parts),
		})
	}
}

// offer announces the newest version held to one peer, or to all but one.
func (d *configDuty) offer(ctx context.Context, to, except mesh.NodeID) {
	var m wire.ConfigOffer
	if newest := d.store.Newest(); newest != nil {
		m.Version, m.Digest = newest.Version, newest.Digest
	}
	if to != "" {
		m.Remembered = d.remembered(to)
	}
	d.push(ctx, port.Push{To: to, Except: except, Message: m})
}

func (d *configDuty) send(ctx context.Context, to mesh.NodeID, m wire.Message) {
	d.push(ctx, port.Push{To: to, Message: m})
}

// push never blocks: a full ring replaces its oldest item.
func (d *configDuty) push(ctx context.Context, p port.Push) {
	if d.Push != nil {
		_ = d.Push.Send(ctx, p)
	}
}

// audit never blocks: with a cancelled context, a full ring drops the entry and
// counts it.
func (d *configDuty) audit(ctx context.Context, entry port.AuditEntry) {
	if d.Audit == nil {
		return
	}
	cancelled, cancel := context.WithCancel(ctx)
	cancel()
	_ = d.Audit.Send(cancelled, entry)
}
