package main

import (
	"fmt"
	"time"

	"teaselring/measure/bench"
	"teaselring/test/harness"
)

// aimWorst is for the last node while the platform answers.
const aimWorst = 2 * time.Second

// samples are times from acceptance to in force; a node that had a version in
// force before the operator had the answer counts as 0.
type samples struct {
	nodes     []time.Duration // one for each node and change
	last      []time.Duration // one for each change: its last node
	fromSent  []time.Duration // the same, from the operator's request on
	accepting []time.Duration // of the operator's request
	missing   int             // nodes that never reached a change
	refused   []string
}

// change applies changes at fixed instants, each through another node.
func (m *mesh) change(count int, every time.Duration) samples {
	var s samples
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	var all []accepted
	for i := range count {
		<-ticker.C
		a, err := m.apply(m.cluster.Nodes[(i*7)%len(m.cluster.Nodes)])
		if err != nil {
			s.refused = append(s.refused, err.Error())
			continue
		}
		all = append(all, a)
	}
	if len(all) > 0 {
		m.await(all[len(all)-1], m.logs)
	}
	for _, a := range all {
		s.add(a, m.logs)
	}
	return s
}

// await waits until all the nodes have a change in force.
func (m *mesh) await(a accepted, logs []*nodeLog) {
	m.cluster.H.Until(fmt.Sprintf("version %d on all nodes", a.version), func() error {
		for _, l := range logs {
			l.read()
			if _, ok := l.reached(a.version, time.Time{}); !ok {
				return fmt.Errorf("%s has it not", l.path)
			}
		}
		return nil
	})
}

func (s *samples) add(a accepted, logs []*nodeLog) {
	var last time.Time
	for _, l := range logs {
		at, ok := l.reached(a.version, time.Time{})
		if !ok {
			s.missing++
			continue
		}
		s.nodes = append(s.nodes, max(at.Sub(a.at), 0))
		if at.After(last) {
			last = at
		}
	}
	s.last = append(s.last, max(last.Sub(a.at), 0))
	s.fromSent = append(s.fromSent, last.Sub(a.sent))
	s.accepting = append(s.accepting, a.at.Sub(a.sent))
}

func (s *samples) line(kind string, size int) map[string]any {
	return map[string]any{
		"kind": kind, "nodes": size, "changes": len(s.last), "refused": s.refused, "missing": s.missing,
		"accepted_to_each_node": milliseconds(s.nodes), "accepted_to_last_node": milliseconds(s.last),
		"sent_to_last_node": milliseconds(s.fromSent), "accepting": milliseconds(s.accepting),
		"precision_ms": 1, "aim_worst_ms": aimWorst.Milliseconds(),
		"aim_met": s.missing == 0 && len(s.refused) == 0 && bench.Quantile(s.last, 1) < aimWorst,
	}
}

func milliseconds(values []time.Duration) map[string]float64 {
	q := func(q float64) float64 { return bench.Round(float64(bench.Quantile(values, q).Microseconds())/1000, 1) }
	return map[string]float64{"median_ms": q(0.5), "p99_ms": q(0.99), "worst_ms": q(1)}
}

// usage measures what every node, its links and the platform spend while f runs.
func (m *mesh) usage(phase string, length time.Duration, f func()) map[string]any {
	before, stats, start := m.readings(), m.cluster.Platform.Stats(), time.Now()
	f()
	if rest := length - time.Since(start); rest > 0 {
		wait(rest)
	}
	seconds := time.Since(start).Seconds()
	after, done := m.readings(), m.cluster.Platform.Stats()
	var cpu, resident, links, in, out, framed, messages, up, heads []float64
	reading := 0
	for i, b := range before {
		a := after[i]
		delta := func(name string) float64 { return (a.metrics[name] - b.metrics[name]) / seconds }
		cpu = append(cpu, 100*(a.cpu-b.cpu).Seconds()/seconds)
		resident = append(resident, float64(a.resident)/(1<<20))
		in = append(in, delta("links.bytes_in"))
		out = append(out, delta("links.bytes_out"))
		count := delta("links.messages_in") + delta("links.messages_out")
		messages = append(messages, count)
		links = append(links, delta("links.bytes_in")+delta("links.bytes_out"))
		framed = append(framed, delta("links.bytes_in")+delta("links.bytes_out")+count*framing)
		up = append(up, a.metrics["links.up"])
		heads = append(heads, delta("config.head_reads"))
		if heads[i] > 0 {
			reading++
		}
	}
	return map[string]any{
		"kind": "usage of a node", "phase": phase, "nodes": len(before), "seconds": bench.Round(seconds, 1),
		"upstreams":               len(m.upstreams),
		"cpu_percent_of_core":     spread(cpu, 2),
		"resident_mib":            spread(resident, 1),
		"links_up":                spread(up, 0),
		"link_messages_per_s":     spread(messages, 1),
		"link_bytes_in_per_s":     spread(in, 0),
		"link_bytes_out_per_s":    spread(out, 0),
		"link_bytes_per_s":        spread(links, 0),
		"link_framed_bytes_per_s": spread(framed, 0),
		"framing_estimate":        framing,
		"head_reads_per_s":        spread(heads, 2),
		"nodes_that_read_heads":   reading,
		"platform_reads_per_s":    bench.Round(float64(done["reads"]-stats["reads"])/seconds, 2),
		"platform_writes_per_s":   bench.Round(float64(done["writes"]-stats["writes"])/seconds, 2),
		"platform_refused":        done["refused"] - stats["refused"],
	}
}

// framing is the estimated bytes around one message: WebSocket header and mask
// 2 to 8, TLS 1.3 record 22, TCP and IPv4 headers 52, and half of an empty
// acknowledgement of 52.
const framing = 106

// reading is the state of a node at an instant.
type reading struct {
	cpu      time.Duration
	resident int64
	metrics  map[string]float64
}

func (m *mesh) readings() []reading {
	var all []reading
	for _, n := range m.cluster.Nodes {
		all = append(all, readingOf(n))
	}
	return all
}

func readingOf(n *harness.Node) reading {
	now, _ := bench.Resident(n.PID())
	return reading{cpu: bench.CPU(n.PID()), resident: now, metrics: bench.Metrics(n)}
}

// spread is over nodes.
func spread(values []float64, decimals int) map[string]float64 {
	q := func(q float64) float64 { return bench.Round(bench.Quantile(values, q), decimals) }
	return map[string]float64{"median": q(0.5), "worst": q(1)}
}
