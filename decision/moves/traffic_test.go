package moves

import (
	"fmt"
	"math/rand/v2"
	"time"

	"teaselring/mesh"
)

var start = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// rates are the failure rates of both versions on one route.
type rates struct{ old, new float64 }

// traffic generates seeded calls of several nodes and reports them to a pool,
// second by second.
type traffic struct {
	rng        *rand.Rand
	pool       *Pool
	now        time.Time
	calls      int     // each second, on each node and route
	share      float64 // of the new version
	routes     []rates
	nodes      []mesh.Evidence
	misreports int // index of a node that reports only failures of the new version; -1: none
}

func newTraffic(p *Pool, seed uint64, nodes int, routes ...rates) *traffic {
	t := &traffic{
		rng: rand.New(rand.NewPCG(seed, 1)), pool: p, now: start,
		calls: 10, share: 0.2, routes: routes, misreports: -1,
	}
	for n := range nodes {
		e := mesh.Evidence{Move: "m", Node: mesh.NodeID(fmt.Sprint("n", n)), Incarnation: 1}
		for r := range routes {
			e.Routes = append(e.Routes, mesh.Comparison{Route: mesh.RouteID(fmt.Sprint("r", r))})
		}
		t.nodes = append(t.nodes, e)
	}
	return t
}

// run simulates the given number of seconds.
func (t *traffic) run(seconds int) mesh.Verdict {
	for range seconds {
		t.now = t.now.Add(time.Second)
		for n := range t.nodes {
			e := &t.nodes[n]
			e.Routes = append([]mesh.Comparison(nil), e.Routes...)
			for r := range t.routes {
				t.addCalls(&e.Routes[r], t.routes[r], n == t.misreports)
			}
			e.Sequence++
			report := *e
			t.pool.Add(&report)
		}
		t.pool.CloseWindow(t.now)
	}
	return t.pool.Verdict()
}

func (t *traffic) addCalls(c *mesh.Comparison, p rates, misreports bool) {
	for range t.calls {
		tally, rate := &c.Old, p.old
		if t.rng.Float64() < t.share {
			tally, rate = &c.New, p.new
			if misreports {
				rate = 1
			}
		}
		tally.Calls++
		if t.rng.Float64() < rate {
			tally.Failures++
		} else {
			tally.Latency[6]++
		}
	}
}
