package routing

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"

	"teaselring/mesh"
	"teaselring/result"
)

// replayPattern is a load pattern that a replay runs through one Router for each entry
// node. Load reports arrive only with responses.
type replayPattern struct {
	zones, servers, entries int // servers and entries are spread over the zones in turn
	seconds                 int
	load                    func(zone int, t time.Duration) float64 // calls offered, relative to the capacity of a zone
	body                    int64
	pace                    float64 // divides the durations of work and the targets; 0: 1
	seed                    uint64
	// retryAfter is the wait of a refused caller; nil: callers do not return.
	retryAfter func(c *replayCall, err error, rnd *rand.Rand) time.Duration
}

// replayResult counts calls, and attempts where noted.
type replayResult struct {
	calls, late, refused, crossed int // late: answered after their target
	refusedBusy                   int // calls refused while a server had a free slot
	returned, returnedRefused     int // returns of refused callers, and those refused again
	attempts                      int
	crossedRefused, crossedBySent int     // attempts outside the zone: refused, and sent
	wrongWay                      int     // attempts that left a zone at less than 80% load
	busiest                       float64 // mean load of the busiest server, relative to that of all
}

// String formats a result for the log of a spec.
func (r replayResult) String() string {
	share := func(n int) float64 { return 100 * float64(n) / float64(max(r.calls, 1)) }
	return fmt.Sprintf("%d calls, over target %.2f%%, refused %.2f%% (%.2f%% with a free slot), left the zone %.2f%%, refused there %d of %d, wrong way %d, returned %d, refused again %d, attempts %d, busiest %.2f",
		r.calls, share(r.late+r.refused), share(r.refused), share(r.refusedBusy), share(r.crossed), r.crossedRefused, r.crossedBySent, r.wrongWay,
		r.returned, r.returnedRefused, r.attempts, r.busiest)
}

// plus returns the sums of two results, and the larger load of a busiest server.
func (r replayResult) plus(o replayResult) replayResult {
	return replayResult{
		calls: r.calls + o.calls, late: r.late + o.late, refused: r.refused + o.refused, crossed: r.crossed + o.crossed,
		refusedBusy: r.refusedBusy + o.refusedBusy, returned: r.returned + o.returned, returnedRefused: r.returnedRefused + o.returnedRefused,
		attempts: r.attempts + o.attempts, crossedRefused: r.crossedRefused + o.crossedRefused, crossedBySent: r.crossedBySent + o.crossedBySent,
		wrongWay: r.wrongWay + o.wrongWay, busiest: max(r.busiest, o.busiest),
	}
}

// runSeeds replays the pattern with the production parameters and some seeds.
func (p replayPattern) runSeeds(seeds int) (sum replayResult) {
	for p.seed = range uint64(seeds) {
		sum = sum.plus(p.run(DefaultParams()))
	}
	_, _ = fmt.Fprintln(GinkgoWriter, sum)
	return sum
}

// steady returns the same load for all zones at all times.
func steady(load float64) func(int, time.Duration) float64 {
	return func(int, time.Duration) float64 { return load }
}

func (r replayResult) overTarget() float64 { return float64(r.late+r.refused) / float64(r.calls) }

type replayRun struct {
	replayPattern
	replayResult
	rnd       *rand.Rand   // of the choices
	traffic   []*rand.Rand // of each entry node's calls, equal for all parameters
	sequence  int
	now       time.Duration
	events    replayEvents
	servers   []*replayServer
	routers   []*Router
	lastSeen  time.Duration
	loadTotal float64 // sum over the servers of load times duration
}

type replayServer struct {
	zone, slots    int
	speed          float64 // duration of its work relative to that of an average server
	slowPhases     [][2]time.Duration
	running        int
	waiting        []*replayCall
	hold, loadTime float64
}

type replayCall struct {
	entry, zone  int
	arrived      time.Duration
	work, target time.Duration
	call         mesh.Call
	tried        []mesh.NodeID
	picked       mesh.Target
	latestStart  time.Duration
	sent         time.Duration
	left         bool
	returns      int
	returnedAt   time.Duration
}

const (
	replaySlots    = 6
	replayZoneHop  = 500 * time.Microsecond
	replaySlowness = 2.5
	// replayMeanWork is the mean of 100, 180 and 260 ms with 3 calls in 100 taking seven
	// times as long.
	replayMeanWork = 0.18 * 1.18
)

