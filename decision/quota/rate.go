package quota

import (
	"math"
	"time"
)

// rateTime is the time constant of a rate estimate.
const rateTime = time.Second

// rateEstimate is an exponentially decaying estimate of the rate of events.
type rateEstimate struct {
	perSecond float64
	last      time.Time
}

func (r *rateEstimate) add(now time.Time) {
	r.perSecond = r.at(now) + 1/rateTime.Seconds()
	r.last = now
}

func (r *rateEstimate) at(now time.Time) float64 {
	return r.perSecond * math.Exp(-max(now.Sub(r.last), 0).Seconds()/rateTime.Seconds())
}
