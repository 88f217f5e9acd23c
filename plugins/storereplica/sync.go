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
	// waitHeader is the time in ms for which a question waits for newer rows.
	waitHeader = "Teasel-Wait-Ms"
	// syncDelay is the time for the node's own poll to bring what another node
	// has already; the store answers within a few ms.
	syncDelay = 150 * time.Millisecond
	// syncTimeout is what a question to another node may take beyond its wait until
	// the answer begins, bodyTimeout what the answer may take.
	syncTimeout = 400 * time.Millisecond
	bodyTimeout = 1500 * time.Millisecond
	// maxSync is in bytes; the rows of a node's replica are far below.
	maxSync = 16 << 20
	// lostPause is the time between two looks for a node that is in touch with the
	// store when all that were asked are not.
	lostPause = 300 * time.Millisecond
	// viewWait is the time between two looks at the view of a node that starts.
	viewWait = 50 * time.Millisecond
	// firstContact is the time for the first answer of the store to a node that
	// begins to follow it.
	firstContact = 300 * time.Millisecond
	// connectTimeout is far above a round trip within a zone; a machine that is gone
	// does not answer at all.
	connectTimeout = 250 * time.Millisecond
)

// newerRows is the answer to another node that asks for rows.
type newerRows struct {
	Rows    []replica.Row `cbor:"1,keyasint"`
	Listed  []string      `cbor:"2,keyasint"` // tables that the sender has listed
	Current bool          `cbor:"3,keyasint"` // the sender is in touch with the store, by itself or through others
	Clock   time.Duration `cbor:"4,keyasint"` // of the store, 0 when the sender does not know it
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

// peerSync is the duty that follows nodes of its zone that follow the store, and
// asks nodes that are ahead.
type peerSync struct {
	syncIn
	client *http.Client
	passed *replica.PeerBackoff
	// following is the node that was asked last; empty: none.
	following mesh.NodeID
}

func newSync(in syncIn) kernel.Duty {
	s := &peerSync{
		syncIn: in, passed: replica.NewPeerBackoff(), client: &http.Client{Transport: &http.Transport{
			DialContext:     (&net.Dialer{Timeout: connectTimeout}).DialContext,
			IdleConnTimeout: 5 * time.Second, DisableCompression: true,
		}},
	}
	return kernel.Duty{
		Name: "peer-sync", Owns: "which nodes are followed or passed over", In: []string{hintRing}, Out: []string{rowsRing}, Run: s.run,
	}
}

func (s *peerSync) run(ctx context.Context) error {
	for ctx.Err() == nil {
		if !s.knowsNodes() {
			s.awaitHint(ctx, viewWait)
			continue
		}
		choice := replica.Source(s.View.Load(), s.Identity, s.passed, time.Now())
		s.Source.setReading(choice.ReadStore)
		if choice.Peer == nil {
			s.following = ""
		}
		switch {
		case choice.ReadStore:
			s.awaitHint(ctx, followWait)
		case choice.Peer == nil:
			s.awaitHint(ctx, lostPause)
		default:
			s.follow(ctx, choice.Peer)
		}
	}
	return nil
}

// knowsNodes reports whether the nodes' table was listed and the view shows it.
func (s *peerSync) knowsNodes() bool {
	set := s.Rows.Load()
	return set.Listed(port.NodeTable) && port.ViewCoversRows(s.View.Load(), set)
}

// awaitHint waits for a hint while the node follows no other, and looks again at
// its place among the nodes of its zone from time to time.
func (s *peerSync) awaitHint(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case hint := <-s.Hints.C():
		s.takeHint(ctx, &hint)
	case <-timer.C:
	case <-ctx.Done():
	}
}

// takeHint asks a node that is ahead, unless the node's own poll was about to
// bring the same.
func (s *peerSync) takeHint(ctx context.Context, hint *port.RowsHint) {
	if !s.Rows.Load().Seen().Behind(hint.Seen) {
		return
	}
	_ = kernel.Sleep(ctx, syncDelay)
	if !s.Rows.Load().Seen().Behind(hint.Seen) {
		return
	}
	if newer, err := s.ask(ctx, hint.Peer, 0); err != nil {
		s.Logger.Warn().Str("peer", hint.Peer).Err(err).Msg("rows of another node not read")
	} else {
		s.take(ctx, hint.Peer, newer)
	}
}

// follow waits for newer rows of a node that follows the store. One that does
// not answer in time or has lost the store is passed over for a while.
func (s *peerSync) follow(ctx context.Context, m *mesh.Member) {
	wait := followWait
	if s.following != m.Node {
		// Whether the node is in touch is told at once: others may follow this one.
		s.following, wait = m.Node, 0
	}
	newer, err := s.ask(ctx, m.PeerAddress, wait)
	if err == nil && newer.Node != m.Node {
		// Addresses of gone machines are used again. Two nodes that each took the
		// other for a node before them told each other that they were in touch.
		err = result.WrongIncarnation.Errorf("node %q has the address %s", newer.Node, m.PeerAddress)
	}
	if err == nil {
		s.take(ctx, m.PeerAddress, newer)
		if newer.Current {
			s.passed.RecordConnected(m)
			if m.Zone == s.Identity.Zone { // else only this node is helped: no circle over two zones
				s.Source.contact()
			}
			return
		}
		s.passed.RecordStoreLost(m, time.Now())
		err = result.PlatformDown.Errorf("the node has lost the store")
	} else {
		s.passed.RecordNoResponse(m, time.Now())
	}
	if ctx.Err() == nil {
		s.Source.lost()
		s.Logger.Warn().Str("node", string(m.Node)).Err(err).Msg("node no longer followed")
	}
}

