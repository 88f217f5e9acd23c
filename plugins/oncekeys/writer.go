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
	node         mesh.NodeID
	platform     port.Table
	writeTimeout time.Duration
	batches      metrics.Counter
	refused      metrics.Counter
	// claimsToFree are claims whose calls did not start although their rows may
	// exist. They are freed when the platform is available again, so that a retry
	// with the same key is not refused as a second run.
	claimsToFree []port.Claim
}

const (
	// maxClaimsToFree bounds the memory of a long outage. Keys beyond it stay
	// claimed if their rows were written.
	maxClaimsToFree = 4096
	freeInterval    = 2 * time.Second
)

func newWriter(s *Settings) func(mesh.Identity, port.Table, metrics.Registry, *kernel.Ring[pendingBatch]) kernel.Duty {
	return func(id mesh.Identity, platform port.Table, reg metrics.Registry, in *kernel.Ring[pendingBatch]) kernel.Duty {
		w := &writer{
			node: id.Node, platform: platform, writeTimeout: s.Patience.Duration,
			batches: metrics.GetOrRegisterCounter("once.batches_written", reg),
			refused: metrics.GetOrRegisterCounter("once.claims_refused", reg),
		}
		return kernel.Duty{
			Name: "claim-writer", Owns: "the claim transaction in progress, refused claims to be freed", In: []string{"once.batches"},
			Run: func(ctx context.Context) error { return w.run(ctx, in) },
		}
	}
}

