package oncekeys

import (
	"context"
	"encoding/json"
	"net/url"
	"time"

	"github.com/rcrowley/go-metrics"

	"teaselring/decision/once"
	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/result"
)

// table is the platform table of claimed keys.
const table = "once"

// writer is the duty that writes batches to the platform, one at a time.
type writer struct {
	node     mesh.NodeID
	platform port.Table
	patience time.Duration
	batches  metrics.Counter
	refused  metrics.Counter
	// refusedClaims did not start their call although their rows may exist. They
	// are freed when the platform answers again, so that the caller's next try
	// with the same key is not taken for a second run.
	refusedClaims []port.Claim
}

const (
	// maxRefusedClaims bounds the memory of a long outage. Keys beyond it stay
	// claimed if their rows were written.
	maxRefusedClaims = 4096
	freeInterval     = 2 * time.Second
)

func newWriter(s *Settings) func(mesh.Identity, port.Table, metrics.Registry, *kernel.Ring[work]) kernel.Duty {
	return func(id mesh.Identity, platform port.Table, reg metrics.Registry, in *kernel.Ring[work]) kernel.Duty {
		w := &writer{
			node: id.Node, platform: platform, patience: s.Patience.Duration,
			batches: metrics.GetOrRegisterCounter("once.batches_written", reg),
			refused: metrics.GetOrRegisterCounter("once.claims_refused", reg),
		}
		return kernel.Duty{
			Name: "claim-writer", Owns: "the claim transaction in progress, refused claims to be freed", In: []string{"once.batches"},
			Run: func(ctx context.Context) error { return w.run(ctx, in) },
		}
	}
}

