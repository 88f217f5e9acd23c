package main

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"teaselring/mesh"
)

const (
	zones          = 4
	entriesPerZone = 3 // each server of 3 services has an entry node
	meanService    = 10 * time.Millisecond
	// interZoneDelay is the one-way delay between zones in both deployments;
	// intraZoneDelay is an assumption.
	interZoneDelay = 500 * time.Microsecond
	intraZoneDelay = 50 * time.Microsecond
)

// simulation is the state of one run. Service and interarrival times are
// exponentially distributed.
type simulation struct {
	now              time.Duration
	rng              *rand.Rand
	events           eventHeap
	sequence         uint64
	servers          []*server
	entries          []*entry
	meanInterarrival time.Duration // mean time between arrivals
	firstZoneShare   float64       // share of calls that arrive there
	added            []time.Duration
	warmUp           int // calls still to leave out of the results
}

// server is an upstream with its owner node: slots and an unbounded queue, so that
// all policies serve the same calls.
type server struct {
	zone    int
	slots   int
	ratio   float64 // of its service times to those of a fast server
	running int
	queue   []*job
}

// entry is an entry node with its own policy state.
type entry struct {
	zone   int
	policy policy
}

// job is one call.
type job struct {
	entry    *entry
	arrived  time.Duration
	sent     time.Duration
	demand   time.Duration // service time on a fast upstream
	server   int
	buffered bool // by the stalling policy
}

type event struct {
	at       time.Duration
	sequence uint64
	action   func()
}

func newSimulation(l *line) *simulation {
	sim := &simulation{rng: rand.New(rand.NewPCG(l.Seed, 17)), firstZoneShare: l.FirstZoneShare}
	capacity := 0.0
	for zone := range zones {
		ratio := 1.0
		if zone%2 == 1 {
			ratio = l.SpeedRatio
		}
		sim.servers = append(sim.servers, &server{zone: zone, slots: l.Slots, ratio: ratio})
		capacity += float64(l.Slots) / ratio
	}
	sim.meanInterarrival = time.Duration(float64(meanService) / (capacity * l.Load))
	for zone := range zones {
		for range entriesPerZone {
			e := &entry{zone: zone}
			e.policy = newPolicy(l.Policy, sim, e)
			sim.entries = append(sim.entries, e)
		}
	}
	return sim
}

// run simulates arrivals until the given number of calls has been measured and
// returns the added time of each.
func (sim *simulation) run(warmUp, calls int) []time.Duration {
	sim.warmUp = warmUp
	sim.schedule(0, sim.arrive)
	for len(sim.added) < calls {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.action()
	}
	return sim.added
}

func (sim *simulation) schedule(d time.Duration, action func()) {
	sim.sequence++
	heap.Push(&sim.events, event{sim.now + d, sim.sequence, action})
}

func (sim *simulation) exponential(mean time.Duration) time.Duration {
	return time.Duration(sim.rng.ExpFloat64() * float64(mean))
}

func (sim *simulation) arrive() {
	sim.schedule(sim.exponential(sim.meanInterarrival), sim.arrive)
	j := &job{entry: sim.randomEntry(), arrived: sim.now, demand: sim.exponential(meanService)}
	sim.route(j)
}

func (sim *simulation) randomEntry() *entry {
	zone := 0
	if sim.rng.Float64() >= sim.firstZoneShare {
		zone = 1 + sim.rng.IntN(zones-1)
	}
	return sim.entries[zone*entriesPerZone+sim.rng.IntN(entriesPerZone)]
}

// route sends the call to the server that the policy picks. A policy that buffers
// the call sends it later itself.
func (sim *simulation) route(j *job) {
	if i := j.entry.policy.pick(j); i >= 0 {
		sim.send(j, i)
	}
}

func (sim *simulation) send(j *job, i int) {
	j.server, j.sent = i, sim.now
	j.entry.policy.begin(i)
	sim.schedule(sim.networkDelay(j), func() { sim.arriveAtServer(j) })
}

func (sim *simulation) networkDelay(j *job) time.Duration {
	if j.entry.zone == sim.servers[j.server].zone {
		return intraZoneDelay
	}
	return interZoneDelay
}

func (sim *simulation) arriveAtServer(j *job) {
	s := sim.servers[j.server]
	if s.running >= s.slots {
		s.queue = append(s.queue, j)
		return
	}
	sim.start(s, j)
}

func (sim *simulation) start(s *server, j *job) {
	s.running++
	sim.schedule(time.Duration(float64(j.demand)*s.ratio), func() { sim.finish(s, j) })
}

// finish sends the response with the load report that an owner node attaches.
func (sim *simulation) finish(s *server, j *job) {
	report := mesh.Load{InFlight: s.running, Queued: len(s.queue), Limit: s.slots}
	s.running--
	if len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		sim.start(s, next)
	}
	sim.schedule(sim.networkDelay(j), func() { sim.receiveResponse(j, report) })
}

func (sim *simulation) receiveResponse(j *job, report mesh.Load) {
	if sim.warmUp > 0 {
		sim.warmUp--
	} else {
		sim.added = append(sim.added, sim.now-j.arrived-j.demand)
	}
	j.entry.policy.end(j, report)
}

// eventHeap implements heap.Interface with the earliest event first.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
