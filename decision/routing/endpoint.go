package routing

import (
	"math"
	"time"

	"teaselring/mesh"
	"teaselring/result"
)

// endpoint is the state that this node observed of one upstream.
type endpoint struct {
	member     mesh.Member
	inFlight   int     // attempts of this node
	latency    float64 // average in ns, 0 when unknown
	failures   float64 // share of attempts that failed, 0 to 1
	lastSample time.Time

	reported reported
	mean     *meanLoad // of the service's endpoints in the zone
	// refusals counts the refusals under load since the last answer.
	refusals    int
	pausedUntil time.Time // after a refusal, for calls of other zones

	unanswered   int // consecutive attempts that timed out without a response
	avoidUntil   time.Time
	failedTrials int // consecutive penalties
	trialUntil   time.Time
}

func newEndpoint(m *mesh.Member) *endpoint { return &endpoint{member: *m} }

// resetHistory drops the observations of an earlier upstream process. Attempts in
// flight stay counted until their outcomes arrive.
func (e *endpoint) resetHistory() {
	*e = endpoint{member: e.member, inFlight: e.inFlight, mean: e.mean}
}

func (e *endpoint) begin(now time.Time, trialTimeout time.Duration) {
	e.inFlight++
	if e.failedTrials > 0 {
		e.trialUntil = now.Add(trialTimeout)
	}
}

func (e *endpoint) end() {
	if e.inFlight > 0 {
		e.inFlight--
	}
}

// record updates averages and penalties with an outcome. The first sample of an endpoint is averaged with the mean of the
// service, since the first call after a start is often slow.
func (e *endpoint) record(o *mesh.Outcome, s *service, now time.Time, p *Params) {
	weight := p.weight(e.lastSample, now)
	switch {
	case unreachable(o):
		e.penalize(now, p)
		return
	case e.timedOut(o, p):
		if e.unanswered++; e.unanswered >= p.UnansweredThreshold {
			e.penalize(now, p)
			return
		}
	case refusedUnderLoad(o):
		if noFreeSlot(o) {
			e.recordRefusal(now, p)
		}
	case answered(o):
		e.unanswered, e.refusals = 0, 0
		if e.latency == 0 {
			e.latency = s.meanLatency
		}
		e.latency = movingAverage(e.latency, usualDuration(o)/s.routeFactor(o.Route), weight)
		e.recover(now)
	}
	e.lastSample = now
	e.failures += weight * (failureSample(o) - e.failures)
}

// failureSample returns 1 for an outcome that counts against the upstream, else 0. A
// refusal with slots free counts; one under full load does not.
func failureSample(o *mesh.Outcome) float64 {
	failed := o.Failed
	if refusedUnderLoad(o) {
		failed = !noFreeSlot(o)
	}
	if failed {
		return 1
	}
	return 0
}

// history returns the average latency and the share of failures. Both decay towards
// those of an average endpoint without samples, so that an endpoint that was slow or
// failing is tried again. Expected replaces an unknown latency.
func (e *endpoint) history(expected float64, now time.Time, decayTime time.Duration) (latency, failures float64) {
	if e.lastSample.IsZero() {
		return expected, 0
	}
	weight := e.historyWeight(now, decayTime)
	latency = expected
	if e.latency > 0 {
		latency += weight * (e.latency - expected)
	}
	return latency, weight * e.failures
}

// historyWeight returns the weight of the history, which decays with its age.
func (e *endpoint) historyWeight(now time.Time, decayTime time.Duration) float64 {
	if e.lastSample.IsZero() {
		return 0
	}
	weight := math.Exp(-float64(now.Sub(e.lastSample)) / float64(decayTime))
	if weight < minHistoryWeight {
		return 0
	}
	return weight
}

// minHistoryWeight is the weight below which history is ignored. Otherwise an idle
// endpoint that was once slow would lose every comparison forever.
const minHistoryWeight = 0.05

// timedOut reports whether the attempt waited long enough without a response to
// suspect that the endpoint does not respond. Very short deadlines prove nothing.
func (e *endpoint) timedOut(o *mesh.Outcome, p *Params) bool {
	minWait := max(p.UnansweredAfter, time.Duration(4*e.latency))
	return o.Code == result.DeadlineDuring.Number && o.Status == 0 && o.Duration >= minWait
}

// penalize starts or doubles the penalty. Attempts on one broken connection fail
// together, so failures during a penalty do not extend it.
func (e *endpoint) penalize(now time.Time, p *Params) {
	if now.Before(e.avoidUntil) {
		return
	}
	span := p.PenaltyMax
	if shift := e.failedTrials; shift < 16 {
		span = min(p.PenaltyBase<<shift, p.PenaltyMax)
	}
	e.failedTrials++
	e.avoidUntil = now.Add(span)
	e.unanswered = 0
	e.trialUntil = time.Time{}
}

// recover ends the trial period. A response that arrives during the penalty belongs
// to an earlier request and proves nothing about new connections.
func (e *endpoint) recover(now time.Time) {
	if now.Before(e.avoidUntil) {
		return
	}
	e.failedTrials = 0
	e.trialUntil = time.Time{}
}

// avoided reports whether the endpoint must get no call now: during its penalty, and
// after that while a single trial call is in flight.
func (e *endpoint) avoided(now time.Time) bool {
	return now.Before(e.avoidUntil) || (e.failedTrials > 0 && now.Before(e.trialUntil))
}

// unreachable reports whether the endpoint must be avoided at once: no connection, a
// broken or silent one, a crash, or an owner node that was restarted or is leaving
// while the view lags.
func unreachable(o *mesh.Outcome) bool {
	if o.Crashed {
		return true
	}
	switch o.Code {
	case result.ConnectFailed.Number, result.ConnectionLost.Number, result.UpstreamLost.Number,
		result.Draining.Number, result.WrongIncarnation.Number, result.ShuttingDown.Number:
		return true
	}
	return false
}

// refusedUnderLoad reports whether the upstream or the queue in front of it refused
// the call because of load.
func refusedUnderLoad(o *mesh.Outcome) bool {
	switch o.Code {
	case result.QueueFull.Number, result.QueueTimeout.Number, result.ClassLimit.Number, result.Shed.Number:
		return true
	}
	return o.Shed
}

// noFreeSlot reports whether a call was refused for lack of slots, judging by the load
// reported with the refusal. Refusals by the owner node's queue always are.
func noFreeSlot(o *mesh.Outcome) bool {
	return o.Code != result.Shed.Number || o.Load == nil || o.Load.Queued > 0 || o.Load.InFlight+1 >= o.Load.Limit
}

// answered reports whether the upstream ran the call and responded.
func answered(o *mesh.Outcome) bool { return o.Code == 0 && !o.Shed && o.Status != 0 }

// movingAverage updates an exponential moving average; the first sample replaces it.
func movingAverage(old, sample, weight float64) float64 {
	if old == 0 {
		return sample
	}
	return old + weight*(sample-old)
}
