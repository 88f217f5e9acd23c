package main

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"time"

	"teaselring/measure/bench"
	"teaselring/test/harness"
)

// aimAddedP99 is what a call may gain at the 99th percentile at design scale.
const aimAddedP99 = 580 * time.Microsecond

const roundLength = 2 * time.Second

// path is one way to the upstream beside node 0.
type path struct {
	name   string
	base   string
	nodes  []*harness.Node // that the call passes
	took   []time.Duration
	late   []time.Duration
	calls  int
	failed int
	astray int             // answered by another upstream than the one meant
	cpu    []time.Duration // of each node
	rounds []bench.Quantiles
}

// paths returns the three ways. Nodes 0 and 4 are in the same zone: node 4
// prefers the upstream beside node 0.
func (m *mesh) paths() []*path {
	nodes := m.cluster.Nodes
	owner, entry := nodes[0], nodes[perService]
	return []*path{
		{name: "direct", base: "http://" + m.upstreams[0].Address},
		{name: "one node", base: "http://" + owner.Callers, nodes: []*harness.Node{owner}},
		{name: "two nodes", base: "http://" + entry.Callers, nodes: []*harness.Node{entry, owner}},
	}
}

// latency sends the same load over the three paths in turns, so that whatever
// else the machine does falls on all of them. The first round is a warm-up.
func (m *mesh) latency() {
	m.serviceTime(0)
	paths := m.paths()
	for round := range *rounds + 1 {
		for turn := range paths {
			p := paths[(round+turn)%len(paths)]
			schedule := bench.Schedule(uint64(round), *rate, roundLength)
			if round == 0 {
				warm := *p
				m.block(&warm, schedule)
				continue
			}
			m.block(p, schedule)
		}
	}
	direct, quiet := bench.QuantilesOf(paths[0].took), paths[0].quietest()
	for _, p := range paths {
		m.emitPath(p, direct, quiet)
	}
}

// block runs one round of one path.
func (m *mesh) block(p *path, schedule []time.Duration) {
	before := p.usage()
	type outcome struct {
		took           time.Duration
		failed, astray bool
	}
	outcomes := make([]outcome, len(schedule))
	late := bench.Replay(schedule, func(i int, due time.Time) {
		q := request{method: http.MethodGet, url: fmt.Sprintf("%s/%s/read?i=%d", p.base, services[0], i)}
		r := q.send(due)
		at, known := m.process[r.process]
		outcomes[i] = outcome{r.took, !q.answered(r), !known || at != 0}
	})
	for i, after := range p.usage() {
		if p.cpu == nil {
			p.cpu = make([]time.Duration, len(p.nodes))
		}
		p.cpu[i] += after - before[i]
	}
	p.calls += len(schedule)
	first := len(p.took)
	for i, o := range outcomes {
		switch {
		case o.failed:
			p.failed++
		case o.astray:
			p.astray++
		default:
			p.took = append(p.took, o.took)
			p.late = append(p.late, late[i])
		}
	}
	p.rounds = append(p.rounds, bench.QuantilesOf(slices.Clone(p.took[first:])))
}

// quietest returns the round with the lowest p99. On a machine that is shared
// with other work it says more about the system than the whole does.
func (p *path) quietest() bench.Quantiles {
	return slices.MinFunc(p.rounds, func(a, b bench.Quantiles) int { return cmp.Compare(a.P99, b.P99) })
}

func (p *path) usage() []time.Duration {
	var used []time.Duration
	for _, n := range p.nodes {
		used = append(used, bench.CPU(n.PID()))
	}
	return used
}

func (m *mesh) emitPath(p *path, direct, quietDirect bench.Quantiles) {
	q, quiet := bench.QuantilesOf(p.took), p.quietest()
	line := map[string]any{
		"kind": "added time", "slots": m.slots, "path": p.name, "calls_per_second": *rate,
		"time": q, "quietest_round": quiet,
		"calls": p.calls, "failed": p.failed, "answered_by_another_upstream": p.astray,
		"generator_late": bench.QuantilesOf(p.late),
	}
	if len(p.nodes) > 0 {
		line["added_us"], line["ratio"] = compare(q, direct)
		line["quietest_added_us"], line["quietest_ratio"] = compare(quiet, quietDirect)
		line["aim_added_p99_us"] = aimAddedP99.Microseconds()
		line["aim_met"] = verdict(q.P99 - direct.P99)
		line["quietest_aim_met"] = verdict(quiet.P99 - quietDirect.P99)
		var perCall []float64
		for _, used := range p.cpu {
			perCall = append(perCall, bench.Round(float64(used.Microseconds())/float64(max(p.calls, 1)), 0))
		}
		line["node_cpu_us_per_call"] = perCall // entry node first
	}
	bench.Emit(line)
}

// verdict is void where the direct path was slower: then the machine and not
// the system made the figures.
func verdict(addedP99us int64) string {
	switch {
	case addedP99us < 0:
		return "void: the direct path was disturbed more"
	case addedP99us <= aimAddedP99.Microseconds():
		return "yes"
	}
	return "no"
}

func compare(q, direct bench.Quantiles) (added map[string]int64, ratios map[string]float64) {
	return map[string]int64{"p50": q.P50 - direct.P50, "p99": q.P99 - direct.P99, "p99.9": q.P999 - direct.P999},
		map[string]float64{"p50": ratio(q.P50, direct.P50), "p99": ratio(q.P99, direct.P99), "p99.9": ratio(q.P999, direct.P999)}
}

func ratio(a, b int64) float64 { return bench.Round(float64(a)/float64(max(b, 1)), 2) }
