package platformmemory

import (
	"bytes"
	"context"
	"strconv"
	"time"

	"teaselring/kernel"
	"teaselring/port"
	"teaselring/result"
)

// callTimeout bounds each call of a Store. It equals the default timeout of
// platform.http.
const callTimeout = 2 * time.Second

// Store is a platform in memory. It sends its calls to the goroutine in Run, which
// owns the tables. It implements port.Table and port.Objects.
type Store struct{ ring *requestRing }

type (
	requestRing = kernel.Ring[kernel.Request[request, response]]

	// request is one operation on the tables.
	request func(*tables) response

	response struct {
		row     port.Row
		rows    []port.Row
		outcome Outcome
		content []byte
		found   bool
	}
)

const (
	ringName     = "platform.requests"
	ringCapacity = 256
)

// New returns an empty store outside of an application. Its owner calls Run.
func New() *Store {
	return newStore(kernel.NewRing[kernel.Request[request, response]](ringName, ringCapacity, kernel.WaitUntilDeadline))
}

func newStore(ring *requestRing) *Store { return &Store{ring: ring} }

// Run owns the tables and serves requests until ctx ends. It is called once.
func (s *Store) Run(ctx context.Context) error {
	owned := newTables()
	for {
		select {
		case request := <-s.ring.C():
			request.Respond(request.Payload(owned))
		case <-ctx.Done():
			return nil
		}
	}
}

func (s *Store) do(ctx context.Context, r request) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return kernel.Do(ctx, s.ring, r)
}

// read maps any failure to result.PlatformDown.
func (s *Store) read(ctx context.Context, r request) (response, error) {
	resp, err := s.do(ctx, r)
	if err != nil {
		return resp, result.PlatformDown.Errorf("platform in memory: %v", err)
	}
	return resp, nil
}

// write maps a request that was queued but got no response to
// result.PlatformUnknown, and a full ring to result.PlatformDown.
func (s *Store) write(ctx context.Context, r request) (response, error) {
	resp, err := s.do(ctx, r)
	switch {
	case err == nil:
		return resp, nil
	case result.Of(err) == result.RingFull:
		return resp, result.PlatformDown.Errorf("platform in memory: %v", err)
	default:
		return resp, result.PlatformUnknown.Errorf("platform in memory: %v", err)
	}
}

// Get implements port.Table.
func (s *Store) Get(ctx context.Context, table, key string) (port.Row, error) {
	resp, err := s.read(ctx, func(t *tables) response { return response{row: t.get(table, key)} })
	return resp.row, err
}

// Scan implements port.Table.
func (s *Store) Scan(ctx context.Context, table, prefix, after string, limit int) ([]port.Row, error) {
	resp, err := s.read(ctx, func(t *tables) response { return response{rows: t.scan(table, prefix, after, limit)} })
	return resp.rows, err
}

// Commit implements port.Table.
func (s *Store) Commit(ctx context.Context, txn port.Txn) error {
	outcome, err := s.Apply(ctx, txn)
	if err != nil || len(outcome.Conflicts) == 0 {
		return err
	}
	first := outcome.Conflicts[0]
	revision := strconv.FormatUint(first.Row.Revision, 10)
	return result.RowConflict.Errorf("row %s/%s has revision %s", first.Table, first.Row.Key, revision).
		With("table", first.Table).With("key", first.Row.Key).With("revision", revision)
}

// Apply is like Commit but returns all conflicts, which are no error here.
func (s *Store) Apply(ctx context.Context, txn port.Txn) (Outcome, error) {
	resp, err := s.write(ctx, func(t *tables) response { return response{outcome: t.commit(txn)} })
	return resp.outcome, err
}

// PutObject implements port.Objects.
func (s *Store) PutObject(ctx context.Context, key string, content []byte) error {
	content = bytes.Clone(content)
	_, err := s.write(ctx, func(t *tables) response { t.objects[key] = content; return response{} })
	return err
}

// GetObject implements port.Objects. The content must not be changed.
func (s *Store) GetObject(ctx context.Context, key string) ([]byte, error) {
	resp, err := s.read(ctx, func(t *tables) response {
		content, found := t.objects[key]
		return response{content: content, found: found}
	})
	if err == nil && !resp.found {
		err = result.ObjectMissing.Errorf("object %q does not exist", key)
	}
	return resp.content, err
}

var (
	_ port.Table   = (*Store)(nil)
	_ port.Objects = (*Store)(nil)
)
