package main

import (
	"fmt"
	"time"

	"teaselring/decision/routing"
	"teaselring/mesh"
)

// policy chooses servers for one entry node.
type policy interface {
	pick(j *job) int // index of a server, or -1 if the call is buffered
	begin(server int)
	end(j *job, report mesh.Load)
}

func newPolicy(name string, sim *simulation, e *entry) policy {
	switch name {
	case "round-robin":
		return &roundRobin{sim: sim, next: sim.rng.IntN(zones)}
	case "least-of-two":
		return &leastOfTwo{sim: sim, inFlight: make([]int, len(sim.servers))}
	case "router":
		return newRouterPolicy(sim, e)
	case "router-stalling":
		return newStallingPolicy(sim, e)
	}
	panic("unknown policy " + name)
}

type roundRobin struct {
	sim  *simulation
	next int
}

func (p *roundRobin) pick(*job) int {
	p.next = (p.next + 1) % len(p.sim.servers)
	return p.next
}
func (p *roundRobin) begin(int)           {}
func (p *roundRobin) end(*job, mesh.Load) {}

// leastOfTwo picks the better of two random servers (power of two choices) by the
// entry node's own calls in flight.
type leastOfTwo struct {
	sim      *simulation
	inFlight []int
}

func (p *leastOfTwo) pick(*job) int {
	n := len(p.sim.servers)
	a := p.sim.rng.IntN(n)
	b := (a + 1 + p.sim.rng.IntN(n-1)) % n
	if p.inFlight[b] < p.inFlight[a] {
		return b
	}
	return a
}
func (p *leastOfTwo) begin(server int)        { p.inFlight[server]++ }
func (p *leastOfTwo) end(j *job, _ mesh.Load) { p.inFlight[j.server]-- }

// routerPolicy is the router of the product.
type routerPolicy struct {
	sim          *simulation
	router       *routing.Router
	targets      []mesh.Target
	serverByNode map[mesh.NodeID]int
}

func newRouterPolicy(sim *simulation, e *entry) *routerPolicy {
	p := &routerPolicy{sim: sim, router: routing.New(routing.DefaultParams()), serverByNode: map[mesh.NodeID]int{}}
	view := &mesh.View{Self: "entry"}
	view.Members = append(view.Members, mesh.Member{Node: "entry", Zone: zoneName(e.zone), State: mesh.NodeAlive})
	for i, s := range sim.servers {
		m := mesh.Member{
			Node: mesh.NodeID(fmt.Sprint("node", i)), Incarnation: 1, Zone: zoneName(s.zone), State: mesh.NodeAlive,
			Endpoint: mesh.Endpoint{Service: "service", Version: "v1", Slots: s.slots, State: mesh.EndpointReady},
		}
		view.Members = append(view.Members, m)
		p.serverByNode[m.Node] = i
		p.targets = append(p.targets, mesh.Target{Node: m.Node, Incarnation: 1, Service: "service", Version: "v1"})
	}
	p.router.SetView(view)
	return p
}

func zoneName(zone int) mesh.Zone { return mesh.Zone(fmt.Sprint("zone", zone)) }

func (p *routerPolicy) time() time.Time { return time.Unix(0, 0).Add(p.sim.now) }

func (p *routerPolicy) pick(*job) int {
	q := &routing.Query{Call: &mesh.Call{Service: "service"}}
	t, err := p.router.Pick(q, nil, p.sim.rng, p.time())
	if err != nil {
		panic(err) // every server of the model is always ready
	}
	return p.serverByNode[t.Node]
}

func (p *routerPolicy) begin(server int) { p.router.Begin(p.targets[server], p.time()) }

func (p *routerPolicy) end(j *job, report mesh.Load) {
	p.router.End(mesh.Outcome{
		Target: p.targets[j.server], Status: 200, Duration: p.sim.now - j.sent, Load: &report,
	}, p.time())
}
