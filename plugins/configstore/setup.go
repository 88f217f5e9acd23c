// Package configstore is the plug-in config.store: it holds the configuration
// version in force and exchanges versions with peers.
package configstore

import (
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/fx"

	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/result"
	"teaselring/wire"
)

// Capacities of the rings. A node has at most 20 links; each sends two
// heartbeats per second and a few messages per version.
const (
	inboxCapacity = 256
	headsCapacity = 8
)

func init() {
	kernel.Register(kernel.Plugin{
		Name:   "config.store",
		Doc:    "Holds the configuration version in force and exchanges versions with peers.",
		Module: func(kernel.Validator) fx.Option { return module() },
	})
}

func module() fx.Option {
	return fx.Options(
		fx.Provide(func() (*port.SnapshotCell, *port.ConfigStatusCell) {
			return &port.SnapshotCell{}, &port.ConfigStatusCell{}
		}),
		kernel.ProvideRing[port.LinkMessage[wire.Message]]("config.offers", inboxCapacity, kernel.Refuse),
		fx.Provide(func(r *kernel.Ring[port.LinkMessage[wire.Message]]) port.ConfigInbox {
			return port.ConfigInbox{Ring: r}
		}),
		kernel.ProvideRing[port.HeadReport]("config.heads", headsCapacity, kernel.WaitUntilDeadline),
		kernel.ProvideDuty(newDuty),
		port.ProvideReadyCheck(newReadyCheck),
	)
}

// dependencies of the config duty. The optional ones are nil on a node without
// links, members or an audit trail.
type dependencies struct {
	fx.In
	Self     mesh.Identity
	Snapshot *port.SnapshotCell
	Status   *port.ConfigStatusCell
	Inbox    port.ConfigInbox
	Heads    *port.HeadRing
	Logger   *log.Logger
	Metrics  metrics.Registry
	Push     *port.PushRing  `optional:"true"`
	Audit    *port.AuditRing `optional:"true"`
	View     *port.ViewCell  `optional:"true"`
}

func newDuty(in dependencies) kernel.Duty {
	return kernel.Duty{
		Name: "config",
		Owns: "snapshot in force, last refusal",
		In:   []string{"config.offers", "config.heads"},
		Out:  []string{"links.push", "audit.entries"},
		Run:  newConfigDuty(in).run,
	}
}

func newReadyCheck(snapshot *port.SnapshotCell) port.ReadyCheck {
	return port.ReadyCheck{Name: "configuration", Check: func() error {
		if snapshot.Load() == nil {
			return result.NoConfiguration.Err()
		}
		return nil
	}}
}
