package routing

import (
	"math"
	"time"

	"teaselring/mesh"
	"teaselring/result"
)

// endpoint is what this node observed of one upstream.
type endpoint struct {
	member   mesh.Member
	inFlight int     // own attempts
	latency  float64 // average time of an answer in ns, 0 when unknown
	failures float64 // share of attempts that failed, 0 to 1
	observed time.Time

	// others is the load that does not come from this node, as the last answer
	// reported it.
	others   float64
	limit    int // reported limit, 0 when unknown
	reported time.Time
	refused  time.Time // the last refusal under load

	silent     int // attempts in a row that were given up without an answer
	avoidUntil time.Time
	strikes    int // failed trials in a row
	trialUntil time.Time
}

func newEndpoint(m *mesh.Member) *endpoint { return &endpoint{member: *m} }

// forgetHistory drops what was learned about an earlier upstream process.
// Attempts in flight stay counted until their outcomes arrive.
func (e *endpoint) forgetHistory() {
	*e = endpoint{member: e.member, inFlight: e.inFlight}
}

func (e *endpoint) begin(now time.Time, lease time.Duration) {
	e.inFlight++
	if e.strikes > 0 {
		e.trialUntil = now.Add(lease)
	}
}

func (e *endpoint) leave() {
	if e.inFlight > 0 {
		e.inFlight--
	}
}

// report takes over a reported load. It is called while the attempt is still
// counted, since the report counts it too. The values are bounded because an
// upstream may report anything, and smoothed because all entry nodes that acted
// on one low report would meet at the same endpoint.
func (e *endpoint) report(load *mesh.Load, now time.Time, p *Params) {
	if load == nil {
		return
	}
	slots := e.slots()
	e.limit = min(max(load.Limit, 1), slots)
	total := min(max(load.InFlight, 0), slots) + min(max(load.Queued, 0), maxQueue)
	old := e.othersNow(now, p)
	e.others = old + p.ReportSmoothing*(math.Max(0, float64(total-e.inFlight))-old)
	e.reported = now
}

// maxQueue is the largest queue that a service record can declare.
const maxQueue = 1024

func (e *endpoint) slots() int { return max(e.member.Endpoint.Slots, 1) }

// capacity is the number of attempts that the endpoint runs at a time.
func (e *endpoint) capacity() float64 {
	if e.limit > 0 {
		return float64(e.limit)
	}
	return float64(e.slots())
}

// load is the estimated number of attempts at the endpoint. The own ones count
// in full, those of others less, since reports lag.
func (e *endpoint) load(now time.Time, p *Params) float64 {
	return float64(e.inFlight) + p.ReportWeight*e.othersNow(now, p)
}

// othersNow is the reported load, less the older the report is.
func (e *endpoint) othersNow(now time.Time, p *Params) float64 {
	if e.others == 0 {
		return 0
	}
	return e.others * math.Exp(-float64(now.Sub(e.reported))/float64(p.LoadTrust))
}

// learn updates averages and penalties from an outcome. The service is that of
// an answered call. The first answer of an endpoint counts as one more sample of
// the service, since the first one after a start is often slow.
func (e *endpoint) learn(o *mesh.Outcome, s *service, now time.Time, p *Params) {
	weight := p.weight(e.observed, now)
	switch {
	case unreachable(o):
		e.strike(now, p)
		return
	case e.givenUp(o, p):
		if e.silent++; e.silent >= p.SilentCalls {
			e.strike(now, p)
			return
		}
	case shed(o):
		if busy(o) {
			e.full(now, p)
		}
	case s != nil:
		e.silent = 0
		if e.latency == 0 {
			e.latency = s.expected
		}
		e.latency = average(e.latency, float64(o.Duration)/s.scale(o.Route), weight)
		e.recover(now)
	}
	e.observed = now
	e.failures += weight * (failureOf(o) - e.failures)
}

// failureOf returns 1 for an outcome that tells against the upstream, else 0. A
// refusal with slots free does; it spares no work of others.
func failureOf(o *mesh.Outcome) float64 {
	failed := o.Failed
	if shed(o) {
		failed = !busy(o)
	}
	if failed {
		return 1
	}
	return 0
}

