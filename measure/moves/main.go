// Command moves measures the decisions about moves: it drives the guards of
// several nodes and the holder with seeded outcomes and a stepped clock, and
// prints one JSON line for each deployment and family, and for two baselines.
package main

import (
	_ "embed"
	"encoding/json"
	"flag"
	"fmt"
	"hash/fnv"
	"os"
	"runtime"
	"runtime/debug"
	"runtime/pprof"
	"strings"
	"sync"
	"time"
)

// maxCores bounds the share of the machine that a run uses.
const maxCores = 6

// gcPercent trades memory, a few hundred MB, for time: the run allocates
// many short-lived reports.
const gcPercent = 1000

// job is one seed of one family under one control.
type job struct {
	sc   *scenario
	dep  *deployment
	make func(seed uint64) control
	seed uint64
	into *[]outcome
}

// series collects all seeds of one line.
type series struct {
	deployment, control string
	sc                  *scenario
	results             [][]outcome
}

func main() {
	path := flag.String("scenarios", "measure/moves/scenarios.toml", "scenario file")
	seeds := flag.Int("seeds", 200, "seeds for each family")
	every := flag.Int("report-every", 0, "seconds between reports, in place of the scenarios' own")
	first := flag.Int("first", 0, "number of the first seed")
	family := flag.String("family", "", "measure only families whose name has this prefix")
	trace := flag.Int("trace", -1, "print the steps of this seed of each family and stop")
	controls := flag.String("controls", "guarded,fixed-steps,no-guard", "what to measure")
	profile := flag.String("cpuprofile", "", "write a CPU profile to this file")
	verbose := flag.Bool("v", false, "print the wrong outcomes to standard error")
	flag.Parse()
	f, err := load(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	for i := range f.Scenario {
		if *every > 0 {
			f.Scenario[i].ReportEvery = *every
		}
	}
	all, jobs, err := plan(f, *first, *seeds, *family, *controls)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if *trace >= 0 {
		traceSeed(f, *family, *trace)
		return
	}
	if *profile != "" {
		defer startProfile(*profile)()
	}
	debug.SetGCPercent(gcPercent)
	runAll(jobs)
	out := json.NewEncoder(os.Stdout)
	for _, s := range all {
		_ = out.Encode(summarize(s))
		if *verbose {
			explain(s)
		}
	}
}

func startProfile(path string) (stop func()) {
	f, err := os.Create(path)
	if err == nil {
		err = pprof.StartCPUProfile(f)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	return pprof.StopCPUProfile
}

// traceSeed runs one seed of each family and prints the steps of its moves.
func traceSeed(f *file, family string, n int) {
	for i := range f.Deployment {
		dep := &f.Deployment[i]
		settings, err := dep.settings()
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
		for k := range f.Scenario {
			if sc := &f.Scenario[k]; strings.HasPrefix(sc.Name, family) {
				seed := seedOf(sc.Name, n)
				c := newDecided(settings, sc, seed)
				c.trace = os.Stdout
				fmt.Println(dep.Name, sc.Name)
				newWorld(sc, dep, c, seed).run()
			}
		}
	}
}

// plan lists the series of a run and the jobs that fill them.
func plan(f *file, first, seeds int, family, controls string) ([]*series, []job, error) {
	var all []*series
	var jobs []job
	for _, name := range strings.Split(controls, ",") {
		for i := range f.Deployment {
			dep := &f.Deployment[i]
			for k := range f.Scenario {
				sc := &f.Scenario[k]
				if !strings.HasPrefix(sc.Name, family) {
					continue
				}
				build, err := controlOf(name, sc, dep)
				if err != nil {
					return nil, nil, err
				}
				s := &series{deployment: dep.Name, control: name, sc: sc, results: make([][]outcome, seeds)}
				all = append(all, s)
				for n := range seeds {
					jobs = append(jobs, job{sc, dep, build, seedOf(sc.Name, first+n), &s.results[n]})
				}
			}
		}
	}
	return all, jobs, nil
}

func controlOf(name string, sc *scenario, dep *deployment) (func(uint64) control, error) {
	settings, err := dep.settings()
	if err != nil {
		return nil, err
	}
	switch name {
	case "guarded":
		return func(seed uint64) control { return newDecided(settings, sc, seed) }, nil
	case "fixed-steps":
		return func(uint64) control { return newBaseline(sc, fixedThreshold) }, nil
	case "no-guard":
		return func(uint64) control { return newBaseline(sc, 0) }, nil
	}
	return nil, fmt.Errorf("unknown control %q; allowed are guarded, fixed-steps and no-guard", name)
}

// seedOf gives every control and deployment the same seeds of a family.
func seedOf(family string, n int) uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s/%d", family, n)
	return h.Sum64()
}

func runAll(jobs []job) {
	queue := make(chan job)
	var workers sync.WaitGroup
	for range min(maxCores, runtime.NumCPU()) {
		workers.Go(func() {
			for j := range queue {
				*j.into = newWorld(j.sc, j.dep, j.make(j.seed), j.seed).run()
			}
		})
	}
	for _, j := range jobs {
		queue <- j
	}
	close(queue)
	workers.Wait()
}

// explain prints why moves ended otherwise than they should have.
func explain(s *series) {
	for n, results := range s.results {
		for i := range results {
			if o := &results[i]; !o.right() {
				fmt.Fprintf(os.Stderr, "%s %s %s seed %d service %d: bad=%v done=%v taken back=%v first bad=%v: %s\n",
					s.control, s.deployment, s.sc.Name, n, i, o.bad, o.done, o.takenBack, o.firstBad.Round(time.Second), o.reason)
			}
		}
	}
}
