// Package memorybudget is the plug-in "memory.budget": it divides the memory and the
// file descriptors of the settings among the listeners, closes connections without
// progress, and reports when the budget begins and ends to refuse.
package memorybudget

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/fx"

	"teaselring/decision/budget"
	"teaselring/kernel"
	"teaselring/port"
)

const (
	// checkInterval is the time between two looks at the connections.
	checkInterval = time.Second
	// calmTime is the time without a refusal after which the budget no longer refuses.
	calmTime = 5 * time.Second
)

func init() {
	kernel.Register(kernel.Plugin{
		Name: "memory.budget",
		Doc:  "Bounds the memory and the connections of clients by the limits in the settings.",
		Module: func(kernel.Validator) fx.Option {
			return fx.Options(fx.Provide(newBudget), kernel.ProvideDuty(newDuty))
		},
	})
}

func newBudget(lc fx.Lifecycle, settings *port.PlatformSettings) *port.Budget {
	plan := budget.NewPlan(budget.Limits{MemoryBytes: settings.MemoryBytes, FileDescriptors: settings.FileDescriptors})
	if plan.RuntimeBytes > 0 {
		lc.Append(fx.StartHook(func() { debug.SetMemoryLimit(plan.RuntimeBytes) }))
	}
	return port.NewBudget(plan)
}

type duty struct {
	budget *port.Budget
	logger *log.Logger
	parts  [budget.Listeners]part
}

// part is the state of one listener.
type part struct {
	connections, bytes          metrics.Gauge
	refused, closed, slow       metrics.Gauge
	lastRefused, refusedAtBegin int64
	refusing                    bool
	lastRefusal                 time.Time
}

func newDuty(b *port.Budget, logger *log.Logger, registry metrics.Registry) kernel.Duty {
	return kernel.Duty{Name: "budget", Owns: "whether the budget refuses", Run: newState(b, logger, registry).run}
}

func newState(b *port.Budget, logger *log.Logger, registry metrics.Registry) *duty {
	d := &duty{budget: b, logger: logger}
	for i := range d.parts {
		name := "budget." + budget.Listener(i).String() + "."
		gauge := func(n string) metrics.Gauge { return metrics.NewRegisteredGauge(name+n, registry) }
		d.parts[i] = part{connections: gauge("connections"), bytes: gauge("bytes"), refused: gauge("refused"), closed: gauge("closed"), slow: gauge("slow")}
	}
	return d
}

func (d *duty) run(ctx context.Context) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			for i, door := range d.budget.Doors {
				door.CloseStalled(now)
				d.report(budget.Listener(i), door, now)
			}
		}
	}
}

// report updates the metrics and logs when the listener begins and ends to refuse.
func (d *duty) report(l budget.Listener, door *port.BudgetDoor, now time.Time) {
	p := &d.parts[l]
	connections, bytes := door.Usage()
	refused := door.Refused.Load() + door.Closed.Load()
	p.connections.Update(int64(connections))
	p.bytes.Update(bytes)
	p.refused.Update(door.Refused.Load())
	p.closed.Update(door.Closed.Load())
	p.slow.Update(door.Slow.Load())
	if refused > p.lastRefused {
		if !p.refusing {
			p.refusing, p.refusedAtBegin = true, p.lastRefused
			d.logger.Warn().Str("edge", l.String()).Int("connections", connections).Int64("bytes", bytes).
				Int("max_connections", door.Share.Connections).Int64("max_bytes", door.Share.Bytes).Msg("memory budget begins to refuse")
		}
		p.lastRefused, p.lastRefusal = refused, now
	}
	if p.refusing && now.Sub(p.lastRefusal) >= calmTime {
		p.refusing = false
		d.logger.Info().Str("edge", l.String()).Int64("refused", refused-p.refusedAtBegin).Msg("memory budget refuses no longer")
	}
}