// run replays the pattern with the given parameters.
func (p replayPattern) run(params Params) replayResult {
	if p.pace == 0 {
		p.pace = 1
	}
	r := &replayRun{replayPattern: p, rnd: rand.New(rand.NewPCG(p.seed, 0))}
	setup := rand.New(rand.NewPCG(p.seed, 1))
	between := func(low, high time.Duration) time.Duration {
		return low + time.Duration(setup.Float64()*float64(high-low))
	}
	view := mesh.View{}
	name := func(kind string, i int) mesh.NodeID { return mesh.NodeID(fmt.Sprintf("%s%02d", kind, i)) }
	zoneOf := func(i int) mesh.Zone { return mesh.Zone(fmt.Sprintf("z%d", i%p.zones)) }
	for i := range p.servers {
		s := &replayServer{zone: i % p.zones, slots: replaySlots, speed: 0.55 + 0.95*setup.Float64(), hold: replayMeanWork * 1e9 / p.pace}
		for t := between(0, 4*time.Second); t < time.Duration(p.seconds)*time.Second; t += between(time.Second, 5*time.Second) {
			end := t + between(300*time.Millisecond, 800*time.Millisecond)
			s.slowPhases = append(s.slowPhases, [2]time.Duration{t, end})
			t = end
		}
		r.servers = append(r.servers, s)
		view.Members = append(view.Members, mesh.Member{
			Node: name("s", i), Incarnation: 1, Zone: zoneOf(i), Region: "r", State: mesh.NodeAlive,
			Endpoint: mesh.Endpoint{Service: "s", Version: "v", Slots: replaySlots, State: mesh.EndpointReady, Process: "p"},
		})
	}
	for i := range p.entries {
		view.Members = append(view.Members, mesh.Member{Node: name("x", i), Incarnation: 1, Zone: zoneOf(i), Region: "r", State: mesh.NodeAlive})
	}
	for i := range p.entries {
		own := view
		own.Self = name("x", i)
		router := New(params)
		router.SetView(&own)
		r.routers = append(r.routers, router)
		r.traffic = append(r.traffic, rand.New(rand.NewPCG(p.seed, uint64(2+i))))
		r.at(0, func() { r.arrive(i) })
	}
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(replayEvent)
		r.account(e.at)
		r.now = e.at
		e.run()
	}
	for _, s := range r.servers {
		r.busiest = max(r.busiest, s.loadTime*float64(len(r.servers))/r.loadTotal)
	}
	return r.replayResult
}

func (r *replayRun) account(at time.Duration) {
	if at <= time.Duration(r.seconds)*time.Second {
		for _, s := range r.servers {
			part := float64(at-r.lastSeen) * float64(s.running+len(s.waiting))
			s.loadTime += part
			r.loadTotal += part
		}
	}
	r.lastSeen = at
}

func (r *replayRun) paced(d time.Duration) time.Duration { return time.Duration(float64(d) / r.pace) }

func (r *replayRun) time() time.Time { return start.Add(r.now) }

// arrive starts a call at an entry node and schedules the next one.
func (r *replayRun) arrive(entry int) {
	if r.now >= time.Duration(r.seconds)*time.Second {
		return
	}
	zone := entry % r.zones
	perZone := float64(r.replayPattern.servers) / float64(r.zones) * replaySlots / replayMeanWork * r.pace
	rate := r.load(zone, r.now) * perZone / (float64(r.entries) / float64(r.zones))
	rnd := r.traffic[entry]
	r.at(time.Duration(rnd.ExpFloat64()/rate*1e9), func() { r.arrive(entry) })
	kind := rnd.IntN(3)
	c := &replayCall{entry: entry, zone: zone, arrived: r.now, target: r.paced(time.Duration(400+200*kind) * time.Millisecond)}
	c.work = r.paced(time.Duration(100+80*kind) * time.Millisecond)
	if rnd.IntN(100) < 3 {
		c.work *= 7
	}
	c.call = mesh.Call{Service: "s", Route: mesh.RouteID(fmt.Sprint(kind)), Deadline: start.Add(c.arrived + 4*c.target), BodyLength: r.body}
	r.calls++
	r.offer(c)
}

// offer sends a call of a client, as new or after a refusal.
func (r *replayRun) offer(c *replayCall) {
	c.returnedAt, c.tried = r.now, nil
	c.call.SoftDeadline, c.call.StartBy = start.Add(r.now+c.target), start.Add(r.now+c.target*6/10)
	r.send(c)
}

// comesBack lets the client of a refused call return, if it honours Retry-After and has
// time left.
func (r *replayRun) comesBack(c *replayCall, err error) bool {
	if r.retryAfter == nil || c.returns == 4 {
		return false
	}
	left := c.arrived + 4*c.target - r.now
	wait := min(r.retryAfter(c, err, r.rnd), left/3)
	if left-wait < c.target/2 {
		return false
	}
	r.at(wait, func() {
		c.returns++
		r.returned++
		r.offer(c)
	})
	return true
}