// history returns the average time of an answer and the share of failures. Both
// return to those of an average endpoint without samples, so that one that was
// slow or failing is tried again. Expected stands for an unknown time.
func (e *endpoint) history(expected float64, now time.Time, trust time.Duration) (latency, failures float64) {
	if e.observed.IsZero() {
		return expected, 0
	}
	weight := e.trusted(now, trust)
	latency = expected
	if e.latency > 0 {
		latency += weight * (e.latency - expected)
	}
	return latency, weight * e.failures
}

// trusted returns the weight of the history, less the older it is.
func (e *endpoint) trusted(now time.Time, trust time.Duration) float64 {
	if e.observed.IsZero() {
		return 0
	}
	weight := math.Exp(-float64(now.Sub(e.observed)) / float64(trust))
	if weight < leastWeight {
		return 0
	}
	return weight
}

// leastWeight is the weight below which history is ignored. Without it an idle
// endpoint that was once slow would lose every comparison for good.
const leastWeight = 0.05

// givenUp reports whether the attempt waited so long for its answer that the
// endpoint may be silent. A caller with very short deadlines proves nothing.
func (e *endpoint) givenUp(o *mesh.Outcome, p *Params) bool {
	long := max(p.SilentAfter, time.Duration(4*e.latency))
	return o.Code == result.DeadlineDuring.Number && o.Status == 0 && o.Duration >= long
}

// full records that the endpoint refused a call under load, which the last
// report may contradict.
func (e *endpoint) full(now time.Time, p *Params) {
	e.others = math.Max(e.othersNow(now, p), (e.capacity()-float64(e.inFlight))/p.ReportWeight)
	e.reported, e.refused = now, now
}

// strike starts or doubles the penalty. Attempts of one broken connection fail
// together, so failures during a penalty do not add to it.
func (e *endpoint) strike(now time.Time, p *Params) {
	if now.Before(e.avoidUntil) {
		return
	}
	span := p.PenaltyMax
	if shift := e.strikes; shift < 16 {
		span = min(p.PenaltyBase<<shift, p.PenaltyMax)
	}
	e.strikes++
	e.avoidUntil = now.Add(span)
	e.silent = 0
	e.trialUntil = time.Time{}
}

// recover ends the trial period. An answer that arrives during the penalty was
// sent earlier and proves nothing about new connections.
func (e *endpoint) recover(now time.Time) {
	if now.Before(e.avoidUntil) {
		return
	}
	e.strikes = 0
	e.trialUntil = time.Time{}
}

// avoided reports whether the endpoint gets no call now: during its penalty,
// and after it while a single trial call is in flight.
func (e *endpoint) avoided(now time.Time) bool {
	return now.Before(e.avoidUntil) || (e.strikes > 0 && now.Before(e.trialUntil))
}

// unreachable reports whether the outcome shows that new work should go
// elsewhere at once: no connection, a silent or broken one, a crash, or an
// owner node that is another life or is leaving while the view lags.
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

// shed reports whether the upstream or the queue in front of it refused the
// call under load.
func shed(o *mesh.Outcome) bool {
	switch o.Code {
	case result.QueueFull.Number, result.QueueTimeout.Number, result.ClassLimit.Number, result.Shed.Number:
		return true
	}
	return o.Shed
}

// busy reports whether a refusal was for want of slots, by the load of the owner
// node at that time. Its own refusals always are.
func busy(o *mesh.Outcome) bool {
	return o.Code != result.Shed.Number || o.Load == nil || o.Load.Queued > 0 || o.Load.InFlight+1 >= o.Load.Limit
}

// answered reports whether the upstream ran the call and answered.
func answered(o *mesh.Outcome) bool { return o.Code == 0 && !o.Shed && o.Status != 0 }

// average moves old towards sample; the first sample is taken whole.
func average(old, sample, weight float64) float64 {
	if old == 0 {
		return sample
	}
	return old + weight*(sample-old)
}
