package storereplica

import (
	"context"

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
	Source      *source
	Logger      *log.Logger
	Metrics     metrics.Registry
}

// replicaDuty is the only writer of the copy of the rows.
type replicaDuty struct {
	replicaIn
	applied metrics.Counter
	// era is that of the store, changes how often it has risen since the node's start. Lost
	// is the number of rows that the store has lost and not got again.
	era, changes, lost metrics.Gauge
}

func newReplica(in replicaIn) kernel.Duty {
	o := &replicaDuty{
		replicaIn: in, applied: metrics.NewRegisteredCounter("replica.batches", in.Metrics),
		era: metrics.NewRegisteredGauge("replica.era", in.Metrics), changes: metrics.NewRegisteredGauge("replica.era_changes", in.Metrics),
		lost: metrics.NewRegisteredGauge("replica.rows_lost", in.Metrics),
	}
	out := make([]string, len(in.Subscribers))
	for i, s := range in.Subscribers {
		out[i] = s.Ring.Info().Name
	}
	return kernel.Duty{
		Name: "replica", Owns: "the node's copy of the rows, the reading of the platform's clock",
		In: []string{rowsRing}, Out: out, Run: o.run,
	}
}

func (o *replicaDuty) run(ctx context.Context) error {
	return o.Rows.Each(ctx, func(b batch) { o.apply(ctx, &b) })
}

func (o *replicaDuty) apply(ctx context.Context, b *batch) {
	o.applied.Inc(1)
	if b.applied != nil {
		defer close(b.applied)
	}
	if b.changes.Clock > 0 {
		o.Clock.Store(&port.Clock{At: b.receivedAt, Clock: b.changes.Clock})
	}
	before := o.Cell.Load()
	next := before
	if b.listed {
		next = next.ApplyListing(b.table, b.changes.Rows, b.changes.Revision)
	} else {
		next, _ = next.Merge(b.changes.Rows)
	}
	for _, table := range b.listedTables {
		next = next.MarkListed(table)
	}
	if next == before {
		return
	}
	o.Cell.Store(next)
	o.recordEra(before, next, b)
	o.Logger.Debug().Str("table", b.table).Str("source", b.source).Int("rows", len(b.changes.Rows)).
		Uint64("revision", b.changes.Revision).Msg("rows changed")
	o.Source.changed.fire()
	for _, s := range o.Subscribers {
		_ = s.Ring.Send(ctx, port.RowsChanged{}) // replaces the oldest, never fails
	}
}

// recordEra logs and counts a new era of the store.
func (o *replicaDuty) recordEra(before, next *replica.Set, b *batch) {
	o.era.Update(int64(next.Era()))
	o.changes.Update(int64(next.EraChanges()))
	lost := next.LostCount()
	o.lost.Update(int64(lost))
	if next.EraChanges() > before.EraChanges() {
		o.Logger.Warn().Uint64("era", next.Era()).Uint64("before", before.Era()).Str("source", b.source).Int("rows_lost", lost).
			Msg("the store came back from a copy")
	}
}

func checkListed(rows *port.RowsCell, operator port.OperatorTable) error {
	set := rows.Load()
	if !set.Listed(string(operator)) || !set.Listed(port.NodeTable) {
		return result.NoConfiguration.Errorf("the rows have not been read yet")
	}
	return nil
}
