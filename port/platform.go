// Package port holds the interfaces, rings and cells through which plug-ins
// communicate, so that no plug-in imports another.
package port

import "context"

// Row is one row of the platform's table service.
type Row struct {
	Key      string
	Value    []byte
	Revision uint64 // 0: the row does not exist
}

// Check is a precondition of a transaction: the row has exactly this revision.
type Check struct {
	Table, Key string
	Revision   uint64 // 0: the row does not exist
}

// Put writes one row.
type Put struct {
	Table, Key string
	Value      []byte
}

// Delete removes one row.
type Delete struct{ Table, Key string }

// Txn is an atomic transaction: it is written only when all checks hold.
type Txn struct {
	Checks  []Check
	Puts    []Put
	Deletes []Delete
}

// Table is the platform's transactional table service. Every call is bounded
// by its context and by the client's own timeout.
//
// Errors: result.PlatformDown (not written), result.PlatformUnknown (a write
// may have taken effect), result.PlatformLimit, result.RowConflict.
type Table interface {
	Get(ctx context.Context, table, key string) (Row, error)
	// Scan returns at most limit rows with the prefix and keys after the given one.
	Scan(ctx context.Context, table, prefix, after string, limit int) ([]Row, error)
	Commit(ctx context.Context, txn Txn) error
}

// Objects is the platform's object store. Its reads may lag behind the table's;
// objects are named by the hash of their content.
type Objects interface {
	PutObject(ctx context.Context, key string, content []byte) error
	GetObject(ctx context.Context, key string) ([]byte, error)
}
