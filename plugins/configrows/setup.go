// Package configrows is the plug-in "config.rows": it puts the operator's newest
// configuration into force and publishes the orders to move services.
package configrows

import (
	"context"
	"slices"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/fx"

	"teaselring/decision/replica"
	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/result"
)

const wakeRing = "config.rows"

// wake is the ring that wakes the duty after rows have changed.
type wake struct {
	ring *kernel.Ring[port.RowsChanged]
}

func init() {
	kernel.Register(kernel.Plugin{
		Name: "config.rows",
		Doc:  "Puts the operator's newest configuration into force.",
		Module: func(kernel.Validator) fx.Option {
			return fx.Options(
				fx.Provide(
					func() *port.SnapshotCell { return new(port.SnapshotCell) },
					func() *port.OrdersCell { return new(port.OrdersCell) },
					func() *port.EvacuationsCell { return new(port.EvacuationsCell) },
				),
				port.ProvideRowsSubscriber(wakeRing, func(r *kernel.Ring[port.RowsChanged]) wake { return wake{r} }),
				kernel.ProvideDuty(newDuty),
				port.ProvideReadyCheck(func(s *port.SnapshotCell) port.ReadyCheck {
					return port.ReadyCheck{Name: "configuration", Check: func() error {
						if s.Load() == nil {
							return result.NoConfiguration.Err()
						}
						return nil
					}}
				}),
			)
		},
	})
}

type dutyIn struct {
	fx.In
	Wake     wake
	Rows     *port.RowsCell
	Clock    *port.ClockCell
	Table    port.OperatorTable
	Operator port.OperatorRows
	Snapshot *port.SnapshotCell
	Orders   *port.OrdersCell
	Zones    *port.EvacuationsCell
	Changed  *port.OrdersChangedRing
	Logger   *log.Logger
	Metrics  metrics.Registry
}

// duty owns the snapshot in force and the orders.
type duty struct {
	dutyIn
	processed map[string]uint64 // last revision processed of each row
	read      bool              // the rows that were there at the start are processed
	version   metrics.Gauge
	warnings  metrics.Gauge
	accounts  metrics.Gauge // -1: no request needs a key
	keys      metrics.Gauge
	evacuated metrics.Gauge // zones
}

func newDuty(in dutyIn) kernel.Duty {
	d := &duty{
		dutyIn: in, processed: map[string]uint64{},
		version:   metrics.NewRegisteredGauge("config.version", in.Metrics),
		warnings:  metrics.NewRegisteredGauge("config.not_understood", in.Metrics),
		accounts:  metrics.NewRegisteredGauge("config.accounts", in.Metrics),
		keys:      metrics.NewRegisteredGauge("config.account_keys", in.Metrics),
		evacuated: metrics.NewRegisteredGauge("config.zones_evacuated", in.Metrics),
	}
	return kernel.Duty{
		Name: "config", Owns: "the configuration in force, the operator's orders and evacuations",
		In: []string{wakeRing}, Out: []string{in.Changed.Info().Name}, Run: d.run,
	}
}

func (d *duty) run(ctx context.Context) error {
	return d.Wake.ring.Each(ctx, func(port.RowsChanged) {
		d.updateEvacuations() // before a configuration lets calls begin
		before := d.Orders.Load()
		rows := d.Rows.Load()
		rows.Each(string(d.Table), d.processRow)
		d.read = d.read || rows.Listed(string(d.Table))
		if d.Orders.Load() != before {
			_ = d.Changed.Send(ctx, port.OrdersChanged{}) // replaces the oldest, never fails
		}
	})
}

