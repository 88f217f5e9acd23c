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
	// farWay is the one-way time between zones of both deployments; nearWay,
	// within a zone, is an assumption.
	farWay  = 500 * time.Microsecond
	nearWay = 50 * time.Microsecond
)

// world is the state of one run. Service times and gaps between arrivals are
// exponential.
type world struct {
	now     time.Duration
	rnd     *rand.Rand
	events  eventHeap
	order   uint64
	servers []*server
	entries []*entry
	gap     time.Duration // mean time between arrivals
	skew    float64       // share of calls that arrive in the first zone
	added   []time.Duration
	skip    int // calls not counted
}

// server is an upstream with its owner node: slots and a queue without bound,
// so that all policies serve the same calls.
type server struct {
	zone    int
	slots   int
	ratio   float64 // of its service times to those of a fast one
	running int
	queue   []*job
}

// entry is an entry node with its own policy state.
type entry struct {
	zone   int
	policy policy
}

type job struct {
	entry   *entry
	arrived time.Duration
	sent    time.Duration
	demand  time.Duration // on a fast upstream
	server  int
	held    bool // in a stalling buffer
}

type event struct {
	at    time.Duration
	order uint64
	do    func()
}

func newWorld(l *line) *world {
	w := &world{rnd: rand.New(rand.NewPCG(l.Seed, 17)), skew: l.Zone}
	capacity := 0.0
	for zone := range zones {
		ratio := 1.0
		if zone%2 == 1 {
			ratio = l.Ratio
		}
		w.servers = append(w.servers, &server{zone: zone, slots: l.Slots, ratio: ratio})
		capacity += float64(l.Slots) / ratio
	}
	w.gap = time.Duration(float64(meanService) / (capacity * l.Load))
	for zone := range zones {
		for range entriesPerZone {
			e := &entry{zone: zone}
			e.policy = newPolicy(l.Policy, w, e)
			w.entries = append(w.entries, e)
		}
	}
	return w
}

// run lets calls arrive until the wanted number has been measured and returns
// the time added to each.
func (w *world) run(skip, calls int) []time.Duration {
	w.skip = skip
	w.after(0, w.arrive)
	for len(w.added) < calls {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	return w.added
}

func (w *world) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.events, event{w.now + d, w.order, do})
}

func (w *world) exponential(mean time.Duration) time.Duration {
	return time.Duration(w.rnd.ExpFloat64() * float64(mean))
}

func (w *world) arrive() {
	w.after(w.exponential(w.gap), w.arrive)
	j := &job{entry: w.entryOfCall(), arrived: w.now, demand: w.exponential(meanService)}
	w.route(j)
}

func (w *world) entryOfCall() *entry {
	zone := 0
	if w.rnd.Float64() >= w.skew {
		zone = 1 + w.rnd.IntN(zones-1)
	}
	return w.entries[zone*entriesPerZone+w.rnd.IntN(entriesPerZone)]
}

// route asks the policy for a server. A policy that holds the call routes it
// later by itself.
func (w *world) route(j *job) {
	if i := j.entry.policy.pick(j); i >= 0 {
		w.send(j, i)
	}
}

func (w *world) send(j *job, i int) {
	j.server, j.sent = i, w.now
	j.entry.policy.begin(i)
	w.after(w.way(j), func() { w.reach(j) })
}

func (w *world) way(j *job) time.Duration {
	if j.entry.zone == w.servers[j.server].zone {
		return nearWay
	}
	return farWay
}

func (w *world) reach(j *job) {
	s := w.servers[j.server]
	if s.running >= s.slots {
		s.queue = append(s.queue, j)
		return
	}
	w.start(s, j)
}

func (w *world) start(s *server, j *job) {
	s.running++
	w.after(time.Duration(float64(j.demand)*s.ratio), func() { w.finish(s, j) })
}

// finish sends the answer with the load report that an owner node attaches.
func (w *world) finish(s *server, j *job) {
	report := mesh.Load{InFlight: s.running, Queued: len(s.queue), Limit: s.slots}
	s.running--
	if len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		w.start(s, next)
	}
	w.after(w.way(j), func() { w.answer(j, report) })
}

func (w *world) answer(j *job, report mesh.Load) {
	if w.skip > 0 {
		w.skip--
	} else {
		w.added = append(w.added, w.now-j.arrived-j.demand)
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
	return h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
