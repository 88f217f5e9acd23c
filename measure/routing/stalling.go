package main

import (
	"flag"
	"time"

	"teaselring/mesh"
)

// stallingPolicy adds the buffer of "Stalling in Queuing Systems with
// Heterogeneous Channels" to the router: a call for a slow server waits until one
// of the entry node's calls on a fast server ends, but at most for a fraction of
// the time that a fast server saves.
type stallingPolicy struct {
	*routerPolicy
	latency []float64 // moving average of the response time in ns, by server
	buffer  []*job    // in order of arrival
}

// stallFraction scales the longest wait in the buffer.
var stallFraction = flag.Float64("stall-fraction", 0.5, "longest stall as a share of the time that a fast upstream saves")

// slowLatencyRatio is the ratio to the lowest latency above which a server is
// slow.
const slowLatencyRatio = 1.5

func newStallingPolicy(sim *simulation, e *entry) *stallingPolicy {
	return &stallingPolicy{routerPolicy: newRouterPolicy(sim, e), latency: make([]float64, len(sim.servers))}
}

func (p *stallingPolicy) pick(j *job) int {
	i := p.routerPolicy.pick(j)
	wait := time.Duration(*stallFraction * (p.latency[i] - p.lowestLatency()))
	if !p.isSlow(i) || wait <= 0 || len(p.buffer) >= p.maxBuffered() {
		return i
	}
	j.buffered = true
	p.buffer = append(p.buffer, j)
	p.sim.schedule(wait, func() { p.stopWaiting(j) })
	return -1
}

// maxBuffered returns the size limit of the buffer: the slots of one server divided
// by the entry nodes of a zone, at least 1.
func (p *stallingPolicy) maxBuffered() int { return max(1, p.sim.servers[0].slots/entriesPerZone) }

func (p *stallingPolicy) lowestLatency() float64 {
	best := 0.0
	for _, l := range p.latency {
		if l > 0 && (best == 0 || l < best) {
			best = l
		}
	}
	return best
}

func (p *stallingPolicy) isSlow(i int) bool {
	return p.latency[i] > slowLatencyRatio*p.lowestLatency()
}

// stopWaiting sends a call that has waited its longest time to the server that
// the router picks.
func (p *stallingPolicy) stopWaiting(j *job) {
	if !j.buffered {
		return
	}
	for i := range p.buffer {
		if p.buffer[i] == j {
			p.buffer = append(p.buffer[:i], p.buffer[i+1:]...)
			break
		}
	}
	j.buffered = false
	p.sim.send(j, p.routerPolicy.pick(j))
}

// end sends the call that has waited longest to a fast server that has a free
// slot.
func (p *stallingPolicy) end(j *job, report mesh.Load) {
	p.routerPolicy.end(j, report)
	sample := float64(p.sim.now - j.sent)
	if p.latency[j.server] == 0 {
		p.latency[j.server] = sample
	}
	p.latency[j.server] += 0.1 * (sample - p.latency[j.server])
	if len(p.buffer) > 0 && report.Queued == 0 && !p.isSlow(j.server) {
		next := p.buffer[0]
		p.buffer = p.buffer[1:]
		next.buffered = false
		p.sim.send(next, j.server)
	}
}
