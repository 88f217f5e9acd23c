package configsource

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"teaselring/decision/config"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/result"
)

const (
	// maxConflictRetries limits how often a publication is merged and tried again
	// after a concurrent change of the head.
	maxConflictRetries = 8
	// Backoff after a rate limit or a commit with an unknown outcome.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
)

// publication is the state of publishing one change.
type publication struct {
	*publisher
	request port.Publish
	base    *mesh.Snapshot // version that the change was made against
	// outcomeUnknown is set when the response to a commit was lost. From then on
	// only a read shows the outcome.
	outcomeUnknown bool
	backoff        time.Duration
}

// run retries until the change is written, refused or timed out. A retry is
// always safe: the transaction requires that the publication's row does not
// exist, so each id is written at most once.
func (p *publication) run(ctx context.Context) (port.Published, error) {
	conflicts := 0
	for {
		published, err := p.try(ctx)
		switch code := result.Of(err); {
		case err == nil:
			return published, nil
		case code == result.RowConflict:
			if conflicts++; conflicts > maxConflictRetries {
				return port.Published{}, result.Conflict.Errorf("the head changed during each of %d attempts", conflicts)
			}
			p.retries.Inc(1)
		case code == result.PlatformLimit && !p.outcomeUnknown: // nothing was written
			if !p.waitBackoff(ctx) {
				return port.Published{}, err
			}
		case code == result.PlatformUnknown || p.outcomeUnknown && retryable(code):
			p.outcomeUnknown = true
			if !p.waitBackoff(ctx) {
				return port.Published{}, result.PlatformUnknown.Errorf("publication %q may have taken effect; repeat it with the same id to find out", p.request.Publication).
					With("publication", p.request.Publication)
			}
		default:
			return port.Published{}, err
		}
	}
}

// retryable reports whether a later read of an unknown outcome may succeed after
// this failure.
func retryable(code *result.Code) bool {
	switch code {
	case result.PlatformDown, result.PlatformLimit, result.StaleObject, result.Internal:
		return true
	}
	return false
}

