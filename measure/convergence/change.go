package main

import (
	"fmt"
	"time"

	"teaselring/measure/bench"
	"teaselring/test/harness"
)

// targetWorst bounds the time from acceptance until the last node has a change in
// force, while the platform is available.
const targetWorst = 2 * time.Second

// samples holds times from the acceptance of a change until it is in force. A
// node that had it in force before the operator received the response counts as 0.
type samples struct {
	perNode       []time.Duration // one for each node and change
	slowest       []time.Duration // one for each change, of its last node
	sentToSlowest []time.Duration // as slowest, but from the operator's request
	acceptTime    []time.Duration // from the operator's request to its response
	missing       int             // count of nodes that never had a change in force
	refused       []string
}

// applyChanges applies changes at a fixed interval, each through another node.
func (m *mesh) applyChanges(count int, interval time.Duration) samples {
	var s samples
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var changes []acceptedChange
	for i := range count {
		<-ticker.C
		a, err := m.applyChange(m.cluster.Nodes[(i*7)%len(m.cluster.Nodes)])
		if err != nil {
			s.refused = append(s.refused, err.Error())
			continue
		}
		changes = append(changes, a)
	}
	if len(changes) > 0 {
		m.waitInForce(changes[len(changes)-1], m.logs)
	}
	for _, a := range changes {
		s.add(a, m.logs)
	}
	return s
}

// waitInForce waits until a change is in force on the nodes of all logs.
func (m *mesh) waitInForce(a acceptedChange, logs []*nodeLog) {
	m.cluster.H.WaitUntil(fmt.Sprintf("version %d on all nodes", a.version), func() error {
		for _, l := range logs {
			l.readNewLines()
			if _, ok := l.firstInForce(a.version, time.Time{}); !ok {
				return fmt.Errorf("%s does not show the version in force", l.path)
			}
		}
		return nil
	})
}

func (s *samples) add(a acceptedChange, logs []*nodeLog) {
	var slowest time.Time
	for _, l := range logs {
		at, ok := l.firstInForce(a.version, time.Time{})
		if !ok {
			s.missing++
			continue
		}
		s.perNode = append(s.perNode, max(at.Sub(a.at), 0))
		if at.After(slowest) {
			slowest = at
		}
	}
	s.slowest = append(s.slowest, max(slowest.Sub(a.at), 0))
	s.sentToSlowest = append(s.sentToSlowest, slowest.Sub(a.sentAt))
	s.acceptTime = append(s.acceptTime, a.at.Sub(a.sentAt))
}

func (s *samples) summaryLine(kind string, size int) map[string]any {
	return map[string]any{
		"kind": kind, "nodes": size, "changes": len(s.slowest), "refused": s.refused, "missing": s.missing,
		"accepted_to_each_node": milliseconds(s.perNode), "accepted_to_last_node": milliseconds(s.slowest),
		"sent_to_last_node": milliseconds(s.sentToSlowest), "accepting": milliseconds(s.acceptTime),
		"precision_ms": 1, "aim_worst_ms": targetWorst.Milliseconds(),
		"aim_met": s.missing == 0 && len(s.refused) == 0 && bench.Quantile(s.slowest, 1) < targetWorst,
	}
}

func milliseconds(values []time.Duration) map[string]float64 {
	q := func(q float64) float64 { return bench.Round(float64(bench.Quantile(values, q).Microseconds())/1000, 1) }
	return map[string]float64{"median_ms": q(0.5), "p99_ms": q(0.99), "worst_ms": q(1)}
}

// measureUsage measures the resources used by nodes, links and the platform while
// f runs, for at least the given length.
func (m *mesh) measureUsage(phase string, length time.Duration, f func()) map[string]any {
	before, statsBefore, start := m.sampleNodes(), m.cluster.Platform.Stats(), time.Now()
	f()
	if remaining := length - time.Since(start); remaining > 0 {
		sleep(remaining)
	}
	seconds := time.Since(start).Seconds()
	after, statsAfter := m.sampleNodes(), m.cluster.Platform.Stats()
	var cpu, resident, linkBytes, bytesIn, bytesOut, framedBytes, messages, linksUp, headReads []float64
	headReaders := 0
	for i, b := range before {
		a := after[i]
		delta := func(name string) float64 { return (a.metrics[name] - b.metrics[name]) / seconds }
		cpu = append(cpu, 100*(a.cpu-b.cpu).Seconds()/seconds)
		resident = append(resident, float64(a.resident)/(1<<20))
		bytesIn = append(bytesIn, delta("links.bytes_in"))
		bytesOut = append(bytesOut, delta("links.bytes_out"))
		count := delta("links.messages_in") + delta("links.messages_out")
		messages = append(messages, count)
		linkBytes = append(linkBytes, delta("links.bytes_in")+delta("links.bytes_out"))
		framedBytes = append(framedBytes, delta("links.bytes_in")+delta("links.bytes_out")+count*framingBytes)
		linksUp = append(linksUp, a.metrics["links.up"])
		headReads = append(headReads, delta("config.head_reads"))
		if headReads[i] > 0 {
			headReaders++
		}
	}
	return map[string]any{
		"kind": "usage of a node", "phase": phase, "nodes": len(before), "seconds": bench.Round(seconds, 1),
		"upstreams":               len(m.upstreams),
		"cpu_percent_of_core":     medianAndWorst(cpu, 2),
		"resident_mib":            medianAndWorst(resident, 1),
		"links_up":                medianAndWorst(linksUp, 0),
		"link_messages_per_s":     medianAndWorst(messages, 1),
		"link_bytes_in_per_s":     medianAndWorst(bytesIn, 0),
		"link_bytes_out_per_s":    medianAndWorst(bytesOut, 0),
		"link_bytes_per_s":        medianAndWorst(linkBytes, 0),
		"link_framed_bytes_per_s": medianAndWorst(framedBytes, 0),
		"framing_estimate":        framingBytes,
		"head_reads_per_s":        medianAndWorst(headReads, 2),
		"nodes_that_read_heads":   headReaders,
		"platform_reads_per_s":    bench.Round(float64(statsAfter["reads"]-statsBefore["reads"])/seconds, 2),
		"platform_writes_per_s":   bench.Round(float64(statsAfter["writes"]-statsBefore["writes"])/seconds, 2),
		"platform_refused":        statsAfter["refused"] - statsBefore["refused"],
	}
}

// framingBytes is the estimated overhead of one message in bytes: 2 to 8 for the
// WebSocket header and mask, 22 for the TLS 1.3 record, 52 for TCP and IPv4
// headers, and half of an empty acknowledgement of 52.
const framingBytes = 106

// usageSample holds the counters of a node at one time.
type usageSample struct {
	cpu      time.Duration
	resident int64
	metrics  map[string]float64
}

func (m *mesh) sampleNodes() []usageSample {
	var all []usageSample
	for _, n := range m.cluster.Nodes {
		all = append(all, sampleNode(n))
	}
	return all
}

func sampleNode(n *harness.Node) usageSample {
	current, _ := bench.ResidentMemory(n.PID())
	return usageSample{cpu: bench.CPUTime(n.PID()), resident: current, metrics: bench.Metrics(n)}
}

// medianAndWorst summarizes the values of all nodes.
func medianAndWorst(values []float64, decimals int) map[string]float64 {
	q := func(q float64) float64 { return bench.Round(bench.Quantile(values, q), decimals) }
	return map[string]float64{"median": q(0.5), "worst": q(1)}
}
