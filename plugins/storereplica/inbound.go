package storereplica

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"teaselring/decision/replica"
	"teaselring/mesh"
	"teaselring/port"
)

// inbound serves rows to other nodes.
type inbound struct {
	node         mesh.NodeID
	rows         *port.RowsCell
	clock        *port.ClockCell
	source       *source
	lastResponse atomic.Pointer[cachedResponse]
}

// cachedResponse is the last encoded response. The nodes of a zone request the same
// rows.
type cachedResponse struct {
	set     *replica.Set
	seen    string
	current bool
	at      time.Time
	body    []byte
}

// responseCacheTTL is how long a response is reused; it contains the store's clock.
const responseCacheTTL = 200 * time.Millisecond

func newInboundRoute(identity mesh.Identity, rows *port.RowsCell, clock *port.ClockCell, src *source) port.InboundRoute {
	return port.InboundRoute{Path: rowsPath, Handler: &inbound{node: identity.Node, rows: rows, clock: clock, source: src}}
}

// ServeHTTP handles one request for rows.
func (i *inbound) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	text := r.Header.Get(port.SeenHeader)
	seen := port.ParseSeen(text)
	wait, _ := strconv.ParseInt(r.Header.Get(waitHeader), 10, 64) // none: no wait
	set := awaitNewerRows(r.Context(), i.rows, i.source, seen, min(time.Duration(wait)*time.Millisecond, maxPoll))
	body, err := i.encode(set, text, seen)
	if err != nil {
		port.Refuse(w, err)
		return
	}
	_, _ = w.Write(body)
}

func (i *inbound) encode(set *replica.Set, text string, seen replica.Seen) ([]byte, error) {
	now := time.Now()
	current := i.source.current(now)
	if e := i.lastResponse.Load(); e != nil && e.set == set && e.seen == text && e.current == current && now.Sub(e.at) < responseCacheTTL {
		return e.body, nil
	}
	response := &rowsResponse{Rows: set.RowsNewerThan(seen), Current: current, Node: i.node}
	if c := i.clock.Load(); c != nil {
		response.Clock = c.Now(now)
	}
	for _, table := range []string{i.source.operator, port.NodeTable} {
		if set.Listed(table) {
			response.Listed = append(response.Listed, table)
		}
	}
	body, err := encodeRows(response)
	if err == nil {
		i.lastResponse.Store(&cachedResponse{set: set, seen: text, current: current, at: now, body: body})
	}
	return body, err
}

// awaitNewerRows returns the rows once they are newer than seen, the store is lost or
// the wait is over. A node that has just begun to read the store waits up to
// firstContactTimeout for its first response, since all nodes of the zone send it
// requests at that moment. A starting node that has not yet selected its source
// keeps requests waiting too, so that it is not skipped.
func awaitNewerRows(ctx context.Context, rows *port.RowsCell, src *source, seen replica.Seen, wait time.Duration) *replica.Set {
	deadline, contactDeadline := time.Now().Add(wait), time.Now().Add(min(wait, firstContactTimeout))
	for {
		next := src.changed.wait()
		set, now := rows.Load(), time.Now()
		endsAt := deadline
		if src.decided.Load() && !src.current(now) {
			endsAt = contactDeadline
		}
		if seen.Behind(set.Seen()) || !now.Before(endsAt) {
			return set
		}
		timer := time.NewTimer(endsAt.Sub(now))
		select {
		case <-next:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return set
		}
		timer.Stop()
	}
}
