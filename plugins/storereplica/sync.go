package storereplica

import (
	"context"
	"time"

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

type syncIn struct {
	fx.In
	Identity mesh.Identity
	Hints    *port.RowsHintRing
	Probes   *probeRing
	Probed   *probedRing
	Out      *batchRing
	Rows     *port.RowsCell
	View     *port.ViewCell
	Source   *source
	Client   *rowsClient
	Logger   *log.Logger
}

// peerSync is the duty that selects the source of the rows, follows another node if
// that is the source, and fetches rows from nodes that are ahead.
type peerSync struct {
	syncIn
	backoff *replica.PeerBackoff
	current replica.CurrentSource
	probing bool // a probe has no result yet
}

func newSync(in syncIn) kernel.Duty {
	s := &peerSync{syncIn: in, backoff: replica.NewPeerBackoff()}
	return kernel.Duty{
		Name: "peer-sync", Owns: "the source of the rows and the backoff of other nodes",
		In: []string{hintRing, probedRingName}, Out: []string{rowsRing, probeRingName}, Run: s.run,
	}
}

func (s *peerSync) run(ctx context.Context) error {
	for ctx.Err() == nil {
		if !s.hasNodeView() {
			s.await(ctx, viewPollInterval)
			continue
		}
		s.takeProbed(ctx)
		switch choice := s.choose(ctx); {
		case choice.Peer != nil:
			s.follow(ctx, choice.Peer)
		case choice.ReadStore, choice.Probe != nil:
			s.await(ctx, maxPoll)
		default:
			s.await(ctx, storeLostRetryDelay)
		}
	}
	return nil
}

// choose selects the source, and probes the node that may become the next one.
func (s *peerSync) choose(ctx context.Context) replica.SourceChoice {
	now := time.Now()
	s.current.StoreLost = !s.Source.current(now)
	choice := replica.Source(s.View.Load(), s.Identity, s.current, s.backoff, now)
	s.Source.setReadStore(choice.ReadStore)
	s.current.Apply(choice)
	if choice.Probe != nil && !s.probing {
		s.probing = s.Probes.Send(ctx, choice.Probe) == nil
	}
	return choice
}

// hasNodeView reports whether the nodes' table was listed and the view contains
// all its nodes.
func (s *peerSync) hasNodeView() bool {
	return port.ViewCoversRows(s.View.Load(), s.Rows.Load())
}

// await handles one hint or one result of a probe or returns after wait, so that the
// source is selected again. It is used while the node follows no other.
func (s *peerSync) await(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case hint := <-s.Hints.C():
		s.handleHint(ctx, &hint)
	case result := <-s.Probed.C():
		s.handleProbed(ctx, &result)
	case <-timer.C:
	case <-ctx.Done():
	}
}

// takeProbed handles the result of a probe if there is one.
func (s *peerSync) takeProbed(ctx context.Context) {
	select {
	case result := <-s.Probed.C():
		s.handleProbed(ctx, &result)
	default:
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
	if newer, err := s.Client.fetch(ctx, hint.Peer, 0); err != nil {
		s.Logger.Warn().Str("peer", hint.Peer).Err(err).Msg("rows of another node not fetched")
	} else {
		s.submitRows(ctx, hint.Peer, newer)
	}
}

// handleProbed makes a node that responded and is connected to the store the source.
func (s *peerSync) handleProbed(ctx context.Context, p *probed) {
	s.probing = false
	if err := s.record(ctx, p.member, p.newer, p.err); err != nil {
		if result.Of(err) != result.PlatformDown {
			s.current.Failures++
		}
		s.Logger.Info().Str("node", string(p.member.Node)).Err(err).Msg("node not taken as the source of rows")
		return
	}
	s.current.Peer = p.member.Node
	s.Logger.Info().Str("node", string(p.member.Node)).Msg("node taken as the source of rows")
}

// follow long-polls a node for newer rows. A node that does not respond in time or
// has lost the store is skipped for its backoff.
func (s *peerSync) follow(ctx context.Context, m *mesh.Member) {
	newer, err := s.Client.fetchFrom(ctx, m, maxPoll)
	if err = s.record(ctx, m, newer, err); err == nil || ctx.Err() != nil {
		return
	}
	s.current.Peer, s.current.Failures = "", 0
	s.Source.recordLoss()
	s.Logger.Warn().Str("node", string(m.Node)).Err(err).Msg("node no longer followed")
}

// record applies a node's response and returns an error if the node can't be the source:
// it did not respond, or has lost the store (result.PlatformDown).
func (s *peerSync) record(ctx context.Context, m *mesh.Member, newer *rowsResponse, err error) error {
	if err != nil {
		s.backoff.RecordNoResponse(m, time.Now())
		return err
	}
	s.submitRows(ctx, m.PeerAddress, newer)
	if !newer.Current {
		s.backoff.RecordStoreLost(m, time.Now())
		return result.PlatformDown.Errorf("the node has lost the store")
	}
	s.backoff.RecordConnected(m)
	if m.Zone == s.Identity.Zone { // not across zones: two zones could follow each other in a circle
		s.Source.recordContact()
	}
	return nil
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
