// Command calls measures calls through real processes: the latency that the
// system adds, goodput under overload, the connections per server and, with
// -big, the memory for bodies of 1 GiB and the CPU time of idle nodes. It prints
// JSON lines and exits.
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
	sizes       = flag.String("sizes", "6,12", "comma-separated numbers of slots of each upstream, measured in turn")
	rate        = flag.Float64("rate", 1000, "calls per second of the latency measurement")
	rounds      = flag.Int("rounds", 5, "rounds of 2 s on each path of the latency measurement, 0 for none")
	seconds     = flag.Int("goodput-seconds", 7, "seconds at each offered load of the goodput measurement, 0 for none")
	bigBodies   = flag.Bool("big", false, "measure memory with bodies of 1 GiB instead of latency and goodput")
	measureIdle = flag.Bool("idle", true, "measure the CPU time of idle nodes for 20 s, with -big only")
)

// timeout ends the program even if it hangs.
const timeout = 170 * time.Second

func main() {
	flag.Parse()
	slots, err := bench.ParsePositiveInts(*sizes)
	if err != nil {
		fmt.Fprintf(os.Stderr, "-sizes: %v\n", err)
		os.Exit(2)
	}
	if *bigBodies {
		slots = slots[:1]
	}
	os.Exit(bench.Run(timeout, func(h *harness.Harness) {
		bench.EmitMachine("load generator, 12 nodes, 12 upstreams and the platform stand-in, on one machine")
		for _, n := range slots {
			measure(h, n)
		}
	}))
}

func measure(h *harness.Harness, slots int) {
	m := startMesh(h, slots)
	defer m.stop()
	if *bigBodies {
		if *measureIdle {
			m.measureIdle()
		}
		m.measureBodies()
		return
	}
	if *rounds > 0 {
		m.measureLatency()
	}
	if *seconds > 0 {
		m.measureGoodput()
	}
}
