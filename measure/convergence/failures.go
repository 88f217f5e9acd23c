package main

import (
	"fmt"
	"sync"
	"time"

	"teaselring/measure/bench"
	"teaselring/test/harness"
)

// restartThird kills every third node and restarts it at once. It measures when
// each has the newest version in force and the rate of reads from the platform.
func (m *mesh) restartThird() {
	newest, err := m.applyChange(m.cluster.Nodes[0])
	if err != nil {
		m.emitFailure("third restarted", err)
		return
	}
	m.waitInForce(newest, m.logs)
	start := time.Now()
	stopWatching := m.watchPlatformReads()
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
	m.waitInForceAfter("third restarted", newest.version, start, logs)
	m.waitMembers(len(m.cluster.Nodes))
	viewComplete := time.Since(start)
	var durations []time.Duration
	for _, l := range logs {
		at, _ := l.firstInForce(newest.version, start)
		durations = append(durations, at.Sub(start))
	}
	peak, mean := stopWatching()
	bench.Emit(map[string]any{
		"kind": "third restarted at once", "nodes": len(m.cluster.Nodes), "restarted": len(logs),
		"all_processes_started_ms": started.Sub(start).Milliseconds(), "kill_to_in_force": milliseconds(durations),
		"kill_to_whole_view_ms": viewComplete.Milliseconds(), "platform_reads_per_s_peak": peak, "platform_reads_per_s_mean": mean,
	})
	m.measureChange("change after the third restarted")
}

func (m *mesh) waitInForceAfter(what string, version uint64, after time.Time, logs []*nodeLog) {
	m.cluster.H.WaitUntil(what, func() error {
		for _, l := range logs {
			l.readNewLines()
			if _, ok := l.firstInForce(version, after); !ok {
				return fmt.Errorf("%s: version %d is not in force again", l.path, version)
			}
		}
		return nil
	})
}

// watchPlatformReads samples the rate of reads from the platform. The returned
// function stops the sampling and returns reads per second.
func (m *mesh) watchPlatformReads() func() (peak, mean float64) {
	const period = 200 * time.Millisecond
	stop, done := make(chan struct{}), make(chan struct{})
	var peak float64
	readsBefore, start := m.cluster.Platform.Stats()["reads"], time.Now()
	go func() {
		defer close(done)
		ticker := time.NewTicker(period)
		defer ticker.Stop()
		last, at := readsBefore, start
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
		total := m.cluster.Platform.Stats()["reads"] - readsBefore
		return bench.Round(peak, 0), bench.Round(float64(total)/time.Since(start).Seconds(), 1)
	}
}

// outageAfterAcceptance starts a platform outage as soon as a change is accepted.
func (m *mesh) outageAfterAcceptance() {
	a, err := m.applyChange(m.cluster.Nodes[1])
	m.cluster.Platform.Control(map[string]any{"outage": true})
	if err != nil {
		m.emitFailure("platform down right after acceptance", err)
		return
	}
	m.waitInForce(a, m.logs)
	var s samples
	s.add(a, m.logs)
	_, refusal := m.applyChange(m.cluster.Nodes[2])
	m.cluster.Platform.Control(map[string]any{"outage": false})
	summaryLine := s.summaryLine("platform down right after acceptance", len(m.cluster.Nodes))
	summaryLine["change_during_the_outage"] = fmt.Sprint(refusal)
	bench.Emit(summaryLine)
	m.measureChange("change after the outage")
}

const pauseDuration = 30 * time.Second

// pauseZone pauses all node processes of a zone for 30 s and applies one change
// meanwhile. The other nodes see silent connections, as in a network partition,
// but unlike in a partition the paused nodes do not run.
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
	a, err := m.applyChange(m.cluster.Nodes[0])
	if err != nil {
		m.emitFailure("zone paused", err)
		return
	}
	m.waitInForce(a, others)
	var s samples
	s.add(a, others)
	sleep(time.Until(start.Add(pauseDuration)))
	resumed := time.Now()
	for _, n := range nodes {
		n.Resume()
	}
	m.waitInForceAfter("the change in the paused zone", a.version, resumed, paused)
	var durations []time.Duration
	for _, l := range paused {
		at, _ := l.firstInForce(a.version, resumed)
		durations = append(durations, at.Sub(resumed))
	}
	m.waitMembers(len(m.cluster.Nodes))
	summaryLine := s.summaryLine("zone paused for 30 s (not cut: its processes did not run)", len(m.cluster.Nodes))
	summaryLine["resumed_to_in_force_in_the_zone"] = milliseconds(durations)
	summaryLine["resumed_to_whole_view_ms"] = time.Since(resumed).Milliseconds()
	bench.Emit(summaryLine)
}

func (m *mesh) measureChange(kind string) {
	a, err := m.applyChange(m.cluster.Nodes[1])
	if err != nil {
		m.emitFailure(kind, err)
		return
	}
	m.waitInForce(a, m.logs)
	var s samples
	s.add(a, m.logs)
	bench.Emit(s.summaryLine(kind, len(m.cluster.Nodes)))
}

func (m *mesh) emitFailure(kind string, err error) {
	bench.Emit(map[string]any{"kind": kind, "nodes": len(m.cluster.Nodes), "failed": err.Error()})
}
