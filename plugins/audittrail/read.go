package audittrail

import (
	"context"
	"encoding/json"
	"strings"

	"teaselring/port"
	"teaselring/result"
)

// maxPage bounds the entries of one page.
const maxPage = 1000

// reader reads streams back. It implements port.AuditReader.
type reader struct{ table port.Table }

// Read returns a page of a stream. Limit is clamped to 1 to 1,000.
func (r reader) Read(ctx context.Context, stream string, after uint64, limit int) (port.AuditPage, error) {
	if stream == "" || strings.HasSuffix(stream, "/") {
		return port.AuditPage{}, result.BadRequest.Errorf("stream %q is not allowed; allowed are config, move/<id> and node/<id>/<incarnation>", stream)
	}
	limit = min(max(limit, 1), maxPage)
	rows, err := r.table.Scan(ctx, port.AuditTable, stream+"/", port.AuditKey(stream, after), limit+1)
	if err != nil {
		return port.AuditPage{}, err
	}
	page := port.AuditPage{More: len(rows) > limit}
	for _, row := range rows[:min(len(rows), limit)] {
		var entry port.AuditEntry
		if err := json.Unmarshal(row.Value, &entry); err != nil {
			return port.AuditPage{}, result.Internal.Errorf("audit entry %s can't be decoded: %v", row.Key, err)
		}
		if entry.Stream == stream { // not of a stream whose name has this one as its prefix
			page.Entries = append(page.Entries, entry)
		}
	}
	page.Gaps, page.Lost = gaps(page.Entries, after)
	return page, nil
}

// gaps returns the ranges of missing sequence numbers between after and the last
// entry, and the number of entries that were dropped before they got a number.
func gaps(entries []port.AuditEntry, after uint64) ([]port.AuditGap, uint64) {
	var found []port.AuditGap
	var lost uint64
	for _, entry := range entries {
		if entry.Sequence > after+1 {
			found = append(found, port.AuditGap{From: after + 1, To: entry.Sequence - 1})
		}
		after = entry.Sequence
		lost += entry.Lost
	}
	return found, lost
}
