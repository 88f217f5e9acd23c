// Command routing compares policies for choosing an upstream in a seeded,
// event-driven queue model of one service at the sizes of both deployments. It
// opens no socket and reads no clock, so equal seeds give equal figures.
//
// It prints one JSON line for each size, load, speed ratio and policy. The time
// added to a call is its response time less the time it takes on a fast and
// idle upstream: ways, queueing, and the cost of a slower upstream.
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
	Size   string  `json:"size"`
	Slots  int     `json:"slots"`
	Load   float64 `json:"load"`
	Ratio  float64 `json:"speed_ratio"`
	Zone   float64 `json:"first_zone_share"`
	Policy string  `json:"policy"`
	Seed   uint64  `json:"seed"`
	Calls  int     `json:"calls"`
	Mean   float64 `json:"added_mean_ms"`
	P50    float64 `json:"added_p50_ms"`
	P99    float64 `json:"added_p99_ms"`
	P999   float64 `json:"added_p999_ms"`
}

func main() {
	seed := flag.Uint64("seed", 1, "seed of arrivals and service times")
	calls := flag.Int("calls", 200_000, "calls measured in each run")
	skew := flag.Float64("first-zone-share", 0.25, "share of calls that arrive in the first of 4 zones")
	flag.Parse()
	out := json.NewEncoder(os.Stdout)
	for _, s := range sizes {
		for _, ratio := range ratios {
			for _, load := range loads {
				for _, policy := range policies {
					l := line{Size: s.Name, Slots: s.Slots, Load: load, Ratio: ratio, Zone: *skew, Policy: policy, Seed: *seed}
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

// measure runs the model and fills in the figures. The first tenth of the
// calls warms the queues and averages up and is not counted.
func (l *line) measure(calls int) {
	w := newWorld(l)
	added := w.run(calls/10, calls)
	slices.Sort(added)
	var sum time.Duration
	for _, d := range added {
		sum += d
	}
	at := func(q float64) float64 { return inMS(added[min(int(q*float64(len(added))), len(added)-1)]) }
	l.Calls, l.Mean = len(added), inMS(sum/time.Duration(len(added)))
	l.P50, l.P99, l.P999 = at(0.5), at(0.99), at(0.999)
}

func inMS(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