// send picks an owner and sends the call there.
func (r *replayRun) send(c *replayCall) {
	router := r.routers[c.entry]
	var err error
	if c.picked, err = router.Pick(&Query{Call: &c.call, Tried: c.tried, Refusals: len(c.tried)}, nil, r.rnd, r.time()); err != nil {
		if c.returns > 0 {
			r.returnedRefused++
		}
		if r.comesBack(c, err) {
			return
		}
		r.refused++
		if slices.ContainsFunc(r.servers, func(s *replayServer) bool { return s.running < s.slots }) {
			r.refusedBusy++
		}
		return
	}
	r.attempts++
	router.Begin(c.picked, r.time())
	var i int
	_, _ = fmt.Sscanf(string(c.picked.Node), "s%02d", &i)
	s := r.servers[i]
	c.tried = append(c.tried, c.picked.Node)
	c.sent, c.latestStart = r.now, c.returnedAt+c.target*6/10
	if c.left = s.zone != c.zone; c.left {
		r.crossedBySent++
		if r.load(c.zone, r.now) < 0.8 {
			r.wrongWay++
		}
		c.latestStart = min(c.latestStart, r.now+r.paced(40*time.Millisecond))
	}
	r.at(r.hop(c), func() { r.reach(s, c) })
}

func (r *replayRun) hop(c *replayCall) time.Duration {
	if c.left {
		return replayZoneHop
	}
	return replayZoneHop / 10
}

// reach admits, queues or refuses a call at its owner node.
func (r *replayRun) reach(s *replayServer, c *replayCall) {
	wait := time.Duration(s.hold * float64(len(s.waiting)+1) / float64(s.slots))
	switch {
	case s.running < s.slots:
		r.begin(s, c)
	case r.now+wait > c.latestStart:
		r.refuse(s, c, result.QueueFull)
	default:
		s.waiting = append(s.waiting, c)
		r.at(c.latestStart-r.now, func() {
			if i := slices.Index(s.waiting, c); i >= 0 {
				s.waiting = slices.Delete(s.waiting, i, i+1)
				r.refuse(s, c, result.QueueTimeout)
			}
		})
	}
}

func (r *replayRun) refuse(s *replayServer, c *replayCall, code *result.Code) {
	if c.left {
		r.crossedRefused++
	}
	load := s.report(r.now)
	r.at(r.hop(c), func() {
		r.end(c, mesh.Outcome{Target: c.picked, Code: code.Number, Shed: true, Load: &load})
		r.send(c)
	})
}

func (r *replayRun) end(c *replayCall, o mesh.Outcome) {
	o.Route, o.Duration = c.call.Route, r.now-c.sent
	r.routers[c.entry].End(o, r.time())
}

func (r *replayRun) begin(s *replayServer, c *replayCall) {
	s.running++
	started := r.now
	r.at(s.duration(r.now, time.Duration(float64(c.work)*s.speed)), func() {
		load := s.report(r.now)
		s.running--
		s.hold += 0.1 * (float64(r.now-started) - s.hold)
		if len(s.waiting) > 0 {
			next := s.waiting[0]
			s.waiting = s.waiting[1:]
			r.begin(s, next)
		}
		r.at(r.hop(c), func() {
			r.end(c, mesh.Outcome{Target: c.picked, Status: 200, Load: &load, ServerTime: r.now - started})
			if r.now > c.arrived+c.target {
				r.late++
			}
			if c.left {
				r.crossed++
			}
		})
	})
}

func (s *replayServer) report(now time.Duration) mesh.Load {
	load := mesh.Load{InFlight: s.running, Queued: len(s.waiting), Limit: s.slots, Slowness: 100}
	if slices.ContainsFunc(s.slowPhases, func(p [2]time.Duration) bool { return p[0] <= now && now < p[1] }) {
		load.Slowness = 100 * replaySlowness
	}
	return load
}

// duration returns how long work takes that begins now, with the slow phases on its way.
func (s *replayServer) duration(now, work time.Duration) time.Duration {
	at, left := now, float64(work)
	for _, p := range s.slowPhases {
		if p[1] <= at {
			continue
		}
		if fast := float64(max(p[0]-at, 0)); left <= fast {
			break
		} else if fast > 0 {
			at, left = p[0], left-fast
		}
		slow := float64(p[1]-at) / replaySlowness
		if left <= slow {
			return at + time.Duration(left*replaySlowness) - now
		}
		at, left = p[1], left-slow
	}
	return at + time.Duration(left) - now
}

type replayEvent struct {
	at       time.Duration
	sequence int
	run      func()
}

type replayEvents []replayEvent

func (r *replayRun) at(delay time.Duration, run func()) {
	r.sequence++
	heap.Push(&r.events, replayEvent{at: r.now + delay, sequence: r.sequence, run: run})
}

func (h replayEvents) Len() int { return len(h) }
func (h replayEvents) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].sequence < h[j].sequence)
}
func (h replayEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *replayEvents) Push(x any)   { *h = append(*h, x.(replayEvent)) }
func (h *replayEvents) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