// waitBackoff waits before the next attempt. It returns false when the context
// ends first.
func (p *publication) waitBackoff(ctx context.Context) bool {
	p.backoff = min(max(2*p.backoff, minBackoff), maxBackoff)
	timer := time.NewTimer(p.backoff)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// try makes one attempt against the current head.
func (p *publication) try(ctx context.Context) (port.Published, error) {
	row, err := readHead(ctx, p.Table)
	if err != nil {
		return port.Published{}, err
	}
	// The lookup follows the read of the head: a write of this publication that
	// the lookup misses changes the head, so the commit of this attempt fails.
	if !p.request.DryRun {
		if published, found, err := p.findOutcome(ctx); err != nil || found {
			return published, err
		}
	}
	head, err := p.headSnapshot(ctx, &row)
	if err != nil {
		return port.Published{}, err
	}
	if err := p.resolveBase(ctx, head); err != nil {
		return port.Published{}, err
	}
	edit := config.Edit{Records: p.request.Records, Remove: p.request.Remove}
	records, merged, err := config.Merge(p.base, head, edit)
	if err != nil {
		return port.Published{}, err
	}
	content, err := config.Encode(records)
	if err != nil {
		return port.Published{}, err
	}
	if p.request.DryRun || sameContent(head, content) {
		return port.Published{Version: row.Version, Merged: merged}, nil
	}
	return p.write(ctx, &row, content, merged)
}

func sameContent(head *mesh.Snapshot, content []byte) bool {
	return head != nil && head.Digest == config.DigestOf(content)
}

// findOutcome returns the outcome of the publication if it was written already.
func (p *publication) findOutcome(ctx context.Context) (port.Published, bool, error) {
	row, err := p.Table.Get(ctx, configTable, publicationPrefix+p.request.Publication)
	if err != nil || row.Revision == 0 {
		return port.Published{}, false, err
	}
	var written publicationRow
	if err := json.Unmarshal(row.Value, &written); err != nil {
		return port.Published{}, false, result.Internal.Errorf("row of publication %q can't be decoded: %v", p.request.Publication, err)
	}
	return port.Published(written), true, nil
}

// headSnapshot returns the version at the head, or nil when nothing was published.
func (p *publication) headSnapshot(ctx context.Context, row *headRow) (*mesh.Snapshot, error) {
	head, err := row.toConfigHead()
	if err != nil || head.Version == 0 {
		return nil, err
	}
	return readSnapshot(ctx, p.Objects, head)
}

// resolveBase loads the base of the change in the first attempt. Retries keep
// it, so that concurrent changes are compared with the version that the operator
// edited.
func (p *publication) resolveBase(ctx context.Context, head *mesh.Snapshot) error {
	if p.base != nil {
		return nil
	}
	var newest mesh.Version
	if head != nil {
		newest = head.Version
	}
	switch {
	case p.request.Base > newest:
		return result.UnknownVersion.Errorf("base version %d does not exist; the newest is %d", p.request.Base, newest)
	case newest == 0:
		p.base = &mesh.Snapshot{}
		return nil
	case p.request.Base == 0 || p.request.Base == newest:
		p.base = head
		return nil
	}
	base, err := readVersion(ctx, p.Table, p.Objects, p.request.Base)
	p.base = base
	return err
}

// write stores the object, then writes the head, the publication's row and the
// audit entry in one transaction.
func (p *publication) write(ctx context.Context, old *headRow, content []byte, merged bool) (port.Published, error) {
	digest := config.DigestOf(content)
	if err := p.putObject(ctx, config.ObjectKey(digest), content); err != nil {
		return port.Published{}, err
	}
	at := time.Now()
	next := headRow{
		Version:     old.Version + 1,
		Object:      config.ObjectKey(digest),
		Publication: p.request.Publication,
		By:          p.request.By,
		At:          at.UTC(),
	}
	txn, err := p.transaction(old, &next, merged)
	if err != nil {
		return port.Published{}, err
	}
	if err := p.Table.Commit(ctx, txn); err != nil {
		return port.Published{}, err
	}
	p.announce(ctx, port.ConfigHead{Version: next.Version, Digest: digest}, content, at)
	return port.Published{Version: next.Version, Merged: merged}, nil
}

// putObject retries once when the response is lost: the key is derived from the
// content, so a second put is idempotent. A failure leaves the head unchanged.
func (p *publication) putObject(ctx context.Context, key string, content []byte) error {
	err := p.Objects.PutObject(ctx, key, content)
	if result.Of(err) == result.PlatformUnknown {
		err = p.Objects.PutObject(ctx, key, content)
	}
	if result.Of(err) == result.PlatformUnknown {
		return result.PlatformDown.Errorf("object %s can't be stored; the head was not changed", key)
	}
	return err
}

func (p *publication) transaction(old, next *headRow, merged bool) (port.Txn, error) {
	entry := port.AuditEntry{
		Stream:   port.ConfigStream,
		Sequence: uint64(next.Version),
		Time:     next.At,
		Who:      next.By,
		Action:   "publish",
		Subject:  next.Publication,
		From:     old.Object,
		To:       next.Object,
		Why:      p.request.Why,
		Version:  next.Version,
	}
	auditKey := port.AuditKey(entry.Stream, entry.Sequence)
	publicationKey := publicationPrefix + next.Publication
	txn := port.Txn{Checks: []port.Check{
		{Table: configTable, Key: headKey, Revision: old.revision},
		{Table: configTable, Key: publicationKey},
		{Table: port.AuditTable, Key: auditKey},
	}}
	for _, put := range []struct {
		table, key string
		value      any
	}{
		{configTable, headKey, next},
		{configTable, publicationKey, publicationRow{Version: next.Version, Merged: merged}},
		{port.AuditTable, auditKey, entry},
	} {
		value, err := json.Marshal(put.value)
		if err != nil {
			return port.Txn{}, fmt.Errorf("row %s/%s: %w", put.table, put.key, err)
		}
		txn.Puts = append(txn.Puts, port.Put{Table: put.table, Key: put.key, Value: value})
	}
	return txn, nil
}