// updateEvacuations publishes the zones that are being evacuated. A zone whose row was
// removed is in use again.
func (d *duty) updateEvacuations() {
	next := &port.Evacuations{}
	d.Rows.Load().Each(string(d.Table), func(r replica.Row) {
		if zone, ok := d.Operator.Evacuation(r.Key); ok {
			next.Zones = append(next.Zones, zone)
		}
	})
	slices.Sort(next.Zones)
	current := d.Zones.Load()
	if current != nil && slices.Equal(current.Zones, next.Zones) {
		return
	}
	d.Zones.Store(next)
	d.evacuated.Update(int64(len(next.Zones)))
	if current != nil || len(next.Zones) > 0 {
		d.Logger.Info().Strs("zones", zoneNames(next.Zones)).Msg("zones in evacuation changed")
	}
}

func zoneNames(zones []mesh.Zone) []string {
	names := make([]string, len(zones))
	for i, zone := range zones {
		names[i] = string(zone)
	}
	return names
}

// processRow decodes and applies a row of the operator if its revision is new. It may be a
// lower one: rows that the store has lost come from other nodes.
func (d *duty) processRow(r replica.Row) {
	if r.Revision == d.processed[r.Key] {
		return
	}
	d.processed[r.Key] = r.Revision
	if s, ok, err := d.Operator.Snapshot(r.Key, r.Value); ok {
		d.applySnapshot(&r, s, err)
		return
	}
	if o, ok, err := d.Operator.Order(r.Key, r.Value); ok {
		d.applyOrder(&r, o, err)
	}
}

// applySnapshot puts a configuration into force if it is valid and newer. Otherwise
// the current one stays.
func (d *duty) applySnapshot(r *replica.Row, s *mesh.Snapshot, err error) {
	current := d.Snapshot.Load()
	switch {
	case err != nil:
		d.Logger.Error().Uint64("revision", r.Revision).Err(err).Msg("configuration refused")
		return
	case current != nil && s.Version == current.Version:
		return // written again
	case current != nil && s.Version < current.Version:
		d.Logger.Warn().Uint64("version", uint64(s.Version)).Uint64("in_force", uint64(current.Version)).Msg("older configuration ignored")
		return
	}
	d.Snapshot.Store(s)
	d.version.Update(int64(s.Version))
	d.warnings.Update(int64(len(s.Warnings)))
	d.updateAccounts(s)
	if len(s.Warnings) > 0 {
		d.Logger.Warn().Uint64("version", uint64(s.Version)).Strs("parts", s.Warnings).Msg("configuration understood in part")
	}
	d.Logger.Info().Uint64("version", uint64(s.Version)).Uint64("revision", r.Revision).
		Int("routes", len(s.Routes)).Int("services", len(s.Services)).
		Bool("keys_required", s.RequiresKeys()).Int("accounts", len(s.Accounts)).Int("keys", s.Keys()).Msg("configuration in force")
}

func (d *duty) updateAccounts(s *mesh.Snapshot) {
	d.keys.Update(int64(s.Keys()))
	if !s.RequiresKeys() {
		d.accounts.Update(-1)
		return
	}
	d.accounts.Update(int64(len(s.Accounts)))
}

func (d *duty) applyOrder(r *replica.Row, o mesh.Order, err error) {
	if err != nil {
		d.Logger.Error().Str("key", r.Key).Err(err).Msg("order refused")
		return
	}
	o.Revision, o.Row, o.Found = r.Revision, r.Revision, !d.read
	if clock := d.Clock.Load(); clock != nil {
		o.FirstSeen = clock.Now(time.Now())
	}
	next := &port.Orders{ByService: map[mesh.ServiceID]mesh.Order{}}
	if current := d.Orders.Load(); current != nil {
		for id, other := range current.ByService {
			next.ByService[id] = other
		}
	}
	if known, ok := next.ByService[o.Service]; ok && known.ContinuedBy(&o) {
		o.Revision, o.FirstSeen, o.Found = known.Revision, known.FirstSeen, known.Found
	}
	next.ByService[o.Service] = o
	d.Orders.Store(next)
	d.Logger.Info().Str("service", string(o.Service)).Str("target", string(o.Target)).
		Dur("duration", o.Duration).Uint64("revision", r.Revision).Msg("order received")
}