func (w *writer) run(ctx context.Context, in *kernel.Ring[pendingBatch]) error {
	ticker := time.NewTicker(freeInterval)
	defer ticker.Stop()
	for {
		select {
		case batch := <-in.C():
			w.write(ctx, batch)
		case <-ticker.C:
			w.freeClaims(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

// freeClaims frees claimsToFree, the oldest first, until the platform fails or
// freeInterval ends.
func (w *writer) freeClaims(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, freeInterval)
	defer cancel()
	for len(w.claimsToFree) > 0 {
		var txn port.Txn
		if w.addSettlement(ctx, &txn, port.Settlement{Claim: w.claimsToFree[0], NotRun: true}) != nil {
			return
		}
		if len(txn.Deletes) > 0 && result.Of(w.platform.Commit(ctx, txn)) != result.OK {
			return
		}
		w.claimsToFree = w.claimsToFree[1:]
	}
}

func (w *writer) write(ctx context.Context, batch pendingBatch) {
	ctx, cancel := context.WithTimeout(ctx, w.writeTimeout)
	defer cancel()
	w.batches.Inc(1)
	w.writeClaims(ctx, batch.claims)
	w.writeSettlements(ctx, batch.settlements)
}

// writeClaims creates the rows of all claims in one transaction. A conflict or a
// lost response is resolved row by row, after which the claims without a row are
// retried until the context ends.
func (w *writer) writeClaims(ctx context.Context, claims []claimRequest) {
	claims = w.rejectDuplicates(claims)
	for len(claims) > 0 {
		err := w.platform.Commit(ctx, w.claimTxn(claims))
		switch result.Of(err) {
		case result.OK:
			w.grant(claims)
			return
		case result.RowConflict, result.PlatformUnknown:
			claims = w.resolveExisting(ctx, claims)
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

// rejectDuplicates keeps one claim per key, since a transaction can't create a row
// twice, and drops the claims of cancelled calls.
func (w *writer) rejectDuplicates(claims []claimRequest) []claimRequest {
	seen := make(map[string]bool, len(claims))
	kept := claims[:0]
	for _, request := range claims {
		if request.Closed() {
			continue
		}
		key := rowKey(request.Payload)
		if seen[key] {
			request.Fail(result.KeyMayHaveRun.Errorf("another call is claiming the same key"))
			continue
		}
		seen[key] = true
		kept = append(kept, request)
	}
	return kept
}

func (w *writer) claimTxn(claims []claimRequest) port.Txn {
	var txn port.Txn
	for _, request := range claims {
		key := rowKey(request.Payload)
		row := once.Row{Attempt: request.Payload.Attempt, Node: w.node, State: once.Claimed, At: time.Now()}
		txn.Checks = append(txn.Checks, port.Check{Table: table, Key: key})
		txn.Puts = append(txn.Puts, port.Put{Table: table, Key: key, Value: encodeRow(row)})
	}
	return txn
}

// resolveExisting completes the claims whose rows exist and returns the others.
func (w *writer) resolveExisting(ctx context.Context, claims []claimRequest) []claimRequest {
	var missing []claimRequest
	for _, request := range claims {
		stored, err := w.platform.Get(ctx, table, rowKey(request.Payload))
		if err != nil {
			w.refuse([]claimRequest{request}, err)
			continue
		}
		if stored.Revision == 0 {
			missing = append(missing, request)
			continue
		}
		if err := checkRow(stored, request.Payload.Attempt); err != nil {
			request.Fail(err)
			continue
		}
		w.grant([]claimRequest{request})
	}
	return missing
}

func checkRow(stored port.Row, attempt mesh.AttemptID) error {
	var row once.Row
	if err := json.Unmarshal(stored.Value, &row); err != nil {
		return result.KeyMayHaveRun.Errorf("row of the key can't be decoded: %v", err)
	}
	return once.CheckRow(row, attempt)
}

// grant grants claims whose rows are written. A call that was cancelled meanwhile
// never starts, so its key is freed.
func (w *writer) grant(claims []claimRequest) {
	for _, request := range claims {
		if !request.Respond(port.Claimed{}) {
			w.queueFree(request.Payload)
		}
	}
}

func (w *writer) queueFree(c port.Claim) {
	if len(w.claimsToFree) < maxClaimsToFree {
		w.claimsToFree = append(w.claimsToFree, c)
	}
}

// refuse refuses claims with the code KeyStoreDown. Their calls are never sent to
// the upstream, as the code states, even if a row was written.
func (w *writer) refuse(claims []claimRequest, cause error) {
	w.refused.Inc(int64(len(claims)))
	for _, request := range claims {
		request.Fail(result.KeyStoreDown.Errorf("claim not written: %v", cause))
		w.queueFree(request.Payload)
	}
}

// writeSettlements records outcomes and frees the keys of calls that never started.
// A key whose write fails stays claimed, so further calls are refused as "may have
// run".
func (w *writer) writeSettlements(ctx context.Context, settlements []settlementRequest) {
	var txn port.Txn
	for _, request := range settlements {
		_ = w.addSettlement(ctx, &txn, request.Payload)
	}
	if len(txn.Puts)+len(txn.Deletes) > 0 {
		err := w.platform.Commit(ctx, txn)
		if result.Of(err) == result.RowConflict { // one of the keys to be freed has changed
			_ = w.platform.Commit(ctx, port.Txn{Puts: txn.Puts})
		}
	}
	for _, request := range settlements {
		request.Respond(struct{}{})
	}
}

func (w *writer) addSettlement(ctx context.Context, txn *port.Txn, s port.Settlement) error {
	key := rowKey(s.Claim)
	if !s.NotRun {
		row := once.Row{Attempt: s.Claim.Attempt, Node: w.node, State: once.Ended, Status: s.Status, At: time.Now()}
		txn.Puts = append(txn.Puts, port.Put{Table: table, Key: key, Value: encodeRow(row)})
		return nil
	}
	// The delete is conditional on the revision that was read, so that a delayed one
	// can't remove the claim of another attempt.
	stored, err := w.platform.Get(ctx, table, key)
	if err != nil {
		return err
	}
	if stored.Revision == 0 || checkRow(stored, s.Claim.Attempt) != nil {
		return nil
	}
	txn.Checks = append(txn.Checks, port.Check{Table: table, Key: key, Revision: stored.Revision})
	txn.Deletes = append(txn.Deletes, port.Delete{Table: table, Key: key})
	return nil
}

func rowKey(c port.Claim) string {
	return url.PathEscape(string(c.Service)) + "/" + url.PathEscape(string(c.Caller)) + "/" + url.PathEscape(c.Key)
}

func encodeRow(row once.Row) []byte {
	b, _ := json.Marshal(row) // a struct of plain fields can always be encoded
	return b
}
