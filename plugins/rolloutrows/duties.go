package rolloutrows

import (
	"context"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/phuslu/log"
	"go.uber.org/fx"

	"teaselring/decision/rollout"
	"teaselring/kernel"
	"teaselring/port"
	"teaselring/result"
)

// sender is the duty that sends reports to the evaluator.
type sender struct {
	reports  *reports
	verdicts *verdicts
	client   *http.Client
	logger   *log.Logger
}

func newSender(r *reports, v *verdicts, logger *log.Logger) kernel.Duty {
	s := &sender{reports: r, verdicts: v, logger: logger, client: newReportClient()}
	return kernel.Duty{
		Name: "evidence-sender", Owns: "nothing", In: []string{reportRing}, Out: []string{verdictRing}, Run: s.run,
	}
}

func newReportClient() *http.Client {
	return &http.Client{Timeout: reportTimeout, Transport: port.NewTransport(&http.Transport{IdleConnTimeout: 5 * time.Second})}
}

func (s *sender) run(ctx context.Context) error {
	return s.reports.Each(ctx, func(out outgoingReport) { s.send(ctx, &out) })
}

// send tries the evaluators in order.
func (s *sender) send(ctx context.Context, out *outgoingReport) {
	body, err := cbor.Marshal(out.report)
	if err != nil {
		s.logger.Error().Err(err).Msg("evidence not encoded")
		return
	}
	for _, evaluator := range out.evaluators {
		v, err := s.post(ctx, evaluator, body)
		if err == nil {
			_ = s.verdicts.Send(ctx, v) // fails only when the node stops
			return
		}
		s.logger.Warn().Str("peer", evaluator).Err(err).Msg("evidence not delivered")
	}
}

func (s *sender) post(ctx context.Context, evaluator string, body []byte) (v verdict, err error) {
	content, err := port.PostToPeer(ctx, s.client, evaluator, evidencePath, body)
	if err != nil {
		return v, err
	}
	return v, cbor.Unmarshal(content, &v)
}

// newInbound returns the handler of other nodes' reports.
func newInbound(in *inbox) port.InboundRoute {
	return port.InboundRoute{Path: evidencePath, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received, ok := port.DecodePeerMessage[report](w, r, maxReportBytes)
		if !ok {
			return
		}
		if err := rollout.CheckReport(received.Routes); err != nil {
			port.Refuse(w, err)
			return
		}
		var body []byte
		v, err := kernel.Do(r.Context(), in, received)
		if err == nil {
			body, err = cbor.Marshal(v)
		}
		if err != nil {
			port.Refuse(w, err)
			return
		}
		_, _ = w.Write(body)
	})}
}

type writerIn struct {
	fx.In
	Writes   *writes
	Feed     port.Feed
	Rows     *port.RowsCell
	Operator port.OperatorRows
	Logger   *log.Logger
}

// writer is the duty that writes the rows of moves and the operator's status.
type writer struct{ writerIn }

func newWriter(in writerIn) kernel.Duty {
	w := &writer{in}
	return kernel.Duty{Name: "rollout-writer", Owns: "nothing", In: []string{writeRing}, Run: w.run}
}

func (w *writer) run(ctx context.Context) error {
	return w.Writes.Each(ctx, func(state write) { w.tryWrite(ctx, state) })
}

// tryWrite makes one attempt to write a state. After a failure the rollouts duty
// decides again from current data: a state that was decided while the store was down
// can be wrong when it is written after the store's recovery. The check of the revision
// keeps a late write from overwriting later states.
func (w *writer) tryWrite(ctx context.Context, state write) {
	err := w.write(ctx, &state)
	entry := w.Logger.Info().Str("service", string(state.rollout.Service)).Str("phase", string(state.rollout.Phase)).
		Uint64("on", state.revision).Err(err)
	switch {
	case err == nil:
		entry.Msg("state of a move written")
	case result.Of(err) == result.RowConflict:
		entry.Msg("state of a move written by another node")
	default:
		entry.Msg("state of a move not written")
	}
}

func (w *writer) write(ctx context.Context, state *write) error {
	value, err := cbor.Marshal(state.rollout)
	if err != nil {
		return result.AsError(err)
	}
	r := &state.rollout
	key := port.RolloutRowPrefix + string(r.Service)
	_, err = port.WriteInEra(ctx, w.Feed, w.Rows.Load(), port.Txn{
		Checks: []port.Check{{Table: port.NodeTable, Key: key, Revision: state.revision}},
		Puts: []port.Put{
			{Table: port.NodeTable, Key: key, Value: value},
			w.Operator.Status(r.Service, r.New, r.Phase),
		},
	})
	return err
}
