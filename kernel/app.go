package kernel

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
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
		fx.Provide(newInventory, newGrace),
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

// Run starts the application and waits for SIGINT or SIGTERM, then stops it
// gracefully. A second signal cancels the work in progress. Run returns the exit
// code of the process.
func Run(options ...fx.Option) int {
	var grace *Grace
	var reloads reloadsIn
	app := fx.New(append(options, fx.Populate(&grace), fx.Invoke(func(in reloadsIn) { reloads = in }),
		fx.StopTimeout(StopTimeout))...)
	if err := app.Start(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	code := 0
	for waiting := true; waiting; {
		select {
		case <-hangups:
			reloads.run()
			continue
		case <-signals:
		case s := <-app.Wait():
			code = s.ExitCode
		}
		waiting = false
	}
	go func() { <-signals; grace.Abort() }()
	stopCtx, cancel := context.WithTimeout(context.Background(), StopTimeout)
	defer cancel()
	if err := app.Stop(stopCtx); err != nil {
		code = 1
	}
	return code
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
