package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"teaselring/measure/bench"
)

// loads are the shares of the slots' capacity that are offered.
var loads = []float64{0.8, 1, 2}

// Shares of the classes; the rest is of class read. Each once-only call takes
// two writes of the platform, whose stand-in allows 400 a second.
const (
	uploadShare = 0.15
	onceShare   = 0.05
)

const (
	uploadBytes = 4 << 10
	warmUp      = time.Second // not counted
	aimRatio    = 0.9         // of the useful answers at 200% to those at 100%
)

// capacityPerSecond is the same at all sizes, so that the machine carries the
// load generator and all processes at twice as much.
const capacityPerSecond = 1200

// serviceTime is derived from the capacity of all slots.
func (m *mesh) goodputServiceTime() time.Duration {
	slots := m.slots * len(m.upstreams)
	return (time.Second * time.Duration(slots) / capacityPerSecond).Round(time.Millisecond)
}

// tally counts what callers got.
type tally struct {
	offered, useful, late int
	byClass               map[string][2]int // offered and useful
	refusals              map[string]int    // by code
	took                  []time.Duration   // of useful answers
}

func (m *mesh) goodput() {
	service := m.goodputServiceTime()
	m.serviceTime(service)
	perSecond := map[float64]float64{}
	for _, load := range loads {
		stats := m.cluster.Platform.Stats()
		watching := m.watchConnections()
		t := m.offer(load)
		connections := watching()
		after := m.cluster.Platform.Stats()
		perSecond[load] = float64(t.useful) / float64(*seconds)
		bench.Emit(map[string]any{
			"kind": "goodput", "slots": m.slots, "service_ms": service.Milliseconds(), "capacity_per_s": capacityPerSecond,
			"load": load, "offered_per_s": bench.Round(float64(t.offered)/float64(*seconds), 0),
			"useful_per_s": bench.Round(perSecond[load], 1), "useful_of_capacity": bench.Round(perSecond[load]/capacityPerSecond, 3),
			"late": t.late, "by_class_offered_useful": t.byClass, "refusals": t.refusals,
			"useful_time": bench.QuantilesOf(t.took), "platform_writes": after["writes"] - stats["writes"],
			"platform_refused": after["refused"] - stats["refused"],
		})
		bench.Emit(map[string]any{"kind": "connections", "slots": m.slots, "load": load, "per_server": connections})
	}
	reached := perSecond[2] / max(perSecond[1], 1)
	bench.Emit(map[string]any{
		"kind": "goodput ratio", "slots": m.slots, "of_200_to_100": bench.Round(reached, 3),
		"aim": aimRatio, "aim_met": reached >= aimRatio,
	})
}

// offer sends a mix of classes to all services through all nodes.
func (m *mesh) offer(load float64) tally {
	length := warmUp + time.Duration(*seconds)*time.Second
	schedule := bench.Schedule(uint64(100*load), load*capacityPerSecond, length)
	random := rand.New(rand.NewPCG(uint64(100*load), 1))
	requests, classes := make([]request, len(schedule)), make([]string, len(schedule))
	for i := range schedule {
		requests[i], classes[i] = m.mixed(random, fmt.Sprintf("%d-%g-%d", m.slots, load, i))
	}
	replies := make([]reply, len(schedule))
	bench.Replay(schedule, func(i int, due time.Time) { replies[i] = requests[i].send(due) })
	t := tally{byClass: map[string][2]int{}, refusals: map[string]int{}}
	for i := range schedule {
		if schedule[i] >= warmUp {
			t.count(classes[i], requests[i], replies[i])
		}
	}
	return t
}

func (m *mesh) mixed(random *rand.Rand, id string) (request, string) {
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

func (t *tally) count(class string, q request, r reply) {
	t.offered++
	seen := t.byClass[class]
	seen[0]++
	switch {
	case q.answered(r) && r.took <= timeouts[class]:
		t.useful++
		seen[1]++
		t.took = append(t.took, r.took)
	case q.answered(r):
		t.late++
	case r.err != nil:
		t.refusals["transport"]++
	case r.code != "":
		t.refusals[r.code]++
	default:
		t.refusals[fmt.Sprintf("status %d", r.status)]++
	}
	t.byClass[class] = seen
}
