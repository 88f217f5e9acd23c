package upstreambeats

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/phuslu/log"
	"go.uber.org/fx"

	"teaselring/decision/presence"
	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/result"
)

type writerIn struct {
	fx.In
	RowUpdates       *rowUpdateRing
	Written          *writtenRing
	Feed             port.Feed
	Rows             *port.RowsCell
	PlatformSettings *port.PlatformSettings
	Logger           *log.Logger
}

// writer is the duty that writes the node's row and retries until it succeeds.
type writer struct {
	writerIn
	revision      uint64 // of the row, as last written or read
	deferredFirst bool   // the first row of the first start was delayed
}

func newWriter(in writerIn) kernel.Duty {
	w := &writer{writerIn: in}
	return kernel.Duty{
		Name: "self-writer", Owns: "the node's row in the store", In: []string{rowRing}, Out: []string{writtenRowRing}, Run: w.run,
	}
}

func (w *writer) run(ctx context.Context) error {
	return w.RowUpdates.Each(ctx, func(update rowUpdate) { w.writeUntilDone(ctx, w.deferUpdate(ctx, update)) })
}

// deferUpdate delays the first row at the first start of the whole system, and rows that
// tell others nothing new, so that nodes that start together do not write together.
func (w *writer) deferUpdate(ctx context.Context, update rowUpdate) rowUpdate {
	if w.PlatformSettings.FirstStart && !w.deferredFirst {
		w.deferredFirst = true
		_ = kernel.Sleep(ctx, presence.FirstDelay(w.PlatformSettings.Heartbeat, rand.Float64()))
	}
	return w.deferRepeat(ctx, update)
}

// deferRepeat delays an update that tells others nothing new, or that all nodes may have to
// write again. It returns the update, or a newer one that arrived meanwhile.
func (w *writer) deferRepeat(ctx context.Context, update rowUpdate) rowUpdate {
	for update.Rewrite || w.isRefresh(&update) {
		nodes := w.Rows.Load().Count(port.NodeTable)
		delay := presence.RefreshDelay(nodes, w.PlatformSettings.WriteRate, rand.Float64())
		if update.Rewrite {
			delay = presence.RewriteDelay(nodes, w.PlatformSettings.WriteRate, rand.Float64())
		}
		w.Logger.Info().Str("node", string(update.Member.Node)).Int("rows", nodes).Dur("delay", delay).Msg("row to be refreshed")
		select {
		case <-time.After(delay):
			return update
		case update = <-w.RowUpdates.C():
		case <-ctx.Done():
			return update
		}
	}
	return update
}

// isRefresh reports whether the row in the store tells other nodes as much as the update.
func (w *writer) isRefresh(update *rowUpdate) bool {
	row, ok := w.Rows.Load().Get(port.NodeTable, port.NodeRowPrefix+string(update.Member.Node))
	if !ok || update.Remove {
		return false
	}
	var stored mesh.Member
	return cbor.Unmarshal(row.Value, &stored) == nil && presence.SameUse(&stored, &update.Member)
}

// writeUntilDone retries an update, or a newer one that arrives meanwhile, until it
// succeeds. Each write is conditional on the last known revision, so that a delayed
// one whose response was lost can't undo a later one.
func (w *writer) writeUntilDone(ctx context.Context, update rowUpdate) {
	for failures := 0; ; failures++ {
		err := w.write(ctx, &update)
		if err == nil || ctx.Err() != nil {
			return
		}
		if failures == 0 {
			w.Logger.Warn().Str("node", string(update.Member.Node)).Err(err).Msg("row of this node not written")
		}
		if result.Of(err) == result.RowConflict {
			continue
		}
		select {
		case <-ctx.Done():
			return
		case update = <-w.RowUpdates.C():
		case <-time.After(kernel.Backoff(failures, minWriteBackoff, maxWriteBackoff)):
		}
	}
}

func (w *writer) write(ctx context.Context, update *rowUpdate) error {
	key := port.NodeRowPrefix + string(update.Member.Node)
	rows := w.Rows.Load()
	if mesh.EraOf(w.revision) < rows.Era() {
		w.revision = 0 // the store may have lost that row
	}
	if row, ok := rows.Get(port.NodeTable, key); ok {
		w.revision = max(w.revision, row.Condition())
	}
	txn := port.Txn{Checks: []port.Check{{Table: port.NodeTable, Key: key, Revision: w.revision}}}
	if update.Remove {
		txn.Deletes = []port.Delete{{Table: port.NodeTable, Key: key}}
	} else {
		value, err := cbor.Marshal(update.Member)
		if err != nil {
			return result.AsError(err)
		}
		txn.Puts = []port.Put{{Table: port.NodeTable, Key: key, Value: value}}
	}
	changes, err := w.Feed.Write(ctx, txn)
	if result.Of(err) == result.RowConflict {
		w.revision = 0
		for _, row := range changes.Rows {
			if row.Key == key {
				w.revision = row.Revision
				w.keepLeaving(update, row.Value)
			}
		}
		return err
	}
	if err != nil {
		return err
	}
	w.revision = changes.Revision
	if update.Remove {
		w.revision = 0
	}
	_ = w.Written.Send(ctx, update.Member.Endpoint) // replaces the oldest, never fails
	w.Logger.Info().Str("node", string(update.Member.Node)).Bool("gone", update.Remove).
		Str("instance", update.Member.Endpoint.Instance).Uint64("revision", changes.Revision).Msg("row of this node written")
	return nil
}

// keepLeaving makes an update say that the server leaves if the row in the store does: an
// earlier process of the node wrote it, and this one has not read it yet.
func (w *writer) keepLeaving(update *rowUpdate, value []byte) {
	var stored mesh.Member
	if port.DecodeRow(value, &stored) != nil {
		return // the update replaces a row that can't be read
	}
	e := &update.Member.Endpoint
	if stored.Endpoint.Process == e.Process && stored.Endpoint.State == mesh.EndpointDraining && e.State == mesh.EndpointReady {
		e.State = mesh.EndpointDraining
		w.Logger.Info().Str("instance", e.Instance).Msg("row says that the server leaves")
	}
}
