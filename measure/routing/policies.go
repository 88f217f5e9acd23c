package main

import (
	"fmt"
	"time"

	"teaselring/decision/routing"
	"teaselring/mesh"
)

// policy chooses servers for one entry node.
type policy interface {
	pick(j *job) int // index of a server, or -1 to hold the call
	begin(server int)
	end(j *job, report mesh.Load)
}

func newPolicy(name string, w *world, e *entry) policy {
	switch name {
	case "round-robin":
		return &roundRobin{w: w, next: w.rnd.IntN(zones)}
	case "least-of-two":
		return &leastOfTwo{w: w, inFlight: make([]int, len(w.servers))}
	case "router":
		return newRouted(w, e)
	case "router-stalling":
		return newStalling(w, e)
	}
	panic("unknown policy " + name)
}

type roundRobin struct {
	w    *world
	next int
}

func (p *roundRobin) pick(*job) int {
	p.next = (p.next + 1) % len(p.w.servers)
	return p.next
}
func (p *roundRobin) begin(int)           {}
func (p *roundRobin) end(*job, mesh.Load) {}

// leastOfTwo compares the entry node's own calls in flight on two servers.
type leastOfTwo struct {
	w        *world
	inFlight []int
}

func (p *leastOfTwo) pick(*job) int {
	n := len(p.w.servers)
	a := p.w.rnd.IntN(n)
	b := (a + 1 + p.w.rnd.IntN(n-1)) % n
	if p.inFlight[b] < p.inFlight[a] {
		return b
	}
	return a
}
func (p *leastOfTwo) begin(server int)        { p.inFlight[server]++ }
func (p *leastOfTwo) end(j *job, _ mesh.Load) { p.inFlight[j.server]-- }

// routed is the router of the product.
type routed struct {
	w       *world
	router  *routing.Router
	targets []mesh.Target
	index   map[mesh.NodeID]int
}

func newRouted(w *world, e *entry) *routed {
	p := &routed{w: w, router: routing.New(routing.DefaultParams()), index: map[mesh.NodeID]int{}}
	view := &mesh.View{Self: "entry"}
	view.Members = append(view.Members, mesh.Member{Node: "entry", Zone: zoneName(e.zone), State: mesh.NodeAlive})
	for i, s := range w.servers {
		m := mesh.Member{
			Node: mesh.NodeID(fmt.Sprint("node", i)), Incarnation: 1, Zone: zoneName(s.zone), State: mesh.NodeAlive,
			Endpoint: mesh.Endpoint{Service: "service", Version: "v1", Slots: s.slots, State: mesh.EndpointReady},
		}
		view.Members = append(view.Members, m)
		p.index[m.Node] = i
		p.targets = append(p.targets, mesh.Target{Node: m.Node, Incarnation: 1, Service: "service", Version: "v1"})
	}
	p.router.SetView(view)
	return p
}

func zoneName(zone int) mesh.Zone { return mesh.Zone(fmt.Sprint("zone", zone)) }

func (p *routed) time() time.Time { return time.Unix(0, 0).Add(p.w.now) }

func (p *routed) pick(*job) int {
	q := &routing.Query{Call: &mesh.Call{Service: "service"}}
	t, err := p.router.Pick(q, nil, p.w.rnd, p.time())
	if err != nil {
		panic(err) // every server of the model is always ready
	}
	return p.index[t.Node]
}

func (p *routed) begin(server int) { p.router.Begin(p.targets[server], p.time()) }

func (p *routed) end(j *job, report mesh.Load) {
	p.router.End(mesh.Outcome{
		Target: p.targets[j.server], Status: 200, Duration: p.w.now - j.sent, Load: &report,
	}, p.time())
}
