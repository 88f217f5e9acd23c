package main

import (
	"flag"
	"time"

	"teaselring/mesh"
)

// stalling adds the buffer of "Stalling in Queuing Systems with Heterogeneous
// Channels" to the router: a call that would go to a slow server waits for one
// of the entry node's calls on a fast server to end, but no longer than the
// time that a fast server saves, times a fraction.
type stalling struct {
	*routed
	latency []float64 // average time of an answer in ns
	buffer  []*job    // in order of arrival
}

// stallFraction scales the longest wait in the buffer.
var stallFraction = flag.Float64("stall-fraction", 0.5, "longest stall as a share of the time that a fast upstream saves")

// slowFactor is the ratio of latencies from which a server counts as slow.
const slowFactor = 1.5

func newStalling(w *world, e *entry) *stalling {
	return &stalling{routed: newRouted(w, e), latency: make([]float64, len(w.servers))}
}

func (p *stalling) pick(j *job) int {
	i := p.routed.pick(j)
	wait := time.Duration(*stallFraction * (p.latency[i] - p.fastest()))
	if !p.slow(i) || wait <= 0 || len(p.buffer) >= p.threshold() {
		return i
	}
	j.held = true
	p.buffer = append(p.buffer, j)
	p.w.after(wait, func() { p.giveUp(j) })
	return -1
}

// threshold bounds the buffer by the slots of one server shared by all entry
// nodes, at least one call.
func (p *stalling) threshold() int { return max(1, p.w.servers[0].slots/entriesPerZone) }

func (p *stalling) fastest() float64 {
	best := 0.0
	for _, l := range p.latency {
		if l > 0 && (best == 0 || l < best) {
			best = l
		}
	}
	return best
}

func (p *stalling) slow(i int) bool {
	return p.latency[i] > slowFactor*p.fastest()
}

// giveUp routes a call whose wait is over without the buffer.
func (p *stalling) giveUp(j *job) {
	if !j.held {
		return
	}
	for i := range p.buffer {
		if p.buffer[i] == j {
			p.buffer = append(p.buffer[:i], p.buffer[i+1:]...)
			break
		}
	}
	j.held = false
	p.w.send(j, p.routed.pick(j))
}

// end hands a fast server with a free slot to the call that has waited longest.
func (p *stalling) end(j *job, report mesh.Load) {
	p.routed.end(j, report)
	sample := float64(p.w.now - j.sent)
	if p.latency[j.server] == 0 {
		p.latency[j.server] = sample
	}
	p.latency[j.server] += 0.1 * (sample - p.latency[j.server])
	if len(p.buffer) > 0 && report.Queued == 0 && !p.slow(j.server) {
		next := p.buffer[0]
		p.buffer = p.buffer[1:]
		next.held = false
		p.w.send(next, j.server)
	}
}
