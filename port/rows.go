package port

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/fx"

	"teaselring/decision/replica"
	"teaselring/kernel"
)

// Changes is the result of listing, following or writing the platform's tables.
type Changes struct {
	Rows     []replica.Row
	Revision uint64        // up to which the rows are complete
	Clock    time.Duration // the platform's monotonic clock
}

// Feed lists, follows and writes the platform's tables. Every call is bounded by its
// context.
//
// Errors: result.PlatformDown (nothing written), result.PlatformUnknown (a write
// may have taken effect or may still do so), result.PlatformLimit,
// result.RowConflict, result.HistoryGone.
type Feed interface {
	// List returns all rows of a table. They are complete up to the returned revision
	// and may include some later changes.
	List(ctx context.Context, table string) (Changes, error)
	// Follow long-polls for changes after a revision. It returns no rows when there
	// is no change within wait.
	Follow(ctx context.Context, table string, after uint64, wait time.Duration) (Changes, error)
	// Write commits a transaction and returns its revision and the platform's clock.
	Write(ctx context.Context, txn Txn) (Changes, error)
}

// OperatorTable is the name of the platform's table of the operator's rows.
type OperatorTable string

// NodeTable is the platform table of the nodes' own rows.
const NodeTable = "teaselring"

// Prefixes of the keys in NodeTable.
const (
	NodeRowPrefix    = "node/"
	RolloutRowPrefix = "rollout/"
)

// DecodeRow decodes the value of a row in NodeTable, which any writer may have written,
// and checks it.
func DecodeRow(value []byte, target interface{ Check() error }) error {
	if err := cbor.Unmarshal(value, target); err != nil {
		return err
	}
	return target.Check()
}

// RowsCell holds the node's replica of the rows. It is owned by the replica duty.
type RowsCell = kernel.Cell[replica.Set]

// RowsChanged wakes a duty that reads RowsCell.
type RowsChanged struct{}

// RowsSubscriber is a ring that gets an item after each change of RowsCell. Its
// capacity is 1 and it replaces the oldest item.
type RowsSubscriber struct{ Ring *kernel.Ring[RowsChanged] }

// RowsHint reports that another node has newer rows.
type RowsHint struct {
	Peer string // IP:port of its inbound edge
	Seen replica.Seen
}

// RowsHintRing leads from the call path to the sync duty. A lost hint is repeated by
// the next call.
type RowsHintRing = kernel.Ring[RowsHint]

// Clock derives the platform's monotonic clock from the local clock.
type Clock struct {
	At    time.Time     // local time of the reading
	Clock time.Duration // the platform's clock at that time
}

// Now returns the platform's clock at a local time.
func (c *Clock) Now(local time.Time) time.Duration { return c.Clock + local.Sub(c.At) }

// ClockCell is owned by the replica duty; nil before the platform's first response.
type ClockCell = kernel.Cell[Clock]

// SeenHeader carries the newest revisions that a node knows on calls between nodes.
const SeenHeader = "Teasel-Seen"

// FormatSeen encodes revisions as "table=revision" joined by commas.
func FormatSeen(seen replica.Seen) string {
	tables := slices.Sorted(maps.Keys(seen))
	parts := make([]string, len(tables))
	for i, table := range tables {
		parts[i] = table + "=" + strconv.FormatUint(seen[table], 10)
	}
	return strings.Join(parts, ",")
}

// SeenCache caches the result of FormatSeen: every call between nodes carries it, and
// it rarely changes.
type SeenCache struct{ last atomic.Pointer[cachedSeen] }

type cachedSeen struct {
	rows *replica.Set
	text string
}

// Format returns FormatSeen of the rows' revisions.
func (s *SeenCache) Format(rows *replica.Set) string {
	if last := s.last.Load(); last != nil && last.rows == rows {
		return last.text
	}
	text := FormatSeen(rows.Seen())
	s.last.Store(&cachedSeen{rows, text})
	return text
}

// ParseSeen decodes the format of FormatSeen. It skips malformed parts: the next call
// repeats the revisions, so a skipped one only delays a sync.
func ParseSeen(text string) replica.Seen {
	seen := replica.Seen{}
	for _, part := range strings.Split(text, ",") {
		table, number, _ := strings.Cut(part, "=")
		if revision, err := strconv.ParseUint(number, 10, 64); err == nil {
			seen[table] = revision
		}
	}
	return seen
}

// ProvideRowsSubscriber provides a ring of the given name, wrapped in the subscriber's
// own type, and subscribes it to changes from the replica duty.
func ProvideRowsSubscriber[W any](name string, wrap func(*kernel.Ring[RowsChanged]) W) fx.Option {
	var ring *kernel.Ring[RowsChanged]
	return fx.Options(
		kernel.ProvideWrappedRing(name, 1, kernel.ReplaceOldest, func(r *kernel.Ring[RowsChanged]) W {
			ring = r
			return wrap(r)
		}),
		fx.Provide(fx.Annotate(func(W) RowsSubscriber { return RowsSubscriber{Ring: ring} }, fx.ResultTags(`group:"rows_subscribers"`))),
	)
}
