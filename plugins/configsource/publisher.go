package configsource

import (
	"context"
	"regexp"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/fx"

	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/result"
)

type (
	publishRequest = kernel.Request[port.Publish, port.Published]
	historyRequest = kernel.Request[port.History, mesh.Snapshot]
)

// publicationPattern matches ids that can be used as row keys.
var publicationPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)

type publisherDependencies struct {
	fx.In
	Self     mesh.Identity
	Table    port.Table
	Objects  port.Objects
	Requests *port.PublishRing
	History  *port.HistoryRing
	Heads    *port.HeadRing
	Logger   *log.Logger
	Metrics  metrics.Registry
}

// publisher is the state of the publisher duty. It is separate from the head
// reader, so that a slow publication does not delay reads.
type publisher struct {
	publisherDependencies
	settings  *Settings
	published metrics.Counter
	refusals  metrics.Counter
	retries   metrics.Counter
}

func newPublisherDuty(in publisherDependencies, settings *Settings) kernel.Duty {
	p := &publisher{
		publisherDependencies: in,
		settings:              settings,
		published:             metrics.GetOrRegisterCounter("config.published", in.Metrics),
		refusals:              metrics.GetOrRegisterCounter("config.publish_refused", in.Metrics),
		retries:               metrics.GetOrRegisterCounter("config.publish_retries", in.Metrics),
	}
	return kernel.Duty{
		Name: "publisher",
		Owns: "the publication in progress",
		In:   []string{"publisher.requests", "publisher.history"},
		Out:  []string{"config.heads"},
		Run:  p.run,
	}
}

func (p *publisher) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case request := <-p.Requests.C():
			respond(request, func() (port.Published, error) { return p.publish(ctx, request.Payload) })
		case request := <-p.History.C():
			respond(request, func() (mesh.Snapshot, error) { return p.loadVersion(ctx, request.Payload.Version) })
		}
	}
}

func respond[Q, R any](request kernel.Request[Q, R], handle func() (R, error)) {
	response, err := handle()
	if err != nil {
		request.Fail(err)
		return
	}
	request.Respond(response)
}

// publish applies a change within the publish timeout.
func (p *publisher) publish(ctx context.Context, q port.Publish) (port.Published, error) {
	if !q.DryRun && !publicationPattern.MatchString(q.Publication) {
		return port.Published{}, result.BadRequest.Errorf("publication id %q is not allowed; allowed are 1 to 128 letters, digits, '.', '_', ':' and '-', beginning with a letter or digit", q.Publication)
	}
	ctx, cancel := context.WithTimeout(ctx, p.settings.PublishTimeout.Duration)
	defer cancel()
	attempt := publication{publisher: p, request: q}
	published, err := attempt.run(ctx)
	entry := p.Logger.Info()
	if err != nil {
		p.refusals.Inc(1)
		entry = p.Logger.Warn().Int("code", result.Of(err).Number).Err(err)
	} else if !q.DryRun {
		p.published.Inc(1)
	}
	entry.Uint64("version", uint64(published.Version)).
		Str("publication", q.Publication).Str("by", q.By).Bool("dry_run", q.DryRun).Msg("publication")
	return published, err
}

// loadVersion reads a version from the platform; 0 selects the newest.
func (p *publisher) loadVersion(ctx context.Context, v mesh.Version) (mesh.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, p.settings.PublishTimeout.Duration)
	defer cancel()
	if v == 0 {
		head, err := readHead(ctx, p.Table)
		if err != nil {
			return mesh.Snapshot{}, err
		}
		if v = head.Version; v == 0 {
			return mesh.Snapshot{}, result.UnknownVersion.Errorf("nothing has been published")
		}
	}
	snapshot, err := readVersion(ctx, p.Table, p.Objects, v)
	if err != nil {
		return mesh.Snapshot{}, err
	}
	return *snapshot, nil
}

// announce sends a newly published version to the config duty of this node,
// without waiting for the next read of the head.
func (p *publisher) announce(ctx context.Context, head port.ConfigHead, content []byte, at time.Time) {
	_ = p.Heads.Send(ctx, port.HeadReport{ReadAt: at, Head: head, Content: content})
}
