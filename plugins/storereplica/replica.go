package storereplica

import (
	"context"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/fx"

	"teaselring/decision/replica"
	"teaselring/kernel"
	"teaselring/port"
	"teaselring/result"
)

type replicaIn struct {
	fx.In
	Rows        *batchRing
	Cell        *port.RowsCell
	Clock       *port.ClockCell
	Subscribers []port.RowsSubscriber `group:"rows_subscribers"`
	Logger      *log.Logger
	Metrics     metrics.Registry
}

// owner is the replica duty. It alone changes the copy of the rows.
type owner struct {
	replicaIn
	taken metrics.Counter
}

func newReplica(in replicaIn) kernel.Duty {
	o := &owner{replicaIn: in, taken: metrics.NewRegisteredCounter("replica.batches", in.Metrics)}
	out := make([]string, len(in.Subscribers))
	for i, s := range in.Subscribers {
		out[i] = s.Ring.Info().Name
	}
	return kernel.Duty{
		Name: "replica", Owns: "the node's copy of the rows, the reading of the platform's clock",
		In: []string{rowsRing}, Out: out, Run: o.run,
	}
}

func (o *owner) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case b := <-o.Rows.C():
			o.take(ctx, &b)
		}
	}
}

func (o *owner) take(ctx context.Context, b *batch) {
	o.taken.Inc(1)
	if b.changes.Clock > 0 {
		o.Clock.Store(&port.Clock{At: b.local, Clock: b.changes.Clock})
	}
	before := o.Cell.Load()
	next := before
	if b.listed {
		next = next.List(b.table, b.changes.Rows, b.changes.Revision)
	} else {
		next, _ = next.Merge(b.changes.Rows)
	}
	for _, table := range b.tables {
		next = next.MarkListed(table)
	}
	if next == before {
		return
	}
	o.Cell.Store(next)
	o.Logger.Debug().Str("table", b.table).Str("source", b.source).Int("rows", len(b.changes.Rows)).
		Uint64("revision", b.changes.Revision).Msg("rows changed")
	for _, s := range o.Subscribers {
		_ = s.Ring.Send(ctx, port.RowsChanged{}) // replaces the oldest, never fails
	}
}

func checkListed(rows *port.RowsCell, operator port.OperatorTable) error {
	set := rows.Load()
	if !set.Listed(string(operator)) || !set.Listed(port.NodeTable) {
		return result.NoConfiguration.Errorf("the rows have not been read yet")
	}
	return nil
}

// watch follows one table of the store.
type watch struct {
	table  string
	pause  time.Duration // after a change, so that changes that come together are read together
	feed   port.Feed
	out    *batchRing
	logger *log.Logger

	after    uint64
	listed   bool
	failures int
}

// nodeBatch gathers the rows of nodes that start together.
const nodeBatch = 150 * time.Millisecond

func newWatch(name, table string, pause time.Duration, feed port.Feed, out *batchRing, logger *log.Logger) kernel.Duty {
	w := &watch{table: table, pause: pause, feed: feed, out: out, logger: logger}
	return kernel.Duty{Name: name, Owns: "the revision up to which it has read its table", Out: []string{rowsRing}, Run: w.run}
}

func (w *watch) run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := w.step(ctx); err != nil {
			w.failed(ctx, err)
			continue
		}
		if w.failures > 0 {
			w.logger.Info().Str("table", w.table).Int("failures", w.failures).Msg("store regained")
			w.failures = 0
		}
	}
	return nil
}

func (w *watch) step(ctx context.Context) error {
	if !w.listed {
		return w.list(ctx)
	}
	changes, err := w.feed.Follow(ctx, w.table, w.after, followWait)
	if err != nil {
		return err
	}
	w.after = max(w.after, changes.Revision)
	if err := w.send(ctx, batch{table: w.table, changes: changes, source: "store"}); err != nil {
		return err
	}
	if len(changes.Rows) > 0 && w.pause > 0 {
		pause(ctx, w.pause)
	}
	return nil
}

func (w *watch) list(ctx context.Context) error {
	listing, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	changes, err := w.feed.List(listing, w.table)
	if err != nil {
		return err
	}
	w.after, w.listed = changes.Revision, true
	return w.send(ctx, batch{table: w.table, changes: changes, listed: true, source: "store"})
}

func (w *watch) send(ctx context.Context, b batch) error {
	b.local = time.Now()
	return w.out.Send(ctx, b)
}

func (w *watch) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if result.Of(err) == result.HistoryGone {
		w.listed = false
		w.logger.Info().Str("table", w.table).Msg("store forgot its history, listing again")
		return
	}
	if w.failures == 0 {
		w.logger.Warn().Str("table", w.table).Err(err).Msg("store lost")
	}
	pause(ctx, backoff(w.failures))
	w.failures++
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// newerRows is the answer to another node that asks for rows.
type newerRows struct {
	Rows   []replica.Row `cbor:"1,keyasint"`
	Listed []string      `cbor:"2,keyasint"` // tables that the sender has listed
}
