package kernel

import (
	"context"
	"fmt"
	"io"
	"os"
	"sort"
	"syscall"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
)

// Options returns the fx options of every registered plug-in with the given
// settings, and of the kernel itself.
func Options(settings *Settings, logger *log.Logger) fx.Option {
	options := []fx.Option{
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(settings, logger),
		fx.Provide(func() metrics.Registry { return metrics.NewRegistry() }),
		fx.Provide(newInventory, NewGrace, newFailures, NewGuard),
		fx.Invoke(runDuties),
	}
	for _, p := range Plugins() {
		options = append(options, p.Module(settings.ForPlugin(p.Name)))
	}
	return fx.Options(options...)
}

// StopTimeout bounds a graceful stop. It exceeds the longest route timeout (1 h),
// so that a slow upload can finish.
const StopTimeout = time.Hour + time.Minute

// Run starts the application and waits for SIGINT, SIGTERM or the failure of a duty,
// then stops it gracefully. SIGHUP runs the reloads. A second stop signal cancels the
// work in progress. Run returns the exit code of the process.
func Run(signals *Signals, options ...fx.Option) int {
	defer signals.Close()
	var in runIn
	app := fx.New(append(options, fx.Invoke(func(built runIn) { in = built }), fx.StopTimeout(StopTimeout))...)
	if err := app.Start(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	code := in.awaitStop(signals)
	stopCtx, cancel := context.WithTimeout(context.Background(), StopTimeout)
	defer cancel()
	if err := app.Stop(stopCtx); err != nil {
		in.Logger.Error().Err(err).Msg("stop failed")
		code = 1
	}
	return code
}

type runIn struct {
	fx.In
	Grace    *Grace
	Failures failures
	Reloads  []Reload `group:"reloads"`
	Logger   *log.Logger
}

// awaitStop runs reloads until the process must stop, and returns its exit code. The
// stop signals that follow cancel the work in progress: one if a signal began the
// stop, two if a failure did.
func (in *runIn) awaitStop(signals *Signals) (code int) {
	for {
		select {
		case <-signals.reloads:
			in.Logger.Info().Str("signal", syscall.SIGHUP.String()).Msg("reloading settings")
			for _, reload := range in.Reloads {
				reload()
			}
		case s := <-signals.stops:
			in.Logger.Info().Str("signal", s.String()).Msg("stop requested")
			go func() { signals.awaitStops(1); in.Grace.Abort() }()
			return 0
		case <-in.Failures:
			go func() { signals.awaitStops(maxQueuedStops); in.Grace.Abort() }()
			return 1
		}
	}
}

// Inventory lists the plug-ins, duties and rings of an application.
type Inventory struct {
	Plugins []Plugin
	Duties  []Duty
	Rings   []RingInfo
}

type inventoryIn struct {
	fx.In
	Duties  []Duty    `group:"duties"`
	Rings   []anyRing `group:"rings"`
	Metrics metrics.Registry
}

func newInventory(in inventoryIn) *Inventory {
	inv := &Inventory{Plugins: Plugins(), Duties: in.Duties}
	for _, ring := range in.Rings {
		ring.register(in.Metrics)
		inv.Rings = append(inv.Rings, ring.Info())
	}
	sort.Slice(inv.Duties, func(i, j int) bool { return inv.Duties[i].Name < inv.Duties[j].Name })
	sort.Slice(inv.Rings, func(i, j int) bool { return inv.Rings[i].Name < inv.Rings[j].Name })
	return inv
}

// Inspect builds the application without starting it and returns its inventory.
func Inspect(settings *Settings) (*Inventory, error) {
	var inv *Inventory
	app := fx.New(Options(settings, NewLogger(io.Discard)), fx.Populate(&inv))
	return inv, app.Err()
}
