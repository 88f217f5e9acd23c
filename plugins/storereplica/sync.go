package storereplica

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/phuslu/log"
	"go.uber.org/fx"

	"teaselring/decision/replica"
	"teaselring/kernel"
	"teaselring/port"
)

const (
	rowsPath = "/rows"
	// syncDelay is the time for the node's own poll to bring what another node
	// has already; the store answers within a few ms.
	syncDelay = 150 * time.Millisecond
	// syncTimeout bounds one question to another node.
	syncTimeout = time.Second
	// maxSync is in bytes; the rows of a node's replica are far below.
	maxSync = 16 << 20
)

type syncIn struct {
	fx.In
	Hints  *port.RowsHintRing
	Out    *batchRing
	Rows   *port.RowsCell
	Logger *log.Logger
}

// peerSync is the duty that asks a node that is ahead.
type peerSync struct {
	syncIn
	client *http.Client
}

func newSync(in syncIn) kernel.Duty {
	s := &peerSync{syncIn: in, client: &http.Client{Timeout: syncTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
	return kernel.Duty{
		Name: "peer-sync", Owns: "nothing", In: []string{hintRing}, Out: []string{rowsRing}, Run: s.run,
	}
}

func (s *peerSync) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case hint := <-s.Hints.C():
			s.follow(ctx, &hint)
		}
	}
}

func (s *peerSync) follow(ctx context.Context, hint *port.RowsHint) {
	if !s.Rows.Load().Seen().Behind(hint.Seen) {
		return
	}
	pause(ctx, syncDelay)
	seen := s.Rows.Load().Seen()
	if !seen.Behind(hint.Seen) {
		return
	}
	newer, err := s.ask(ctx, hint.Peer, seen)
	if err != nil {
		s.Logger.Warn().Str("peer", hint.Peer).Err(err).Msg("rows of another node not read")
		return
	}
	s.Logger.Info().Str("peer", hint.Peer).Int("rows", len(newer.Rows)).Msg("rows taken from another node")
	b := batch{changes: port.Changes{Rows: newer.Rows}, source: hint.Peer, tables: newer.Listed, local: time.Now()}
	_ = s.Out.Send(ctx, b) // fails only when the node stops
}

func (s *peerSync) ask(ctx context.Context, peer string, seen replica.Seen) (*newerRows, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+peer+rowsPath, nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set(port.SeenHeader, port.FormatSeen(seen))
	answer, err := s.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxSync))
	if err != nil {
		return nil, err
	}
	var newer newerRows
	return &newer, cbor.Unmarshal(body, &newer)
}

// newInboundRoute answers other nodes that ask for rows.
func newInboundRoute(rows *port.RowsCell, operator port.OperatorTable) port.InboundRoute {
	return port.InboundRoute{Path: rowsPath, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		set := rows.Load()
		answer := newerRows{Rows: set.Newer(port.ParseSeen(r.Header.Get(port.SeenHeader)))}
		for _, table := range []string{string(operator), port.NodeTable} {
			if set.Listed(table) {
				answer.Listed = append(answer.Listed, table)
			}
		}
		body, err := cbor.Marshal(answer)
		if err != nil {
			port.Refuse(w, err)
			return
		}
		_, _ = w.Write(body)
	})}
}
