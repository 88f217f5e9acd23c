package crashspread

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/fx"

	"teaselring/decision/quarantine"
	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/result"
)

const (
	recentPath = "/crashes"
	// maxWait bounds the time for which a starting node starts no attempts because it
	// does not know the other nodes yet. It lists them within tens of milliseconds unless
	// the store is away.
	maxWait = time.Second
	// askTimeout bounds the wait for answers: several round trips between regions, and far
	// less than callers' deadlines. A machine that is gone does not answer at all.
	askTimeout = 300 * time.Millisecond
	// viewPollInterval is the poll interval of the view while no attempts start, and
	// lateViewPollInterval after that: an outage of the store may last for minutes.
	viewPollInterval     = 20 * time.Millisecond
	lateViewPollInterval = 500 * time.Millisecond
	// maxQueryBytes is far above the size of a query with the longest names.
	maxQueryBytes = 4 << 10
)

// recentQuery is the request of a starting node.
type recentQuery struct {
	Service mesh.ServiceID `cbor:"1,keyasint"`
}

type learnerIn struct {
	fx.In
	Identity         mesh.Identity
	PlatformSettings *port.PlatformSettings
	View             *port.ViewCell
	Rows             *port.RowsCell
	Learned          *port.LearnedCrashesCell
	Metrics          metrics.Registry
	Logger           *log.Logger
}

// learner asks other nodes once, when the node starts, for the crashes that they know.
type learner struct {
	learnerIn
	client  *http.Client
	params  quarantine.Params
	reports metrics.Counter
}

func newLearner(in learnerIn) kernel.Duty {
	l := &learner{
		learnerIn: in, client: newAskClient(), params: quarantine.DefaultParams(),
		reports: metrics.NewRegisteredCounter("crash.learned", in.Metrics),
	}
	return kernel.Duty{Name: "crash-learner", Owns: "the crash reports learned at the start", Run: l.run}
}

// newAskClient returns a client for requests to many nodes. Each is asked once, so that a
// kept connection would only hold a descriptor.
func newAskClient() *http.Client {
	return &http.Client{Timeout: askTimeout, Transport: port.NewTransport(&http.Transport{
		DisableKeepAlives: true, DisableCompression: true,
	})}
}

func (l *learner) run(ctx context.Context) error {
	if l.PlatformSettings.FirstStart {
		l.Learned.Store(&port.LearnedCrashes{})
		return nil
	}
	unknownUntil := time.Now().Add(l.params.Span) // older reports have expired
	if !l.awaitView(ctx, maxWait, viewPollInterval) {
		l.Learned.Store(&port.LearnedCrashes{CompleteAt: unknownUntil})
		l.Logger.Warn().Msg("attempts start without the other nodes' crash reports, the nodes are not known yet")
		if !l.awaitView(ctx, l.params.Span, lateViewPollInterval) {
			return nil
		}
	}
	rnd := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	asked := quarantine.Neighbours(l.View.Load(), l.Identity, l.PlatformSettings.Service, rnd)
	answers, complete := l.ask(ctx, asked), len(asked) == 0
	for i := range answers {
		complete = complete || !answers[i].Partial
	}
	learned := &port.LearnedCrashes{Reports: quarantine.Agree(answers)}
	if !complete {
		learned.CompleteAt = unknownUntil
	}
	l.Learned.Store(learned)
	l.reports.Inc(int64(len(learned.Reports)))
	l.Logger.Info().Int("asked", len(asked)).Int("answers", len(answers)).Int("reports", len(learned.Reports)).
		Msg("crash reports of other nodes read")
	return nil
}

// awaitView waits until the view holds all nodes of the nodes' table. It returns false
// when the limit has passed before.
func (l *learner) awaitView(ctx context.Context, limit, interval time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); {
		if port.ViewCoversRows(l.View.Load(), l.Rows.Load()) {
			return true
		}
		if kernel.Sleep(ctx, interval) != nil {
			return false
		}
	}
	return false
}

// ask returns the valid answers that arrive within askTimeout.
func (l *learner) ask(ctx context.Context, asked []*mesh.Member) (answers []quarantine.Answer) {
	service := l.PlatformSettings.Service
	query, err := cbor.Marshal(recentQuery{Service: service})
	if err != nil {
		l.Logger.Error().Err(err).Msg("other nodes not asked for crash reports")
		return nil
	}
	received := make(chan *quarantine.Answer, len(asked))
	for _, m := range asked {
		go func() {
			answer, err := l.askOne(ctx, m, query)
			if err != nil {
				l.Logger.Warn().Str("node", string(m.Node)).Err(err).Msg("no crash reports from a node")
			}
			received <- answer
		}()
	}
	for range asked {
		if answer := <-received; answer != nil {
			answers = append(answers, *answer)
		}
	}
	return answers
}

func (l *learner) askOne(ctx context.Context, m *mesh.Member, query []byte) (*quarantine.Answer, error) {
	content, err := port.PostToPeer(ctx, l.client, m.PeerAddress, recentPath, query)
	if err != nil {
		return nil, err
	}
	answer := new(quarantine.Answer)
	if err := cbor.Unmarshal(content, answer); err != nil {
		return nil, result.BadMessage.Errorf("%v", err)
	}
	if err := answer.Check(l.PlatformSettings.Service, l.params); err != nil {
		return nil, err
	}
	return answer, nil
}

type recentRouteIn struct {
	fx.In
	PlatformSettings *port.PlatformSettings
	Learned          *port.LearnedCrashesCell
	Recent           *port.RecentCrashesRing
}

// newRecentRoute answers other nodes that start.
func newRecentRoute(in recentRouteIn) port.InboundRoute {
	return port.InboundRoute{Path: recentPath, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		query, ok := port.DecodePeerMessage[recentQuery](w, r, maxQueryBytes)
		if !ok {
			return
		}
		body, err := in.answer(r.Context(), query)
		if err != nil {
			port.Refuse(w, err)
			return
		}
		_, _ = w.Write(body)
	})}
}

// answer returns the encoded answer. A node of another service does not answer, since it
// does not know which requests are harmless; nor does one that still asks itself.
func (in *recentRouteIn) answer(ctx context.Context, query recentQuery) ([]byte, error) {
	if query.Service != in.PlatformSettings.Service {
		return nil, result.BadMessage.Errorf("the node serves %q, not %.40q", in.PlatformSettings.Service, query.Service)
	}
	learned := in.Learned.Load()
	if learned == nil {
		return nil, result.Draining.Errorf("the node is starting")
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	reports, err := kernel.Do(ctx, in.Recent, port.RecentCrashes{Service: query.Service})
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(quarantine.Answer{Reports: reports, Partial: time.Now().Before(learned.CompleteAt)})
}
