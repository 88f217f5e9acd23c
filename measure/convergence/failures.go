package main

import (
	"fmt"
	"sync"
	"time"

	"teaselring/measure/bench"
	"teaselring/test/harness"
)

// restartThird kills every third node and starts it again at once, then
// measures when each has the newest version in force and how much the platform
// is read.
func (m *mesh) restartThird() {
	newest, err := m.apply(m.cluster.Nodes[0])
	if err != nil {
		m.failed("third restarted", err)
		return
	}
	m.await(newest, m.logs)
	start := time.Now()
	reads := m.watchReads()
	var restarting sync.WaitGroup
	var logs []*nodeLog
	for i, n := range m.cluster.Nodes {
		if i%3 == 0 {
			logs = append(logs, m.logs[i])
			restarting.Go(n.Restart)
		}
	}
	restarting.Wait()
	started := time.Now()
	m.awaitAgain("third restarted", newest.version, start, logs)
	m.waitMembers(len(m.cluster.Nodes))
	whole := time.Since(start)
	var took []time.Duration
	for _, l := range logs {
		at, _ := l.reached(newest.version, start)
		took = append(took, at.Sub(start))
	}
	peak, mean := reads()
	bench.Emit(map[string]any{
		"kind": "third restarted at once", "nodes": len(m.cluster.Nodes), "restarted": len(logs),
		"all_processes_started_ms": started.Sub(start).Milliseconds(), "kill_to_in_force": milliseconds(took),
		"kill_to_whole_view_ms": whole.Milliseconds(), "platform_reads_per_s_peak": peak, "platform_reads_per_s_mean": mean,
	})
	m.measureChange("change after the third restarted")
}

func (m *mesh) awaitAgain(what string, version uint64, after time.Time, logs []*nodeLog) {
	m.cluster.H.Until(what, func() error {
		for _, l := range logs {
			l.read()
			if _, ok := l.reached(version, after); !ok {
				return fmt.Errorf("%s has version %d not in force again", l.path, version)
			}
		}
		return nil
	})
}

// watchReads samples the platform's reads until the returned function is called.
func (m *mesh) watchReads() func() (peak, mean float64) {
	const period = 200 * time.Millisecond
	stop, done := make(chan struct{}), make(chan struct{})
	var peak float64
	first, start := m.cluster.Platform.Stats()["reads"], time.Now()
	go func() {
		defer close(done)
		ticker := time.NewTicker(period)
		defer ticker.Stop()
		last, at := first, start
		for {
			select {
			case <-ticker.C:
				now, reads := time.Now(), m.cluster.Platform.Stats()["reads"]
				peak = max(peak, float64(reads-last)/now.Sub(at).Seconds())
				last, at = reads, now
			case <-stop:
				return
			}
		}
	}()
	return func() (float64, float64) {
		close(stop)
		<-done
		total := m.cluster.Platform.Stats()["reads"] - first
		return bench.Round(peak, 0), bench.Round(float64(total)/time.Since(start).Seconds(), 1)
	}
}

// outageAfterAcceptance takes the platform away as soon as a change is accepted.
func (m *mesh) outageAfterAcceptance() {
	a, err := m.apply(m.cluster.Nodes[1])
	m.cluster.Platform.Control(map[string]any{"outage": true})
	if err != nil {
		m.failed("platform down right after acceptance", err)
		return
	}
	m.await(a, m.logs)
	var s samples
	s.add(a, m.logs)
	_, refusal := m.apply(m.cluster.Nodes[2])
	m.cluster.Platform.Control(map[string]any{"outage": false})
	line := s.line("platform down right after acceptance", len(m.cluster.Nodes))
	line["change_during_the_outage"] = fmt.Sprint(refusal)
	bench.Emit(line)
	m.measureChange("change after the outage")
}

const pauseLength = 30 * time.Second

// pauseZone stops all processes of a zone for 30 s, with one change meanwhile.
// The other nodes see silent connections, as when the zone is cut off; unlike
// then, the nodes of the zone do nothing themselves.
func (m *mesh) pauseZone() {
	var others, paused []*nodeLog
	var nodes []*harness.Node
	for i, n := range m.cluster.Nodes {
		if i%zones == zones-1 {
			nodes, paused = append(nodes, n), append(paused, m.logs[i])
		} else {
			others = append(others, m.logs[i])
		}
	}
	for _, n := range nodes {
		n.Pause()
	}
	start := time.Now()
	a, err := m.apply(m.cluster.Nodes[0])
	if err != nil {
		m.failed("zone paused", err)
		return
	}
	m.await(a, others)
	var s samples
	s.add(a, others)
	wait(time.Until(start.Add(pauseLength)))
	resumed := time.Now()
	for _, n := range nodes {
		n.Resume()
	}
	m.awaitAgain("the change in the paused zone", a.version, resumed, paused)
	var took []time.Duration
	for _, l := range paused {
		at, _ := l.reached(a.version, resumed)
		took = append(took, at.Sub(resumed))
	}
	m.waitMembers(len(m.cluster.Nodes))
	line := s.line("zone paused for 30 s (not cut: its processes did not run)", len(m.cluster.Nodes))
	line["resumed_to_in_force_in_the_zone"] = milliseconds(took)
	line["resumed_to_whole_view_ms"] = time.Since(resumed).Milliseconds()
	bench.Emit(line)
}

func (m *mesh) measureChange(kind string) {
	a, err := m.apply(m.cluster.Nodes[1])
	if err != nil {
		m.failed(kind, err)
		return
	}
	m.await(a, m.logs)
	var s samples
	s.add(a, m.logs)
	bench.Emit(s.line(kind, len(m.cluster.Nodes)))
}

func (m *mesh) failed(kind string, err error) {
	bench.Emit(map[string]any{"kind": kind, "nodes": len(m.cluster.Nodes), "failed": err.Error()})
}
