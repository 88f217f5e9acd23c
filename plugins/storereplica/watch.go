package storereplica

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"teaselring/decision/replica"
	"teaselring/kernel"
	"teaselring/port"
	"teaselring/result"
)

// watch follows one table of the store while the node reads the store.
type watch struct {
	table       string
	maxPollWait time.Duration
	// pause returns the wait after a change, so that simultaneous changes are read together.
	pause func(*replica.Set) time.Duration
	first time.Duration // delay before the first listing
	// listEarly is set for a table that is listed before the source is selected: the
	// nodes' table has the addresses of the others, and with the operator's table a
	// restarted node is soon ready.
	listEarly bool
	feed      port.Feed
	out       *batchRing
	rows      *port.RowsCell
	source    *source
	logger    *log.Logger

	lastRevision uint64
	listed       bool
	failures     int
}

func (w *watch) duty(name string) kernel.Duty {
	return kernel.Duty{Name: name, Owns: "the revision up to which it has read its table", Out: []string{rowsRing}, Run: w.run}
}

func (w *watch) run(ctx context.Context) error {
	if kernel.Sleep(ctx, w.first) != nil {
		return nil
	}
	for ctx.Err() == nil {
		first := w.listEarly && !w.listed
		if !first && !w.source.awaitReadStore(ctx) {
			return nil
		}
		if err := w.poll(ctx); err != nil {
			w.handleError(ctx, err)
			continue
		}
		if w.decidesContact() {
			w.source.recordContact()
		}
		if w.failures > 0 {
			w.logger.Info().Str("table", w.table).Int("failures", w.failures).Msg("store regained")
			w.failures = 0
		}
	}
	return nil
}

// decidesContact reports whether this table decides if the node is connected to
// the store.
func (w *watch) decidesContact() bool { return w.table == w.source.operator }

func (w *watch) poll(ctx context.Context) error {
	set := w.rows.Load()
	if !w.listed && set.Listed(w.table) {
		// The rows came from other nodes while this node did not read the store.
		w.listed, w.lastRevision = true, set.Seen()[w.table]
	}
	if !w.listed {
		return w.list(ctx)
	}
	changes, err := w.feed.Follow(ctx, w.table, w.lastRevision, w.maxPollWait)
	if err != nil {
		return err
	}
	w.lastRevision = max(w.lastRevision, changes.Revision)
	if err := w.send(ctx, batch{table: w.table, changes: changes, source: "store"}); err != nil {
		return err
	}
	if len(changes.Rows) > 0 {
		_ = kernel.Sleep(ctx, w.pause(w.rows.Load()))
	}
	return nil
}

func (w *watch) list(ctx context.Context) error {
	listCtx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	changes, err := w.feed.List(listCtx, w.table)
	if err != nil {
		return err
	}
	w.lastRevision, w.listed = changes.Revision, true
	return w.send(ctx, batch{table: w.table, changes: changes, listed: true, source: "store"})
}

func (w *watch) send(ctx context.Context, b batch) error {
	b.receivedAt = time.Now()
	return w.out.Send(ctx, b)
}

func (w *watch) handleError(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if result.Of(err) == result.HistoryGone {
		w.listed = false
		w.logger.Info().Str("table", w.table).Msg("store forgot its history, listing again")
		w.relist(ctx)
		return
	}
	if w.decidesContact() {
		w.source.recordLoss()
	}
	if w.failures == 0 {
		w.logger.Warn().Str("table", w.table).Err(err).Msg("store lost")
	}
	_ = kernel.Sleep(ctx, kernel.Backoff(w.failures, minRetryDelay, maxRetryDelay))
	w.failures++
}

// relist lists at once: rows from other nodes don't replace a dropped history.
func (w *watch) relist(ctx context.Context) {
	if err := w.list(ctx); err != nil {
		w.handleError(ctx, err)
	}
}
