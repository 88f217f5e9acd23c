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
	// maxAttempts bounds how often a publication that lost the race for the
	// head is merged and tried again.
	maxAttempts = 8
	// Waits between attempts to find out whether a write took effect.
	firstWait = 50 * time.Millisecond
	maxWait   = time.Second
)

// publication is one change on its way to the platform.
type publication struct {
	*publisher
	query port.Publish
	base  *mesh.Snapshot // version that the change was made against
	// unknown is set when the answer to a commit was lost. From then on the
	// outcome is only known after a read.
	unknown bool
	wait    time.Duration
}

// run tries until the change is written, refused or out of time. Repeating is
// safe at any point: the transaction demands that the publication's row does
// not exist, so one id is written once.
func (p *publication) run(ctx context.Context) (port.Published, error) {
	lost := 0
	for {
		published, err := p.try(ctx)
		switch code := result.Of(err); {
		case err == nil:
			return published, nil
		case code == result.RowConflict:
			if lost++; lost > maxAttempts {
				return port.Published{}, result.Conflict.Errorf("the head changed during each of %d attempts", lost)
			}
			p.retries.Inc(1)
		case code == result.PlatformLimit && !p.unknown: // nothing was written
			if !p.pause(ctx) {
				return port.Published{}, err
			}
		case code == result.PlatformUnknown || p.unknown && retryable(code):
			p.unknown = true
			if !p.pause(ctx) {
				return port.Published{}, result.PlatformUnknown.Errorf("publication %q may have taken effect; repeat it with the same id to find out", p.query.Publication).
					With("publication", p.query.Publication)
			}
		default:
			return port.Published{}, err
		}
	}
}

// retryable reports whether a failed read of an unknown outcome may succeed
// later.
func retryable(code *result.Code) bool {
	switch code {
	case result.PlatformDown, result.PlatformLimit, result.StaleObject, result.Internal:
		return true
	}
	return false
}

// pause waits before the outcome is looked up again, and reports whether there
// is time left.
func (p *publication) pause(ctx context.Context) bool {
	p.wait = min(max(2*p.wait, firstWait), maxWait)
	timer := time.NewTimer(p.wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// try is one attempt on the current head.
func (p *publication) try(ctx context.Context) (port.Published, error) {
	row, err := readHead(ctx, p.Table)
	if err != nil {
		return port.Published{}, err
	}
	// The lookup comes after the head was read: a write of this publication
	// that it does not see changes the head, and this attempt then fails.
	if !p.query.DryRun {
		if published, found, err := p.find(ctx); err != nil || found {
			return published, err
		}
	}
	head, err := p.snapshot(ctx, &row)
	if err != nil {
		return port.Published{}, err
	}
	if err := p.resolveBase(ctx, head); err != nil {
		return port.Published{}, err
	}
	edit := config.Edit{Records: p.query.Records, Remove: p.query.Remove}
	records, merged, err := config.Merge(p.base, head, edit)
	if err != nil {
		return port.Published{}, err
	}
	content, err := config.Encode(records)
	if err != nil {
		return port.Published{}, err
	}
	if p.query.DryRun || sameContent(head, content) {
		return port.Published{Version: row.Version, Merged: merged}, nil
	}
	return p.write(ctx, &row, content, merged)
}

func sameContent(head *mesh.Snapshot, content []byte) bool {
	return head != nil && head.Digest == config.DigestOf(content)
}

// find returns the outcome of the publication if it was written before.
func (p *publication) find(ctx context.Context) (port.Published, bool, error) {
	row, err := p.Table.Get(ctx, configTable, publicationPrefix+p.query.Publication)
	if err != nil || row.Revision == 0 {
		return port.Published{}, false, err
	}
	var written publicationRow
	if err := json.Unmarshal(row.Value, &written); err != nil {
		return port.Published{}, false, result.Internal.Errorf("row of publication %q can't be decoded: %v", p.query.Publication, err)
	}
	return port.Published(written), true, nil
}

// snapshot returns the version that the head names, nil when there is none.
func (p *publication) snapshot(ctx context.Context, row *headRow) (*mesh.Snapshot, error) {
	head, err := row.decoded()
	if err != nil || head.Version == 0 {
		return nil, err
	}
	return readSnapshot(ctx, p.Objects, head)
}

// resolveBase finds the base of the change in the first attempt. It stays the
// same when the race for the head is lost, so that later changes by others are
// compared with what the operator knew.
func (p *publication) resolveBase(ctx context.Context, head *mesh.Snapshot) error {
	if p.base != nil {
		return nil
	}
	var newest mesh.Version
	if head != nil {
		newest = head.Version
	}
	switch {
	case p.query.Base > newest:
		return result.UnknownVersion.Errorf("base version %d does not exist; the newest is %d", p.query.Base, newest)
	case newest == 0:
		p.base = &mesh.Snapshot{}
		return nil
	case p.query.Base == 0 || p.query.Base == newest:
		p.base = head
		return nil
	}
	base, err := readVersion(ctx, p.Table, p.Objects, p.query.Base)
	p.base = base
	return err
}

// write puts the object, then the head with its audit entry in one
// transaction.
func (p *publication) write(ctx context.Context, old *headRow, content []byte, merged bool) (port.Published, error) {
	digest := config.DigestOf(content)
	if err := p.putObject(ctx, config.ObjectKey(digest), content); err != nil {
		return port.Published{}, err
	}
	at := time.Now()
	next := headRow{
		Version:     old.Version + 1,
		Object:      config.ObjectKey(digest),
		Publication: p.query.Publication,
		By:          p.query.By,
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

// putObject repeats a put once when its answer is lost: the object is named by
// its content, so a second put changes nothing. The head is untouched then.
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
		Why:      p.query.Why,
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
