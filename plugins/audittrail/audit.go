package audittrail

import (
	"bytes"
	"context"
	"math/rand/v2"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/fx"

	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/result"
)

const (
	minBackoff = 250 * time.Millisecond
	// viewTimeout bounds the wait for this node's entry in the view, which holds the
	// incarnation that the members duty chose. After it, the start time is used.
	viewTimeout      = 2 * time.Second
	viewPollInterval = 50 * time.Millisecond
)

type dependencies struct {
	fx.In
	Self    mesh.Identity
	Table   port.Table
	Entries *port.AuditRing
	Logger  *log.Logger
	Metrics metrics.Registry
	View    *port.ViewCell `optional:"true"`
}

// writer is the state of the audit duty.
type writer struct {
	dependencies
	settings *Settings
	journal  journal
	refused  uint64 // refusals of the ring that are already counted
	written  metrics.Counter
	retries  metrics.Counter
	dropped  metrics.Counter
}

func newDuty(in dependencies, settings *Settings) kernel.Duty {
	w := &writer{
		dependencies: in,
		settings:     settings,
		journal:      journal{node: in.Self.Node},
		written:      metrics.GetOrRegisterCounter("audit.written", in.Metrics),
		retries:      metrics.GetOrRegisterCounter("audit.retries", in.Metrics),
		dropped:      metrics.GetOrRegisterCounter("audit.dropped", in.Metrics),
	}
	return kernel.Duty{Name: "audit", Owns: "entries not yet written", In: []string{"audit.entries"}, Run: w.run}
}

func (w *writer) run(ctx context.Context) error {
	w.chooseIncarnation(ctx)
	for ctx.Err() == nil {
		w.collect(ctx)
		w.flush(ctx)
	}
	w.flushAtShutdown(ctx)
	return nil
}

// chooseIncarnation waits for the node's own entry in the view, so that the stream
// has the incarnation that peers see.
func (w *writer) chooseIncarnation(ctx context.Context) {
	started := time.Now()
	w.journal.incarnation = mesh.Incarnation(started.UnixMilli())
	for w.View != nil && time.Since(started) < viewTimeout && ctx.Err() == nil {
		if own, found := w.ownIncarnation(); found {
			w.journal.incarnation = own
			return
		}
		_ = kernel.Sleep(ctx, viewPollInterval)
	}
}

func (w *writer) ownIncarnation() (mesh.Incarnation, bool) {
	view := w.View.Load()
	if view == nil {
		return 0, false
	}
	for i := range view.Members {
		if view.Members[i].Node == w.Self.Node {
			return view.Members[i].Incarnation, true
		}
	}
	return 0, false
}

// collect waits for an entry and gathers a batch.
func (w *writer) collect(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case entry := <-w.Entries.C():
		w.add(entry)
	}
	linger := time.NewTimer(w.settings.Linger.Duration)
	defer linger.Stop()
	for !w.journal.full() {
		select {
		case <-ctx.Done():
			return
		case <-linger.C:
			return
		case entry := <-w.Entries.C():
			w.add(entry)
		}
	}
}

// add appends an entry to the batch. The entry carries the number of entries that
// the ring refused since the last one.
func (w *writer) add(entry port.AuditEntry) {
	refused := w.Entries.Refused()
	w.journal.lost += refused - w.refused
	w.dropped.Inc(int64(refused - w.refused))
	w.refused = refused
	w.journal.add(entry, time.Now())
}

// flush writes the batch and retries however long the platform is unavailable.
// Meanwhile the ring buffers new entries.
func (w *writer) flush(ctx context.Context) {
	backoff := minBackoff
	for len(w.journal.batch) > 0 {
		err := w.write(ctx)
		if err == nil {
			return
		}
		if !w.handleWriteError(err) {
			continue
		}
		if kernel.Sleep(ctx, time.Duration((0.5+rand.Float64()/2)*float64(backoff))) != nil {
			return
		}
		backoff = min(2*backoff, w.settings.RetryMax.Duration)
	}
}

// handleWriteError reports whether to retry the batch after a backoff. It discards a
// batch that the platform will never accept.
func (w *writer) handleWriteError(err error) bool {
	code := result.Of(err)
	w.Logger.Warn().Int("code", code.Number).Err(err).Msg("audit entries not written")
	switch code {
	case result.PlatformDown, result.PlatformUnknown, result.PlatformLimit, result.RowConflict, result.Internal:
		w.retries.Inc(1)
		return true
	}
	w.dropped.Inc(int64(len(w.journal.batch)))
	w.journal.discard()
	return false
}

// write attempts once to write the batch.
func (w *writer) write(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, w.settings.WriteTimeout.Duration)
	defer cancel()
	txn, err := w.journal.txn()
	if err != nil {
		return err
	}
	err = w.Table.Commit(ctx, txn)
	if result.Of(err) == result.RowConflict {
		err = w.resolveConflict(ctx, txn.Puts[0])
	}
	if err == nil {
		w.written.Inc(int64(len(w.journal.batch)))
		w.journal.written()
	}
	return err
}

// resolveConflict determines why a row of the batch exists: an earlier attempt whose
// response was lost wrote the whole batch, or another incarnation of the node used
// the stream.
func (w *writer) resolveConflict(ctx context.Context, first port.Put) error {
	row, err := w.Table.Get(ctx, first.Table, first.Key)
	if err != nil {
		return err
	}
	if bytes.Equal(row.Value, first.Value) {
		return nil
	}
	w.journal.switchIncarnation(w.journal.incarnation + 1)
	return result.RowConflict.Errorf("stream of key %s is in use; the next incarnation is tried", first.Key)
}

// flushAtShutdown writes the remaining entries within the write timeout.
func (w *writer) flushAtShutdown(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), w.settings.WriteTimeout.Duration)
	defer cancel()
	for ctx.Err() == nil {
		// A batch that was attempted before must not grow: it may have been written,
		// and an entry added now would be regarded as written too.
		w.flush(ctx)
		if len(w.journal.batch) > 0 {
			break
		}
		w.drainRing()
		if len(w.journal.batch) == 0 {
			return
		}
	}
	w.Logger.Warn().Int("entries", len(w.journal.batch)+w.Entries.Len()).Msg("audit entries lost at shutdown")
}

func (w *writer) drainRing() {
	for !w.journal.full() {
		select {
		case entry := <-w.Entries.C():
			w.add(entry)
		default:
			return
		}
	}
}
