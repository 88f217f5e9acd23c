package main

import (
	"time"

	"teaselring/measure/bench"
)

// connectionCounts counts the connections of one server, which is a node and
// the upstream beside it, by kind.
type connectionCounts map[string]int

// connectionSummary summarizes the peak samples of all servers.
type connectionSummary struct {
	Mean      float64        `json:"mean"`
	Max       int            `json:"most"`
	MaxByKind map[string]int `json:"most_by_kind"`
}

// watchConnections samples the connections every second. The returned function
// stops the sampling and returns the summary.
func (m *mesh) watchConnections() func() connectionSummary {
	peaks := make([]connectionCounts, len(m.upstreams))
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(time.Second)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				m.sampleConnections(peaks)
			case <-stop:
				return
			}
		}
	}()
	return func() connectionSummary {
		close(stop)
		<-done
		return summarizePeaks(peaks)
	}
}

func (m *mesh) sampleConnections(peaks []connectionCounts) {
	sockets := bench.ReadSockets()
	for i := range m.upstreams {
		if counts := m.countConnections(i, sockets); peaks[i] == nil || counts["total"] > peaks[i]["total"] {
			peaks[i] = counts
		}
	}
}

func (m *mesh) countConnections(i int, sockets bench.Sockets) connectionCounts {
	n, u := m.cluster.Nodes[i], m.upstreams[i]
	counts := connectionCounts{}
	for _, c := range sockets.OfProcess(n.PID()) {
		kind := "to other nodes"
		switch {
		case c[0] == n.Callers:
			kind = "from callers"
		case c[0] == n.Peers:
			kind = "from other nodes"
		case c[0] == n.Announce || c[0] == n.Operators:
			kind = "announcements and operators"
		case c[1] == u.Address:
			kind = "to its upstream"
		case c[1] == m.cluster.Platform.Address:
			kind = "to the platform"
		}
		counts[kind]++
		counts["total"]++
	}
	// The server also holds the upstream's ends of its loopback connections.
	ofUpstream := len(sockets.OfProcess(u.PID()))
	counts["of the upstream process"] += ofUpstream
	counts["total"] += ofUpstream
	return counts
}

func summarizePeaks(peaks []connectionCounts) connectionSummary {
	s := connectionSummary{MaxByKind: map[string]int{}}
	for _, counts := range peaks {
		s.Mean += float64(counts["total"]) / float64(len(peaks))
		s.Max = max(s.Max, counts["total"])
		for kind, count := range counts {
			s.MaxByKind[kind] = max(s.MaxByKind[kind], count)
		}
	}
	s.Mean = bench.Round(s.Mean, 1)
	return s
}
