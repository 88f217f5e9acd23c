// Command routing compares routing policies in a seeded discrete-event simulation
// of one service, at the sizes of both deployments. It opens no socket and reads
// no clock, so equal seeds give equal results.
//
// It prints one JSON line for each size, load, speed ratio and policy. The added
// time of a call is its response time minus its service time on a fast, idle
// upstream: network delay, queueing, and the extra time of a slower upstream.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"slices"
	"time"
)

// size is one service of a deployment: 4 servers, one in each zone.
type size struct {
	Name  string
	Slots int
}

var (
	sizes    = []size{{"sock-office", 6}, {"licence-mesh", 12}}
	loads    = []float64{0.5, 0.8, 0.95}
	ratios   = []float64{1, 2, 4}
	policies = []string{"router", "round-robin", "least-of-two", "router-stalling"}
)

// line is one printed result.
type line struct {
	Size           string  `json:"size"`
	Slots          int     `json:"slots"`
	Load           float64 `json:"load"`
	SpeedRatio     float64 `json:"speed_ratio"`
	FirstZoneShare float64 `json:"first_zone_share"`
	Policy         string  `json:"policy"`
	Seed           uint64  `json:"seed"`
	Calls          int     `json:"calls"`
	AddedMean      float64 `json:"added_mean_ms"`
	AddedP50       float64 `json:"added_p50_ms"`
	AddedP99       float64 `json:"added_p99_ms"`
	AddedP999      float64 `json:"added_p999_ms"`
}

func main() {
	seed := flag.Uint64("seed", 1, "seed of arrivals and service times")
	calls := flag.Int("calls", 200_000, "calls measured in each run")
	firstZoneShare := flag.Float64("first-zone-share", 0.25, "share of calls that arrive in the first of the 4 zones")
	flag.Parse()
	out := json.NewEncoder(os.Stdout)
	for _, s := range sizes {
		for _, ratio := range ratios {
			for _, load := range loads {
				for _, policy := range policies {
					l := line{Size: s.Name, Slots: s.Slots, Load: load, SpeedRatio: ratio, FirstZoneShare: *firstZoneShare, Policy: policy, Seed: *seed}
					l.measure(*calls)
					if err := out.Encode(l); err != nil {
						fmt.Fprintln(os.Stderr, err)
						os.Exit(1)
					}
				}
			}
		}
	}
}

// measure runs the simulation and fills in the results. A warm-up of a tenth as
// many calls fills the queues and moving averages and is not counted.
func (l *line) measure(calls int) {
	sim := newSimulation(l)
	added := sim.run(calls/10, calls)
	slices.Sort(added)
	var sum time.Duration
	for _, d := range added {
		sum += d
	}
	at := func(q float64) float64 { return milliseconds(added[min(int(q*float64(len(added))), len(added)-1)]) }
	l.Calls, l.AddedMean = len(added), milliseconds(sum/time.Duration(len(added)))
	l.AddedP50, l.AddedP99, l.AddedP999 = at(0.5), at(0.99), at(0.999)
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
