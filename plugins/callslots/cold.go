package callslots

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"teaselring/decision/coldstart"
)

// coldState is what the slots duty knows about the cold state of the local upstream.
type coldState struct {
	gate      *coldstart.Gate
	cold      bool
	evacuated bool // the node's zone is being evacuated
	state     metrics.Gauge
	refused   metrics.Counter
}

func newColdState(registry metrics.Registry) coldState {
	return coldState{
		gate:    new(coldstart.Gate),
		state:   metrics.NewRegisteredGauge("slots.cold", registry),
		refused: metrics.NewRegisteredCounter("slots.refused.cold", registry),
	}
}

// refreshCold passes the figures in force and what the upstream said last to the gate, and
// logs when the upstream becomes cold or warm. After an evacuation of the zone the
// upstream has idled or restarted, so it is suspected.
func (d *duty) refreshCold(now time.Time) {
	c, local := &d.cold, &d.upstream.local
	c.gate.SetParams(d.coldParams())
	c.gate.Observe(coldstart.Status{HeardAt: local.HeardAt, ColdUntil: local.ColdUntil})
	evacuated := d.isEvacuated()
	if c.evacuated && !evacuated {
		c.gate.Suspect(now)
	}
	c.evacuated = evacuated
	c.refused.Inc(d.slots.RefusedCold() - c.refused.Count())
	cold, until := c.gate.Cold(now)
	if cold == c.cold {
		return
	}
	c.cold = cold
	entry := d.in.Logger.Info().Str("service", string(local.Endpoint.Service)).Str("process", local.Endpoint.Process)
	if !cold {
		c.state.Update(0)
		entry.Int64("refused", d.slots.RefusedCold()).Msg("upstream is warm")
		return
	}
	c.state.Update(1)
	if until.IsZero() {
		entry.Time("heard", local.HeardAt).Msg("upstream counts as cold until it is heard")
		return
	}
	entry.Dur("remaining", until.Sub(now)).Msg("upstream is cold")
}

// coldParams returns the figures of the local upstream's service; without a cold rate the
// starts have no bound.
func (d *duty) coldParams() (p coldstart.Params) {
	snapshot, platform := d.in.Snapshot.Load(), d.in.PlatformSettings
	if snapshot == nil || platform == nil {
		return p
	}
	return coldstart.Params{
		Rate:    snapshot.Services[d.upstream.local.Endpoint.Service].ColdRate,
		Overage: platform.ColdOverage, Slack: platform.ColdSlack, Heartbeat: platform.Heartbeat,
	}
}
