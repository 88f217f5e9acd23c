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

// targetAddedP99 bounds the latency added at the 99th percentile at design scale.
const targetAddedP99 = 580 * time.Microsecond

const roundDuration = 2 * time.Second

// path is a route to the upstream beside node 0, with its measurements.
type path struct {
	name      string
	baseURL   string
	nodes     []*harness.Node // that the call passes through
	latency   []time.Duration
	lateness  []time.Duration
	calls     int
	failed    int
	misrouted int             // served by an upstream other than that beside node 0
	cpuTime   []time.Duration // of each node
	rounds    []bench.Quantiles
}

// paths returns the three paths. Node 4 prefers the upstream beside node 0
// because both nodes are in the same zone.
func (m *mesh) paths() []*path {
	nodes := m.cluster.Nodes
	owner, entry := nodes[0], nodes[serversPerService]
	return []*path{
		{name: "direct", baseURL: "http://" + m.upstreams[0].Address},
		{name: "one node", baseURL: "http://" + owner.Callers, nodes: []*harness.Node{owner}},
		{name: "two nodes", baseURL: "http://" + entry.Callers, nodes: []*harness.Node{entry, owner}},
	}
}

// measureLatency sends the same load over the three paths in rotating order, so
// that other load on the machine affects all of them. Round 0 is a warm-up.
func (m *mesh) measureLatency() {
	m.setServiceTime(0)
	paths := m.paths()
	for round := range *rounds + 1 {
		for turn := range paths {
			p := paths[(round+turn)%len(paths)]
			schedule := bench.PoissonSchedule(uint64(round), *rate, roundDuration)
			if round == 0 {
				warm := *p
				m.runRound(&warm, schedule)
				continue
			}
			m.runRound(p, schedule)
		}
	}
	direct, quiet := bench.QuantilesOf(paths[0].latency), paths[0].quietestRound()
	for _, p := range paths {
		m.emitPath(p, direct, quiet)
	}
}

// runRound runs one round on one path.
func (m *mesh) runRound(p *path, schedule []time.Duration) {
	before := p.cpuTimes()
	type outcome struct {
		latency           time.Duration
		failed, misrouted bool
	}
	outcomes := make([]outcome, len(schedule))
	lateness := bench.Replay(schedule, func(i int, due time.Time) {
		q := request{method: http.MethodGet, url: fmt.Sprintf("%s/%s/read?i=%d", p.baseURL, services[0], i)}
		r := q.send(due)
		upstream, known := m.process[r.process]
		outcomes[i] = outcome{r.latency, !q.succeeded(r), !known || upstream != 0}
	})
	for i, after := range p.cpuTimes() {
		if p.cpuTime == nil {
			p.cpuTime = make([]time.Duration, len(p.nodes))
		}
		p.cpuTime[i] += after - before[i]
	}
	p.calls += len(schedule)
	first := len(p.latency)
	for i, o := range outcomes {
		switch {
		case o.failed:
			p.failed++
		case o.misrouted:
			p.misrouted++
		default:
			p.latency = append(p.latency, o.latency)
			p.lateness = append(p.lateness, lateness[i])
		}
	}
	p.rounds = append(p.rounds, bench.QuantilesOf(slices.Clone(p.latency[first:])))
}

// quietestRound returns the round with the lowest p99. On a machine with other
// load it shows the latency of the system better than all rounds together.
func (p *path) quietestRound() bench.Quantiles {
	return slices.MinFunc(p.rounds, func(a, b bench.Quantiles) int { return cmp.Compare(a.P99, b.P99) })
}

func (p *path) cpuTimes() []time.Duration {
	var used []time.Duration
	for _, n := range p.nodes {
		used = append(used, bench.CPUTime(n.PID()))
	}
	return used
}

func (m *mesh) emitPath(p *path, direct, quietDirect bench.Quantiles) {
	q, quiet := bench.QuantilesOf(p.latency), p.quietestRound()
	line := map[string]any{
		"kind": "added time", "slots": m.slots, "path": p.name, "calls_per_second": *rate,
		"time": q, "quietest_round": quiet,
		"calls": p.calls, "failed": p.failed, "answered_by_another_upstream": p.misrouted,
		"generator_late": bench.QuantilesOf(p.lateness),
	}
	if len(p.nodes) > 0 {
		line["added_us"], line["ratio"] = compareQuantiles(q, direct)
		line["quietest_added_us"], line["quietest_ratio"] = compareQuantiles(quiet, quietDirect)
		line["aim_added_p99_us"] = targetAddedP99.Microseconds()
		line["aim_met"] = targetMet(q.P99 - direct.P99)
		line["quietest_aim_met"] = targetMet(quiet.P99 - quietDirect.P99)
		var perCall []float64
		for _, used := range p.cpuTime {
			perCall = append(perCall, bench.Round(float64(used.Microseconds())/float64(max(p.calls, 1)), 0))
		}
		line["node_cpu_us_per_call"] = perCall // entry node first
	}
	bench.Emit(line)
}

// targetMet reports whether the target was met. The result is void if the direct
// path was slower, because other load on the machine then caused the difference.
func targetMet(addedP99us int64) string {
	switch {
	case addedP99us < 0:
		return "void: the direct path was disturbed more"
	case addedP99us <= targetAddedP99.Microseconds():
		return "yes"
	}
	return "no"
}

func compareQuantiles(q, direct bench.Quantiles) (added map[string]int64, ratios map[string]float64) {
	return map[string]int64{"p50": q.P50 - direct.P50, "p99": q.P99 - direct.P99, "p99.9": q.P999 - direct.P999},
		map[string]float64{"p50": ratio(q.P50, direct.P50), "p99": ratio(q.P99, direct.P99), "p99.9": ratio(q.P999, direct.P999)}
}

func ratio(a, b int64) float64 { return bench.Round(float64(a)/float64(max(b, 1)), 2) }
