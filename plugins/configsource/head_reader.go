package configsource

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/fx"

	"teaselring/decision/config"
	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/result"
)

// resendInterval is the time after which the content of a version is sent to
// the config duty again if the version is not in force yet. It is several times
// the timeout of an acknowledgement.
const resendInterval = 5 * time.Second

type readerDependencies struct {
	fx.In
	Self     mesh.Identity
	Table    port.Table
	Objects  port.Objects
	Heads    *port.HeadRing
	Snapshot *port.SnapshotCell
	Status   *port.ConfigStatusCell
	Logger   *log.Logger
	Metrics  metrics.Registry
	View     *port.ViewCell `optional:"true"`
}

// headReader is the state of the head-reader duty.
type headReader struct {
	readerDependencies
	settings *Settings
	plan     *config.ReadPlan
	sentHead port.ConfigHead // head whose content was sent last
	sentAt   time.Time
	failing  bool // the last read failed
	reads    metrics.Counter
	failures metrics.Counter
}

func newReaderDuty(in readerDependencies, settings *Settings) kernel.Duty {
	r := &headReader{
		readerDependencies: in,
		settings:           settings,
		reads:              metrics.GetOrRegisterCounter("config.head_reads", in.Metrics),
		failures:           metrics.GetOrRegisterCounter("config.head_read_failures", in.Metrics),
	}
	return kernel.Duty{
		Name: "head-reader",
		Owns: "last confirmed head",
		Out:  []string{"config.heads"},
		Run:  r.run,
	}
}

func (r *headReader) run(ctx context.Context) error {
	firstDelay := time.Duration(rand.Float64() * float64(r.settings.FirstReadWithin.Duration))
	r.plan = config.NewReadPlan(r.settings.backoff(), time.Now().Add(firstDelay))
	timer := time.NewTimer(firstDelay)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		r.tick(ctx)
		timer.Reset(r.settings.Interval.Duration)
	}
}

// tick reads the head if a read is due.
func (r *headReader) tick(ctx context.Context) {
	if status := r.Status.Load(); status != nil {
		r.plan.RecordConfirmation(status.HeadConfirmed)
	}
	var view *mesh.View
	if r.View != nil {
		view = r.View.Load()
	}
	if !r.plan.Due(time.Now(), config.IsReader(view, r.Self), rand.Float64()) {
		return
	}
	report := r.read(ctx)
	if ctx.Err() != nil {
		return
	}
	r.plan.RecordRead(time.Now(), report.Err, rand.Float64())
	r.recordResult(report)
	_ = r.Heads.Send(ctx, report)
}

// read reads the head, and its object if the config duty needs the content.
func (r *headReader) read(ctx context.Context) port.HeadReport {
	ctx, cancel := context.WithTimeout(ctx, r.settings.ReadTimeout.Duration)
	defer cancel()
	r.reads.Inc(1)
	report := port.HeadReport{ReadAt: time.Now()}
	row, err := readHead(ctx, r.Table)
	if err == nil {
		report.Head, err = row.toConfigHead()
	}
	if err != nil {
		report.Head, report.Err = port.ConfigHead{}, err
		return report
	}
	if !r.needsContent(report.Head, report.ReadAt) {
		return report
	}
	report.Content, report.Err = readObject(ctx, r.Objects, report.Head.Version, report.Head.Digest)
	if report.Err == nil {
		r.sentHead, r.sentAt = report.Head, report.ReadAt
	}
	return report
}

func (r *headReader) needsContent(head port.ConfigHead, now time.Time) bool {
	if s := r.Snapshot.Load(); s != nil && head.Version <= s.Version {
		return false
	}
	return head.Version > 0 && (head != r.sentHead || now.Sub(r.sentAt) >= resendInterval)
}

// recordResult counts failures and logs when they begin and when they end.
func (r *headReader) recordResult(report port.HeadReport) {
	failed := report.Err != nil
	if failed {
		r.failures.Inc(1)
	}
	if failed == r.failing {
		return
	}
	r.failing = failed
	if failed {
		r.Logger.Warn().Int("code", result.Of(report.Err).Number).Err(report.Err).Msg("head can't be read")
		return
	}
	r.Logger.Info().Uint64("version", uint64(report.Head.Version)).Msg("head can be read again")
}
