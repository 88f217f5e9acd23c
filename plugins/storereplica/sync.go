package storereplica

import (
	"bytes"
	"compress/flate"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/phuslu/log"
	"go.uber.org/fx"

	"teaselring/decision/replica"
	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/result"
)

const (
	rowsPath = "/rows"
	// waitHeader is the time in ms for which a request waits for newer rows.
	waitHeader = "Teasel-Wait-Ms"
	// hintDelay is how long a hint waits for the node's own poll to return the rows
	// that another node already has; the store responds within a few ms.
	hintDelay = 150 * time.Millisecond
	// responseTimeout bounds the time from the end of a request's wait to the start of
	// the response, bodyTimeout the read of the body.
	responseTimeout = 400 * time.Millisecond
	bodyTimeout     = 1500 * time.Millisecond
	// maxResponseBytes is far above the size of all rows.
	maxResponseBytes = 16 << 20
	// storeLostRetryDelay is the time between two searches for a node connected to the
	// store after all candidates have lost it.
	storeLostRetryDelay = 300 * time.Millisecond
	// viewPollInterval is the poll interval of the view while the node starts.
	viewPollInterval = 50 * time.Millisecond
	// firstContactTimeout is the time for the first response of the store to a node
	// that begins to read it.
	firstContactTimeout = 300 * time.Millisecond
	// connectTimeout is far above a round trip within a zone; a removed machine does
	// not respond at all.
	connectTimeout = 250 * time.Millisecond
)

// rowsResponse is the response to another node's request for rows.
type rowsResponse struct {
	Rows    []replica.Row `cbor:"1,keyasint"`
	Listed  []string      `cbor:"2,keyasint"` // tables that the sender has listed
	Current bool          `cbor:"3,keyasint"` // the sender is connected to the store, directly or through other nodes
	Clock   time.Duration `cbor:"4,keyasint"` // of the store; 0: unknown
	Node    mesh.NodeID   `cbor:"5,keyasint"` // the sender
}

type syncIn struct {
	fx.In
	Identity mesh.Identity
	Hints    *port.RowsHintRing
	Out      *batchRing
	Rows     *port.RowsCell
	View     *port.ViewCell
	Source   *source
	Logger   *log.Logger
}

// peerSync is the duty that selects the source of the rows, follows another node if
// that is the source, and fetches rows from nodes that are ahead.
type peerSync struct {
	syncIn
	client  *http.Client
	backoff *replica.PeerBackoff
	// following is the node of the last request; empty: none.
	following mesh.NodeID
}

func newSync(in syncIn) kernel.Duty {
	s := &peerSync{
		syncIn: in, backoff: replica.NewPeerBackoff(), client: &http.Client{Transport: &http.Transport{
			DialContext:     (&net.Dialer{Timeout: connectTimeout}).DialContext,
			IdleConnTimeout: 5 * time.Second, DisableCompression: true,
		}},
	}
	return kernel.Duty{
		Name: "peer-sync", Owns: "the source of the rows and the backoff of other nodes", In: []string{hintRing}, Out: []string{rowsRing}, Run: s.run,
	}
}

func (s *peerSync) run(ctx context.Context) error {
	for ctx.Err() == nil {
		if !s.hasNodeView() {
			s.awaitHint(ctx, viewPollInterval)
			continue
		}
		choice := replica.Source(s.View.Load(), s.Identity, s.backoff, time.Now())
		s.Source.setReadStore(choice.ReadStore)
		if choice.Peer == nil {
			s.following = ""
		}
		switch {
		case choice.ReadStore:
			s.awaitHint(ctx, maxPoll)
		case choice.Peer == nil:
			s.awaitHint(ctx, storeLostRetryDelay)
		default:
			s.follow(ctx, choice.Peer)
		}
	}
	return nil
}

// hasNodeView reports whether the nodes' table was listed and the view contains
// all its nodes.
func (s *peerSync) hasNodeView() bool {
	set := s.Rows.Load()
	return set.Listed(port.NodeTable) && port.ViewCoversRows(s.View.Load(), set)
}

// awaitHint handles one hint or returns after wait, so that the source is selected
// again. It is used while the node follows no other.
func (s *peerSync) awaitHint(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case hint := <-s.Hints.C():
		s.handleHint(ctx, &hint)
	case <-timer.C:
	case <-ctx.Done():
	}
}

