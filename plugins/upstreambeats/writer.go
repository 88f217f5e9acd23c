package upstreambeats

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/phuslu/log"
	"go.uber.org/fx"

	"teaselring/kernel"
	"teaselring/port"
	"teaselring/result"
)

type writerIn struct {
	fx.In
	Orders *orderRing
	Feed   port.Feed
	Rows   *port.RowsCell
	Logger *log.Logger
}

// writer is the duty that writes the node's row until it says what it should.
type writer struct {
	writerIn
	revision uint64 // of the row as this node wrote or read it last
}

func newWriter(in writerIn) kernel.Duty {
	w := &writer{writerIn: in}
	return kernel.Duty{
		Name: "self-writer", Owns: "the node's row in the store", In: []string{rowRing}, Run: w.run,
	}
}

func (w *writer) run(ctx context.Context) error {
	return w.Orders.Each(ctx, func(order rowOrder) { w.finish(ctx, order) })
}

// finish writes an order, or a newer one that comes meanwhile, until it is done.
// Each write is on condition of the last known revision, so that one whose
// answer was lost can't undo a later one.
func (w *writer) finish(ctx context.Context, order rowOrder) {
	for failures := 0; ; failures++ {
		err := w.write(ctx, &order)
		if err == nil || ctx.Err() != nil {
			return
		}
		if failures == 0 {
			w.Logger.Warn().Str("node", string(order.Member.Node)).Err(err).Msg("row of this node not written")
		}
		if result.Of(err) == result.RowConflict {
			continue
		}
		select {
		case <-ctx.Done():
			return
		case order = <-w.Orders.C():
		case <-time.After(kernel.Backoff(failures, writeLeast, writeMost)):
		}
	}
}

func (w *writer) write(ctx context.Context, order *rowOrder) error {
	key := port.NodeRowPrefix + string(order.Member.Node)
	if row, ok := w.Rows.Load().Get(port.NodeTable, key); ok {
		w.revision = max(w.revision, row.Revision)
	}
	txn := port.Txn{Checks: []port.Check{{Table: port.NodeTable, Key: key, Revision: w.revision}}}
	if order.Gone {
		txn.Deletes = []port.Delete{{Table: port.NodeTable, Key: key}}
	} else {
		value, err := cbor.Marshal(order.Member)
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
			}
		}
		return err
	}
	if err != nil {
		return err
	}
	w.revision = changes.Revision
	if order.Gone {
		w.revision = 0
	}
	w.Logger.Info().Str("node", string(order.Member.Node)).Bool("gone", order.Gone).
		Str("instance", order.Member.Endpoint.Instance).Uint64("revision", changes.Revision).Msg("row of this node written")
	return nil
}
