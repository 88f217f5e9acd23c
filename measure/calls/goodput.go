package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"teaselring/measure/bench"
)

// offeredLoads are multiples of the capacity of all slots.
var offeredLoads = []float64{0.8, 1, 2}

// Shares of calls by class; the rest is of class read. Each once-only call takes
// two writes to the platform, whose stand-in allows 400 per second.
const (
	uploadShare = 0.15
	onceShare   = 0.05
)

const (
	uploadBytes        = 4 << 10
	warmUp             = time.Second // excluded from the counts
	targetGoodputRatio = 0.9         // useful responses at 200% load to those at 100%
)

// capacityPerSecond is the same at all sizes, so that one machine can run the
// load generator and all processes at twice this load.
const capacityPerSecond = 1200

// goodputServiceTime returns the service time at which all slots together have
// capacityPerSecond.
func (m *mesh) goodputServiceTime() time.Duration {
	slots := m.slots * len(m.upstreams)
	return (time.Second * time.Duration(slots) / capacityPerSecond).Round(time.Millisecond)
}

// tally counts responses and refusals as seen by callers.
type tally struct {
	offered, useful, late int
	byClass               map[string][2]int // offered and useful
	refusals              map[string]int    // by code
	latency               []time.Duration   // of useful responses
}

func (m *mesh) measureGoodput() {
	service := m.goodputServiceTime()
	m.setServiceTime(service)
	usefulPerSecond := map[float64]float64{}
	for _, load := range offeredLoads {
		before := m.cluster.Platform.Stats()
		stopWatching := m.watchConnections()
		t := m.offerLoad(load)
		connections := stopWatching()
		after := m.cluster.Platform.Stats()
		usefulPerSecond[load] = float64(t.useful) / float64(*seconds)
		bench.Emit(map[string]any{
			"kind": "goodput", "slots": m.slots, "service_ms": service.Milliseconds(), "capacity_per_s": capacityPerSecond,
			"load": load, "offered_per_s": bench.Round(float64(t.offered)/float64(*seconds), 0),
			"useful_per_s": bench.Round(usefulPerSecond[load], 1), "useful_of_capacity": bench.Round(usefulPerSecond[load]/capacityPerSecond, 3),
			"late": t.late, "by_class_offered_useful": t.byClass, "refusals": t.refusals,
			"useful_time": bench.QuantilesOf(t.latency), "platform_writes": after["writes"] - before["writes"],
			"platform_refused": after["refused"] - before["refused"],
		})
		bench.Emit(map[string]any{"kind": "connections", "slots": m.slots, "load": load, "per_server": connections})
	}
	goodputRatio := usefulPerSecond[2] / max(usefulPerSecond[1], 1)
	bench.Emit(map[string]any{
		"kind": "goodput ratio", "slots": m.slots, "of_200_to_100": bench.Round(goodputRatio, 3),
		"aim": targetGoodputRatio, "aim_met": goodputRatio >= targetGoodputRatio,
	})
}

// offerLoad sends calls of all classes to all services through all nodes.
func (m *mesh) offerLoad(load float64) tally {
	duration := warmUp + time.Duration(*seconds)*time.Second
	schedule := bench.PoissonSchedule(uint64(100*load), load*capacityPerSecond, duration)
	random := rand.New(rand.NewPCG(uint64(100*load), 1))
	requests, classes := make([]request, len(schedule)), make([]string, len(schedule))
	for i := range schedule {
		requests[i], classes[i] = m.randomRequest(random, fmt.Sprintf("%d-%g-%d", m.slots, load, i))
	}
	replies := make([]reply, len(schedule))
	bench.Replay(schedule, func(i int, due time.Time) { replies[i] = requests[i].send(due) })
	t := tally{byClass: map[string][2]int{}, refusals: map[string]int{}}
	for i := range schedule {
		if schedule[i] >= warmUp {
			t.add(classes[i], requests[i], replies[i])
		}
	}
	return t
}

func (m *mesh) randomRequest(random *rand.Rand, id string) (request, string) {
	node := m.cluster.Nodes[random.IntN(len(m.cluster.Nodes))]
	url := "http://" + node.Callers + "/" + services[random.IntN(len(services))] + "/"
	switch draw := random.Float64(); {
	case draw < onceShare:
		return request{method: http.MethodPost, url: url + "once", key: "key-" + id, body: []byte(id)}, "once"
	case draw < onceShare+uploadShare:
		body := bytes.Repeat([]byte(id+" "), uploadBytes/len(id))
		return request{method: http.MethodPut, url: url + "upload", body: body}, "upload"
	}
	return request{method: http.MethodGet, url: url + "read?" + id}, "read"
}

func (t *tally) add(class string, q request, r reply) {
	t.offered++
	counts := t.byClass[class]
	counts[0]++
	switch {
	case q.succeeded(r) && r.latency <= timeouts[class]:
		t.useful++
		counts[1]++
		t.latency = append(t.latency, r.latency)
	case q.succeeded(r):
		t.late++
	case r.err != nil:
		t.refusals["transport"]++
	case r.code != "":
		t.refusals[r.code]++
	default:
		t.refusals[fmt.Sprintf("status %d", r.status)]++
	}
	t.byClass[class] = counts
}
