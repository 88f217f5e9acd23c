// Package callslots provides the plug-in call.slots, which decides at the
// owner node which attempts run on the upstream beside it.
package callslots

import (
	"time"

	"go.uber.org/fx"

	"teaselring/decision/limit"
	"teaselring/decision/quarantine"
	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
)

// Settings of the plug-in.
type Settings struct {
	QueueWait    kernel.Duration `toml:"queue_wait" comment:"longest time that a call waits for a slot"`
	DefaultQueue int             `toml:"default_queue" comment:"length of the queue of a service without a record"`
	DrainGrace   kernel.Duration `toml:"drain_grace" comment:"time for which a draining upstream still gets the calls of entry nodes that have not learned of it"`
	Quarantine   kernel.Duration `toml:"quarantine" comment:"time for which a request that crashes upstreams is refused"`
}

// Validate checks the ranges of all values.
func (s *Settings) Validate() error {
	for _, err := range []error{
		kernel.SpanInRange("queue_wait", s.QueueWait, 0, 10*time.Second),
		kernel.InRange("default_queue", s.DefaultQueue, 0, 1024),
		kernel.SpanInRange("drain_grace", s.DrainGrace, 0, 3*time.Second),
		kernel.SpanInRange("quarantine", s.Quarantine, time.Minute, time.Hour),
	} {
		if err != nil {
			return err
		}
	}
	return nil
}

func defaults() kernel.Validator {
	return &Settings{
		QueueWait:    kernel.Span(limit.DefaultParams().QueueWait),
		DefaultQueue: 16,
		DrainGrace:   kernel.Span(3 * time.Second),
		Quarantine:   kernel.Span(quarantine.DefaultParams().Span),
	}
}

func (s *Settings) slots() limit.Params {
	p := limit.DefaultParams()
	p.QueueWait = s.QueueWait.Duration
	return p
}

func (s *Settings) quarantine() quarantine.Params {
	p := quarantine.DefaultParams()
	p.Span = s.Quarantine.Duration
	return p
}

const (
	admitRing   = "slots.admit"
	releaseRing = "slots.release"
	settleRing  = "slots.settle"
	crashRing   = "slots.crashes"
	recentRing  = "slots.recent"
	pushRing    = "links.push"
	auditRing   = "audit.entries"
)

func init() {
	kernel.Register(kernel.Plugin{
		Name:     "call.slots",
		Doc:      "Decides at the owner node which attempts run on the upstream beside it.",
		Settings: defaults,
		Module: func(settings kernel.Validator) fx.Option {
			return fx.Options(
				fx.Supply(settings.(*Settings)),
				kernel.ProvideRing[kernel.Request[port.Admit, port.Admission]](admitRing, 1024, kernel.Refuse),
				kernel.ProvideRing[port.SlotRelease](releaseRing, 1024, kernel.WaitUntilDeadline),
				kernel.ProvideRing[kernel.Request[port.Settle, port.Settled]](settleRing, 1024, kernel.Refuse),
				kernel.ProvideRing[mesh.Crash](crashRing, 256, kernel.Refuse),
				kernel.ProvideRing[kernel.Request[port.RecentCrashes, []mesh.Crash]](recentRing, 16, kernel.Refuse),
				fx.Provide(func() *port.LoadCell { return new(port.LoadCell) }),
				kernel.ProvideDuty(newDuty),
			)
		},
	})
}
