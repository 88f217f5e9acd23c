package configstore

import (
	"context"

	"teaselring/decision/config"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/wire"
)

// outgoing keeps the parts of the newest version that peers asked for last,
// since many of them ask for the same ones.
type outgoing struct {
	version mesh.Version
	parts   map[mesh.Version][]config.Delta // by the version held
}

// parts returns what a peer that holds version have needs.
func (k *keeper) parts(have mesh.Version) ([]config.Delta, error) {
	newest := k.store.Newest()
	o := &k.outgoing
	if o.version != newest.Version {
		*o = outgoing{version: newest.Version, parts: map[mesh.Version][]config.Delta{}}
	}
	delta := k.store.Delta(have)
	if parts, cached := o.parts[delta.Base]; cached {
		return parts, nil
	}
	parts, err := config.Split(delta)
	if err == nil {
		o.parts[delta.Base] = parts
	}
	return parts, err
}

// sendData answers a fetch.
func (k *keeper) sendData(ctx context.Context, to mesh.NodeID, have mesh.Version) {
	if have >= k.held() {
		return
	}
	parts, err := k.parts(have)
	if err != nil {
		k.log(k.Logger.Error(), k.held()).Err(err).Msg("version can't be sent")
		return
	}
	for i, part := range parts {
		k.send(ctx, to, wire.ConfigData{
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
func (k *keeper) offer(ctx context.Context, to, except mesh.NodeID) {
	var m wire.ConfigOffer
	if newest := k.store.Newest(); newest != nil {
		m.Version, m.Digest = newest.Version, newest.Digest
	}
	if to != "" {
		m.Remembered = k.remembered(to)
	}
	k.push(ctx, port.Push{To: to, Except: except, Message: m})
}

func (k *keeper) send(ctx context.Context, to mesh.NodeID, m wire.Message) {
	k.push(ctx, port.Push{To: to, Message: m})
}

// push never waits: the ring replaces its oldest item.
func (k *keeper) push(ctx context.Context, p port.Push) {
	if k.Push != nil {
		_ = k.Push.Send(ctx, p)
	}
}

// audit never waits: the ring counts an entry that it has no place for.
func (k *keeper) audit(ctx context.Context, entry port.AuditEntry) {
	if k.Audit == nil {
		return
	}
	now, cancel := context.WithCancel(ctx)
	cancel()
	_ = k.Audit.Send(now, entry)
}