func (w *writer) run(ctx context.Context, in *kernel.Ring[work]) error {
	ticker := time.NewTicker(freeInterval)
	defer ticker.Stop()
	for {
		select {
		case batch := <-in.C():
			w.write(ctx, batch)
		case <-ticker.C:
			w.freeRefused(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

// freeRefused frees the oldest refused claim and goes on while the platform answers.
func (w *writer) freeRefused(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, freeInterval)
	defer cancel()
	for len(w.refusedClaims) > 0 {
		var txn port.Txn
		if w.addSettlement(ctx, &txn, port.Settlement{Claim: w.refusedClaims[0], NotRun: true}) != nil {
			return
		}
		if len(txn.Deletes) > 0 && result.Of(w.platform.Commit(ctx, txn)) != result.OK {
			return
		}
		w.refusedClaims = w.refusedClaims[1:]
	}
}

func (w *writer) write(ctx context.Context, batch work) {
	ctx, cancel := context.WithTimeout(ctx, w.patience)
	defer cancel()
	w.batches.Inc(1)
	w.writeClaims(ctx, batch.claims)
	w.writeSettlements(ctx, batch.settlements)
}

// writeClaims creates the rows of all claims in one transaction. A conflict or
// a lost answer is resolved row by row, after which the rest is tried again;
// each round either writes the rest or settles at least one claim.
func (w *writer) writeClaims(ctx context.Context, claims []claimAsk) {
	claims = w.refuseRepeated(claims)
	for len(claims) > 0 {
		err := w.platform.Commit(ctx, w.claimTxn(claims))
		switch result.Of(err) {
		case result.OK:
			w.grant(claims)
			return
		case result.RowConflict, result.PlatformUnknown:
			claims = w.settleExisting(ctx, claims)
		default:
			w.refuse(claims, err)
			return
		}
		if ctx.Err() != nil {
			w.refuse(claims, ctx.Err())
			return
		}
	}
}

// refuseRepeated keeps one claim of each key, since a transaction can't create
// a row twice, and drops those whose call has left.
func (w *writer) refuseRepeated(claims []claimAsk) []claimAsk {
	seen := make(map[string]bool, len(claims))
	kept := claims[:0]
	for _, ask := range claims {
		if ask.Closed() {
			continue
		}
		key := rowKey(ask.Payload)
		if seen[key] {
			ask.Fail(result.KeyMayHaveRun.Errorf("another call with the key is being claimed"))
			continue
		}
		seen[key] = true
		kept = append(kept, ask)
	}
	return kept
}

func (w *writer) claimTxn(claims []claimAsk) port.Txn {
	var txn port.Txn
	for _, ask := range claims {
		key := rowKey(ask.Payload)
		row := once.Row{Attempt: ask.Payload.Attempt, Node: w.node, State: once.Claimed, At: time.Now()}
		txn.Checks = append(txn.Checks, port.Check{Table: table, Key: key})
		txn.Puts = append(txn.Puts, port.Put{Table: table, Key: key, Value: encode(row)})
	}
	return txn
}

// settleExisting answers the claims whose rows exist and returns the others.
func (w *writer) settleExisting(ctx context.Context, claims []claimAsk) []claimAsk {
	var rest []claimAsk
	for _, ask := range claims {
		stored, err := w.platform.Get(ctx, table, rowKey(ask.Payload))
		if err != nil {
			w.refuse([]claimAsk{ask}, err)
			continue
		}
		if stored.Revision == 0 {
			rest = append(rest, ask)
			continue
		}
		if err := judge(stored, ask.Payload.Attempt); err != nil {
			ask.Fail(err)
			continue
		}
		w.grant([]claimAsk{ask})
	}
	return rest
}

func judge(stored port.Row, attempt mesh.AttemptID) error {
	var row once.Row
	if err := json.Unmarshal(stored.Value, &row); err != nil {
		return result.KeyMayHaveRun.Errorf("row of the key can't be read: %v", err)
	}
	return once.CheckRow(row, attempt)
}

// grant answers claims whose rows are written. A call that left before never
// begins, so its key is freed.
func (w *writer) grant(claims []claimAsk) {
	for _, ask := range claims {
		if !ask.Respond(port.Claimed{}) {
			w.freeLater(ask.Payload)
		}
	}
}

func (w *writer) freeLater(c port.Claim) {
	if len(w.refusedClaims) < maxRefusedClaims {
		w.refusedClaims = append(w.refusedClaims, c)
	}
}

// refuse is true to its code: a claim that is not granted is never sent to the
// upstream, even if its row was written.
func (w *writer) refuse(claims []claimAsk, cause error) {
	w.refused.Inc(int64(len(claims)))
	for _, ask := range claims {
		ask.Fail(result.KeyStoreDown.Errorf("claim not written: %v", cause))
		w.freeLater(ask.Payload)
	}
}

// writeSettlements records answers and frees the keys of calls that never
// began. What fails stays claimed, which is answered "may have run".
func (w *writer) writeSettlements(ctx context.Context, settlements []settlementAsk) {
	var txn port.Txn
	for _, ask := range settlements {
		_ = w.addSettlement(ctx, &txn, ask.Payload)
	}
	if len(txn.Puts)+len(txn.Deletes) > 0 {
		err := w.platform.Commit(ctx, txn)
		if result.Of(err) == result.RowConflict { // one of the keys to be freed has changed
			_ = w.platform.Commit(ctx, port.Txn{Puts: txn.Puts})
		}
	}
	for _, ask := range settlements {
		ask.Respond(struct{}{})
	}
}

func (w *writer) addSettlement(ctx context.Context, txn *port.Txn, s port.Settlement) error {
	key := rowKey(s.Claim)
	if !s.NotRun {
		row := once.Row{Attempt: s.Claim.Attempt, Node: w.node, State: once.Ended, Status: s.Status, At: time.Now()}
		txn.Puts = append(txn.Puts, port.Put{Table: table, Key: key, Value: encode(row)})
		return nil
	}
	// The delete is tied to the revision that was read, so that a late one
	// can't remove the claim of another attempt.
	stored, err := w.platform.Get(ctx, table, key)
	if err != nil {
		return err
	}
	if stored.Revision == 0 || judge(stored, s.Claim.Attempt) != nil {
		return nil
	}
	txn.Checks = append(txn.Checks, port.Check{Table: table, Key: key, Revision: stored.Revision})
	txn.Deletes = append(txn.Deletes, port.Delete{Table: table, Key: key})
	return nil
}

func rowKey(c port.Claim) string {
	return url.PathEscape(string(c.Service)) + "/" + url.PathEscape(string(c.Caller)) + "/" + url.PathEscape(c.Key)
}

func encode(row once.Row) []byte {
	b, _ := json.Marshal(row) // a struct of plain fields always encodes
	return b
}
