// Command convergence measures the time until a configuration change is in force
// on every node of a mesh of real processes, also during failures, and the load
// on each node and on the platform, both idle and during changes. It prints JSON
// lines and exits.
//
// A version comes into force on a node at the time of the node's log line
// "version in force". The time has a resolution of 1 ms, and all processes share
// a clock. The nodes are not polled meanwhile.
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
	sizes          = flag.String("sizes", "11,12,50", "comma-separated numbers of nodes, measured in turn")
	changes        = flag.Int("changes", 40, "configuration changes at each size")
	changeInterval = flag.Duration("every", 864*time.Millisecond, "interval between changes; 86.4s is 1,000 changes a day, as at design scale")
	idleDuration   = flag.Duration("idle", 20*time.Second, "duration of the idle measurement")
	settle         = flag.Duration("settle", 13*time.Second, "wait after startup, during which surplus links are closed")
	upstreams      = flag.Int("upstreams", 12, "largest number of nodes at which each node gets an upstream")
	failures       = flag.Bool("failures", true, "measure convergence during failures")
	moves          = flag.Bool("moves", true, "measure the cost of one move in progress, last")
	timeout        = flag.Duration("limit", 10*time.Minute, "time after which the program ends even if it hangs")
)

func main() {
	flag.Parse()
	numbers, err := bench.ParsePositiveInts(*sizes)
	if err != nil {
		fmt.Fprintf(os.Stderr, "-sizes: %v\n", err)
		os.Exit(2)
	}
	os.Exit(bench.Run(*timeout, func(h *harness.Harness) {
		bench.EmitMachine("all nodes, their upstreams, the platform stand-in and the measuring program, on one machine")
		for _, n := range numbers {
			measure(h, n)
		}
	}))
}

func measure(h *harness.Harness, size int) {
	m := startMesh(h, size)
	defer m.stop()
	idleUsage := m.measureUsage("idle", *idleDuration, func() { sleep(*idleDuration) })
	bench.Emit(idleUsage)
	if *changes > 0 {
		var samples samples
		length := time.Duration(*changes) * *changeInterval
		changeUsage := m.measureUsage("changes", length, func() { samples = m.applyChanges(*changes, *changeInterval) })
		changeUsage["accelerated"] = bench.Round(float64(designChangeInterval)/float64(*changeInterval), 1)
		bench.Emit(changeUsage)
		bench.Emit(samples.summaryLine("convergence", size))
	}
	if *failures && size >= minNodesForFailures {
		m.restartThird()
		m.outageAfterAcceptance()
		m.pauseZone()
	}
	if *moves {
		m.measureMove()
	}
}

// designChangeInterval is the mean time between changes at 1,000 a day.
const designChangeInterval = 24 * time.Hour / 1000

// minNodesForFailures leaves nodes in every zone after a third is killed.
const minNodesForFailures = 12

func sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	<-timer.C
}