func (s *peerSync) take(ctx context.Context, peer string, newer *newerRows) {
	s.Logger.Debug().Str("peer", peer).Int("rows", len(newer.Rows)).Msg("rows taken from another node")
	b := batch{changes: port.Changes{Rows: newer.Rows, Clock: newer.Clock}, source: peer, tables: newer.Listed, local: time.Now(), taken: make(chan struct{})}
	if s.Out.Send(ctx, b) != nil {
		return // the node stops
	}
	select {
	case <-b.taken: // so that the next question does not ask for the same
	case <-ctx.Done():
	}
}

func (s *peerSync) ask(ctx context.Context, peer string, wait time.Duration) (*newerRows, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+peer+rowsPath, nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set(port.SeenHeader, port.FormatSeen(s.Rows.Load().Seen()))
	request.Header.Set(waitHeader, strconv.FormatInt(wait.Milliseconds(), 10))
	deadline := time.AfterFunc(wait+syncTimeout, cancel)
	defer func() { deadline.Stop() }()
	answer, err := s.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = answer.Body.Close() }()
	if deadline.Stop() {
		deadline = time.AfterFunc(bodyTimeout, cancel)
	}
	return readRows(answer.Body)
}

// writeRows encodes an answer. A configuration shrinks to about an eighth, which
// counts where one node on a slow link tells all others of its zone.
func writeRows(answer *newerRows) ([]byte, error) {
	var out bytes.Buffer
	compressor, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err := cbor.NewEncoder(compressor).Encode(answer); err != nil {
		return nil, err
	}
	if err := compressor.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

func readRows(in io.Reader) (*newerRows, error) {
	body, err := io.ReadAll(io.LimitReader(flate.NewReader(in), maxSync))
	if err != nil {
		return nil, err
	}
	var newer newerRows
	return &newer, cbor.Unmarshal(body, &newer)
}

// inbound answers other nodes that ask for rows.
type inbound struct {
	node   mesh.NodeID
	rows   *port.RowsCell
	clock  *port.ClockCell
	source *source
	last   atomic.Pointer[encoded]
}

// encoded is the last answer with rows. The nodes of a zone ask for the same.
type encoded struct {
	set     *replica.Set
	seen    string
	current bool
	at      time.Time
	body    []byte
}

// encodedFor is how long an answer is used again; it tells the store's clock.
const encodedFor = 200 * time.Millisecond

func newInboundRoute(identity mesh.Identity, rows *port.RowsCell, clock *port.ClockCell, src *source) port.InboundRoute {
	return port.InboundRoute{Path: rowsPath, Handler: &inbound{node: identity.Node, rows: rows, clock: clock, source: src}}
}

// ServeHTTP answers one question.
func (i *inbound) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	text := r.Header.Get(port.SeenHeader)
	seen := port.ParseSeen(text)
	wait, _ := strconv.ParseInt(r.Header.Get(waitHeader), 10, 64) // none: no wait
	set := awaitNewer(r.Context(), i.rows, i.source, seen, min(time.Duration(wait)*time.Millisecond, followWait))
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
	if e := i.last.Load(); e != nil && e.set == set && e.seen == text && e.current == current && now.Sub(e.at) < encodedFor {
		return e.body, nil
	}
	answer := &newerRows{Rows: set.RowsNewerThan(seen), Current: current, Node: i.node}
	if c := i.clock.Load(); c != nil {
		answer.Clock = c.Now(now)
	}
	for _, table := range []string{i.source.operator, port.NodeTable} {
		if set.Listed(table) {
			answer.Listed = append(answer.Listed, table)
		}
	}
	body, err := writeRows(answer)
	if err == nil {
		i.last.Store(&encoded{set: set, seen: text, current: current, at: now, body: body})
	}
	return body, err
}

// awaitNewer returns the rows once they are newer than those seen, the store is
// lost or the wait is over. A node that has just begun to follow the store gets a
// moment for its first answer: all nodes of the zone ask it at once then. One that
// starts and has not decided yet is not passed over either.
func awaitNewer(ctx context.Context, rows *port.RowsCell, src *source, seen replica.Seen, wait time.Duration) *replica.Set {
	until, touch := time.Now().Add(wait), time.Now().Add(min(wait, firstContact))
	for {
		next := src.changed.wait()
		set, now := rows.Load(), time.Now()
		end := until
		if src.decided.Load() && !src.current(now) {
			end = touch
		}
		if seen.Behind(set.Seen()) || !now.Before(end) {
			return set
		}
		timer := time.NewTimer(end.Sub(now))
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
