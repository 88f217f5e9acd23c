// Command convergence measures how fast a configuration change is in force on
// every node of a mesh of real processes, what that and idling cost each node
// and the platform, and what failures do to it. It prints JSON lines and stops
// by itself.
//
// The instant at which a version is in force on a node is the time of the
// node's own log line "version in force", to a millisecond and with the clock
// that all processes share. Nothing polls the nodes meanwhile.
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
	sizes     = flag.String("sizes", "11,12,50", "numbers of nodes, one measurement for each")
	changes   = flag.Int("changes", 40, "configuration changes at each size")
	every     = flag.Duration("every", 864*time.Millisecond, "time between two changes; 86.4s is the 1,000 a day of the design scale")
	idle      = flag.Duration("idle", 20*time.Second, "length of the idle measurement")
	settle    = flag.Duration("settle", 13*time.Second, "wait after the start, in which surplus links are closed")
	upstreams = flag.Int("upstreams", 12, "largest number of nodes that get upstreams beside them")
	failures  = flag.Bool("failures", true, "measure failures too")
	moves     = flag.Bool("moves", true, "measure what one move in progress costs, last")
	limit     = flag.Duration("limit", 10*time.Minute, "time after which the program ends, whatever it hangs on")
)

func main() {
	flag.Parse()
	numbers, err := bench.Numbers(*sizes)
	if err != nil {
		fmt.Fprintf(os.Stderr, "-sizes: %v\n", err)
		os.Exit(2)
	}
	os.Exit(bench.Run(*limit, func(h *harness.Harness) {
		bench.EmitMachine("all nodes, their upstreams, the platform stand-in and the measuring program, on one machine")
		for _, n := range numbers {
			measure(h, n)
		}
	}))
}

func measure(h *harness.Harness, size int) {
	m := startMesh(h, size)
	defer m.stop()
	idled := m.usage("idle", *idle, func() { wait(*idle) })
	bench.Emit(idled)
	if *changes > 0 {
		var samples samples
		length := time.Duration(*changes) * *every
		changed := m.usage("changes", length, func() { samples = m.change(*changes, *every) })
		changed["accelerated"] = bench.Round(float64(designEvery)/float64(*every), 1)
		bench.Emit(changed)
		bench.Emit(samples.line("convergence", size))
	}
	if *failures && size >= smallestForFailures {
		m.restartThird()
		m.outageAfterAcceptance()
		m.pauseZone()
	}
	if *moves {
		m.moveInProgress()
	}
}

// designEvery is the mean time between changes at 1,000 a day.
const designEvery = 24 * time.Hour / 1000

// smallestForFailures leaves every zone with nodes after a third was killed.
const smallestForFailures = 12

func wait(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	<-timer.C
}
