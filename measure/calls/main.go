// Command calls measures what calls cost and get through real processes: the
// time added by the system, the useful answers under overload, the connections
// held per server and, with -big, the memory that 1 GiB bodies take. It prints
// JSON lines and stops by itself.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"

	"teaselring/measure/bench"
	"teaselring/test/harness"
)

var (
	sizes   = flag.String("sizes", "6,12", "slots of each upstream, one measurement for each")
	rate    = flag.Float64("rate", 1000, "calls per second for the time that a call gains")
	rounds  = flag.Int("rounds", 5, "rounds of 2 s of each path for the time that a call gains, 0 for none")
	seconds = flag.Int("goodput-seconds", 7, "length of the load at each share of the capacity, 0 for none")
	big     = flag.Bool("big", false, "measure memory with bodies of 1 GiB in place of all else")
	idle    = flag.Bool("idle", true, "measure the processor time of the idle nodes over 20 s, with -big only")
)

// limit ends the program whatever it hangs on.
const limit = 170 * time.Second

func main() {
	flag.Parse()
	slots, err := bench.Numbers(*sizes)
	if err != nil {
		fmt.Fprintf(os.Stderr, "-sizes: %v\n", err)
		os.Exit(2)
	}
	if *big {
		slots = slots[:1]
	}
	os.Exit(bench.Run(limit, func(h *harness.Harness) {
		bench.EmitMachine("load generator, 12 nodes, 12 upstreams and the platform stand-in, on one machine")
		for _, n := range slots {
			measure(h, n)
		}
	}))
}

func measure(h *harness.Harness, slots int) {
	m := startMesh(h, slots)
	defer m.stop()
	if *big {
		if *idle {
			m.idle()
		}
		m.bodies()
		return
	}
	if *rounds > 0 {
		m.latency()
	}
	if *seconds > 0 {
		m.goodput()
	}
}