// handleHint fetches rows from a node that is ahead, unless this node's own poll
// returns them within hintDelay.
func (s *peerSync) handleHint(ctx context.Context, hint *port.RowsHint) {
	if !s.Rows.Load().Seen().Behind(hint.Seen) {
		return
	}
	_ = kernel.Sleep(ctx, hintDelay)
	if !s.Rows.Load().Seen().Behind(hint.Seen) {
		return
	}
	if newer, err := s.fetchRows(ctx, hint.Peer, 0); err != nil {
		s.Logger.Warn().Str("peer", hint.Peer).Err(err).Msg("rows of another node not fetched")
	} else {
		s.submitRows(ctx, hint.Peer, newer)
	}
}

// follow long-polls a node for newer rows. A node that does not respond in time or
// has lost the store is skipped for its backoff.
func (s *peerSync) follow(ctx context.Context, m *mesh.Member) {
	wait := maxPoll
	if s.following != m.Node {
		// The first request does not wait: its response shows whether the node is
		// connected to the store, and others may follow this node.
		s.following, wait = m.Node, 0
	}
	newer, err := s.fetchRows(ctx, m.PeerAddress, wait)
	if err == nil && newer.Node != m.Node {
		// Addresses of removed machines are reused. Two nodes that each mistook the
		// other for an earlier node in the order reported each other as connected.
		err = result.WrongIncarnation.Errorf("node %q has the address %s", newer.Node, m.PeerAddress)
	}
	if err == nil {
		s.submitRows(ctx, m.PeerAddress, newer)
		if newer.Current {
			s.backoff.RecordConnected(m)
			if m.Zone == s.Identity.Zone { // not across zones: two zones could follow each other in a circle
				s.Source.recordContact()
			}
			return
		}
		s.backoff.RecordStoreLost(m, time.Now())
		err = result.PlatformDown.Errorf("the node has lost the store")
	} else {
		s.backoff.RecordNoResponse(m, time.Now())
	}
	if ctx.Err() == nil {
		s.Source.recordLoss()
		s.Logger.Warn().Str("node", string(m.Node)).Err(err).Msg("node no longer followed")
	}
}

func (s *peerSync) submitRows(ctx context.Context, peer string, newer *rowsResponse) {
	s.Logger.Debug().Str("peer", peer).Int("rows", len(newer.Rows)).Msg("rows fetched from another node")
	b := batch{changes: port.Changes{Rows: newer.Rows, Clock: newer.Clock}, source: peer, listedTables: newer.Listed, receivedAt: time.Now(), applied: make(chan struct{})}
	if s.Out.Send(ctx, b) != nil {
		return // the node is stopping
	}
	select {
	case <-b.applied: // so that the next request does not fetch the same rows
	case <-ctx.Done():
	}
}

func (s *peerSync) fetchRows(ctx context.Context, peer string, wait time.Duration) (*rowsResponse, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+peer+rowsPath, nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set(port.SeenHeader, port.FormatSeen(s.Rows.Load().Seen()))
	request.Header.Set(waitHeader, strconv.FormatInt(wait.Milliseconds(), 10))
	deadline := time.AfterFunc(wait+responseTimeout, cancel)
	defer func() { deadline.Stop() }()
	response, err := s.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if deadline.Stop() {
		deadline = time.AfterFunc(bodyTimeout, cancel)
	}
	return decodeRows(response.Body)
}

// encodeRows encodes and compresses a response. A configuration shrinks to about an
// eighth, which matters when one node on a slow link serves all others of its zone.
func encodeRows(response *rowsResponse) ([]byte, error) {
	var out bytes.Buffer
	compressor, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err := cbor.NewEncoder(compressor).Encode(response); err != nil {
		return nil, err
	}
	if err := compressor.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

func decodeRows(in io.Reader) (*rowsResponse, error) {
	body, err := io.ReadAll(io.LimitReader(flate.NewReader(in), maxResponseBytes))
	if err != nil {
		return nil, err
	}
	var newer rowsResponse
	return &newer, cbor.Unmarshal(body, &newer)
}

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
