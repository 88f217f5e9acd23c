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
	bodyBytes          = 1 << 30
	targetMemoryGrowth = 64 << 20
	idleDuration       = 20 * time.Second
	targetIdleCPU      = 0.003 // share of a core for an idle node with 10 peers
)

// alphabetReader is the endless text that the upstream returns for /stream.
type alphabetReader struct{ offset int }

// Read implements io.Reader.
func (r *alphabetReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte('a' + r.offset%26)
		r.offset++
	}
	return len(p), nil
}

func sha256Hex(r io.Reader) (string, int64) {
	sum := sha256.New()
	n, _ := io.Copy(sum, r)
	return hex.EncodeToString(sum.Sum(nil)), n
}

// measureBodies sends 1 GiB through an entry node and an owner node in each
// direction and prints the memory growth of both.
func (m *mesh) measureBodies() {
	entry := m.cluster.Nodes[serversPerService]
	expected, _ := sha256Hex(io.LimitReader(new(alphabetReader), bodyBytes))
	m.measureTransfer("upload", entry, func() (string, string, error) {
		r, _ := http.NewRequest(http.MethodPut, "http://"+entry.Callers+"/digest", io.LimitReader(new(alphabetReader), bodyBytes))
		r.ContentLength = bodyBytes
		response, err := callerTransport.RoundTrip(r)
		if err != nil {
			return "", "", err
		}
		defer func() { _ = response.Body.Close() }()
		sum, err := io.ReadAll(response.Body)
		return string(sum), response.Header.Get("Upstream-Process"), err
	}, expected)
	m.measureTransfer("answer", entry, func() (string, string, error) {
		r, _ := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/stream?bytes=%d", entry.Callers, bodyBytes), nil)
		response, err := callerTransport.RoundTrip(r)
		if err != nil {
			return "", "", err
		}
		defer func() { _ = response.Body.Close() }()
		sum, _ := sha256Hex(response.Body)
		return sum, response.Header.Get("Upstream-Process"), nil
	}, expected)
}

func (m *mesh) measureTransfer(direction string, entry *harness.Node, transfer func() (sum, process string, err error), expected string) {
	before := make([]int64, len(m.cluster.Nodes))
	for i, n := range m.cluster.Nodes {
		before[i], _ = bench.ResidentMemory(n.PID())
		if err := bench.ResetPeakMemory(n.PID()); err != nil {
			panic(err)
		}
	}
	start := time.Now()
	sum, process, err := transfer()
	elapsed := time.Since(start)
	growthMiB := func(i int) float64 {
		_, peak := bench.ResidentMemory(m.cluster.Nodes[i].PID())
		return bench.Round(float64(peak-before[i])/(1<<20), 1)
	}
	owner := m.process[process]
	bench.Emit(map[string]any{
		"kind": "1 GiB " + direction, "error": fmt.Sprint(err), "whole": sum == expected, "seconds": bench.Round(elapsed.Seconds(), 2),
		"entry": entry.Name, "entry_growth_mib": growthMiB(serversPerService), "owner": m.cluster.Nodes[owner].Name, "owner_growth_mib": growthMiB(owner),
		"aim_mib": targetMemoryGrowth >> 20, "aim_met": max(growthMiB(serversPerService), growthMiB(owner)) < targetMemoryGrowth>>20,
	})
}

// measureIdle prints the CPU time of nodes that have upstreams but no calls.
func (m *mesh) measureIdle() {
	before := make([]time.Duration, len(m.cluster.Nodes))
	for i, n := range m.cluster.Nodes {
		before[i] = bench.CPUTime(n.PID())
	}
	start := time.Now()
	timer := time.NewTimer(idleDuration)
	<-timer.C
	var shares []float64
	for i, n := range m.cluster.Nodes {
		shares = append(shares, (bench.CPUTime(n.PID())-before[i]).Seconds()/time.Since(start).Seconds())
	}
	median, worst := bench.Quantile(shares, 0.5), bench.Quantile(shares, 1)
	bench.Emit(map[string]any{
		"kind": "idle node", "peers": len(shares) - 1, "cpu_percent_of_core_median": bench.Round(100*median, 2),
		"cpu_percent_of_core_worst": bench.Round(100*worst, 2), "aim_percent": 100 * targetIdleCPU, "aim_met": worst <= targetIdleCPU,
	})
}
