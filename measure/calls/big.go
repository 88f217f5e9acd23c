package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"time"

	"teaselring/measure/bench"
	"teaselring/test/harness"
)

const (
	bigBytes    = 1 << 30
	aimGrowth   = 64 << 20
	idleLength  = 20 * time.Second
	aimIdleCore = 0.003 // of a core, of an idle node with 10 peers
)

// letters is the endless text of the upstream's /stream.
type letters struct{ at int }

// Read implements io.Reader.
func (l *letters) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte('a' + l.at%26)
		l.at++
	}
	return len(p), nil
}

func digest(r io.Reader) (string, int64) {
	sum := sha256.New()
	n, _ := io.Copy(sum, r)
	return hex.EncodeToString(sum.Sum(nil)), n
}

// bodies sends 1 GiB through an entry and an owner node in each direction and
// prints how much the memory of both grew.
func (m *mesh) bodies() {
	entry := m.cluster.Nodes[perService]
	expected, _ := digest(io.LimitReader(new(letters), bigBytes))
	m.body("upload", entry, func() (string, string, error) {
		r, _ := http.NewRequest(http.MethodPut, "http://"+entry.Callers+"/digest", io.LimitReader(new(letters), bigBytes))
		r.ContentLength = bigBytes
		answer, err := callers.RoundTrip(r)
		if err != nil {
			return "", "", err
		}
		defer func() { _ = answer.Body.Close() }()
		sum, err := io.ReadAll(answer.Body)
		return string(sum), answer.Header.Get("Upstream-Process"), err
	}, expected)
	m.body("answer", entry, func() (string, string, error) {
		r, _ := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/stream?bytes=%d", entry.Callers, bigBytes), nil)
		answer, err := callers.RoundTrip(r)
		if err != nil {
			return "", "", err
		}
		defer func() { _ = answer.Body.Close() }()
		sum, _ := digest(answer.Body)
		return sum, answer.Header.Get("Upstream-Process"), nil
	}, expected)
}

func (m *mesh) body(direction string, entry *harness.Node, transfer func() (sum, process string, err error), expected string) {
	before := make([]int64, len(m.cluster.Nodes))
	for i, n := range m.cluster.Nodes {
		before[i], _ = bench.Resident(n.PID())
		if err := bench.ResetPeak(n.PID()); err != nil {
			panic(err)
		}
	}
	start := time.Now()
	sum, process, err := transfer()
	took := time.Since(start)
	grown := func(i int) float64 {
		_, peak := bench.Resident(m.cluster.Nodes[i].PID())
		return bench.Round(float64(peak-before[i])/(1<<20), 1)
	}
	owner := m.process[process]
	bench.Emit(map[string]any{
		"kind": "1 GiB " + direction, "error": fmt.Sprint(err), "whole": sum == expected, "seconds": bench.Round(took.Seconds(), 2),
		"entry": entry.Name, "entry_growth_mib": grown(perService), "owner": m.cluster.Nodes[owner].Name, "owner_growth_mib": grown(owner),
		"aim_mib": aimGrowth >> 20, "aim_met": max(grown(perService), grown(owner)) < aimGrowth>>20,
	})
}

// idle prints the processor time of nodes that have upstreams and no calls.
func (m *mesh) idle() {
	before := make([]time.Duration, len(m.cluster.Nodes))
	for i, n := range m.cluster.Nodes {
		before[i] = bench.CPU(n.PID())
	}
	start := time.Now()
	timer := time.NewTimer(idleLength)
	<-timer.C
	var shares []float64
	for i, n := range m.cluster.Nodes {
		shares = append(shares, (bench.CPU(n.PID())-before[i]).Seconds()/time.Since(start).Seconds())
	}
	median, worst := bench.Quantile(shares, 0.5), bench.Quantile(shares, 1)
	bench.Emit(map[string]any{
		"kind": "idle node", "peers": len(shares) - 1, "cpu_percent_of_core_median": bench.Round(100*median, 2),
		"cpu_percent_of_core_worst": bench.Round(100*worst, 2), "aim_percent": 100 * aimIdleCore, "aim_met": worst <= aimIdleCore,
	})
}
