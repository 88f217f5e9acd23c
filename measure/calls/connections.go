package main

import (
	"time"

	"teaselring/measure/bench"
)

// held counts the connections of one server, that is of a node and the
// upstream beside it.
type held map[string]int

// summary is over all servers, each at the sample where it held the most.
type summary struct {
	Mean   float64        `json:"mean"`
	Most   int            `json:"most"`
	Detail map[string]int `json:"most_by_kind"`
}

// watchConnections samples every second until the returned function is called.
func (m *mesh) watchConnections() func() summary {
	most := make([]held, len(m.upstreams))
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(time.Second)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				m.sampleConnections(most)
			case <-stop:
				return
			}
		}
	}()
	return func() summary {
		close(stop)
		<-done
		return summarise(most)
	}
}

func (m *mesh) sampleConnections(most []held) {
	sockets := bench.ReadSockets()
	for i := range m.upstreams {
		if now := m.connectionsOf(i, sockets); most[i] == nil || now["total"] > most[i]["total"] {
			most[i] = now
		}
	}
}

func (m *mesh) connectionsOf(i int, sockets bench.Sockets) held {
	n, u := m.cluster.Nodes[i], m.upstreams[i]
	h := held{}
	for _, c := range sockets.Of(n.PID()) {
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
		h[kind]++
		h["total"]++
	}
	// The upstream's ends of loopback connections count for the server as well.
	ofUpstream := len(sockets.Of(u.PID()))
	h["of the upstream process"] += ofUpstream
	h["total"] += ofUpstream
	return h
}

func summarise(servers []held) summary {
	s := summary{Detail: map[string]int{}}
	for _, h := range servers {
		s.Mean += float64(h["total"]) / float64(len(servers))
		s.Most = max(s.Most, h["total"])
		for kind, count := range h {
			s.Detail[kind] = max(s.Detail[kind], count)
		}
	}
	s.Mean = bench.Round(s.Mean, 1)
	return s
}
