// Command moves measures the decisions about moves. It simulates the guards of
// several nodes and the holder with seeded outcomes and a stepped clock, and
// prints one JSON line for each control, deployment and family of scenarios. The
// controls are the code under test and two baselines.
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

// maxWorkers bounds the CPU cores that a run uses.
const maxWorkers = 6

// gcPercent trades a few hundred MB of memory for time: a run allocates many
// short-lived reports.
const gcPercent = 1000

// job is one seed of one family under one control.
type job struct {
	sc      *scenario
	dep     *deployment
	make    func(seed uint64) control
	seed    uint64
	results *[]moveOutcome
}

// series holds the results of all seeds for one printed line.
type series struct {
	deployment, control string
	sc                  *scenario
	results             [][]moveOutcome
}

func main() {
	path := flag.String("scenarios", "measure/moves/scenarios.toml", "scenario file")
	seeds := flag.Int("seeds", 200, "seeds for each family")
	reportEvery := flag.Int("report-every", 0, "seconds between reports of a node, overriding the scenarios")
	first := flag.Int("first", 0, "number of the first seed")
	family := flag.String("family", "", "measure only families with this name prefix")
	trace := flag.Int("trace", -1, "print the steps of this seed of each family and stop")
	controls := flag.String("controls", "guarded,fixed-steps,no-guard", "comma-separated controls to measure")
	profile := flag.String("cpuprofile", "", "write a CPU profile to this file")
	verbose := flag.Bool("v", false, "print moves with an unexpected outcome to standard error")
	flag.Parse()
	f, err := loadScenarios(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	for i := range f.Scenario {
		if *reportEvery > 0 {
			f.Scenario[i].ReportEvery = *reportEvery
		}
	}
	allSeries, jobs, err := planJobs(f, *first, *seeds, *family, *controls)
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
	for _, s := range allSeries {
		_ = out.Encode(summarize(s))
		if *verbose {
			printUnexpected(s)
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
func traceSeed(f *scenarioFile, family string, n int) {
	for i := range f.Deployment {
		dep := &f.Deployment[i]
		settings, err := dep.settings()
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
		for k := range f.Scenario {
			if sc := &f.Scenario[k]; strings.HasPrefix(sc.Name, family) {
				seed := familySeed(sc.Name, n)
				c := newGuarded(settings, sc, seed)
				c.trace = os.Stdout
				fmt.Println(dep.Name, sc.Name)
				newSimulation(sc, dep, c, seed).run()
			}
		}
	}
}

// planJobs returns the series of a run and the jobs that produce their results.
func planJobs(f *scenarioFile, first, seeds int, family, controls string) ([]*series, []job, error) {
	var allSeries []*series
	var jobs []job
	for _, name := range strings.Split(controls, ",") {
		for i := range f.Deployment {
			dep := &f.Deployment[i]
			for k := range f.Scenario {
				sc := &f.Scenario[k]
				if !strings.HasPrefix(sc.Name, family) {
					continue
				}
				newControl, err := controlFactory(name, sc, dep)
				if err != nil {
					return nil, nil, err
				}
				s := &series{deployment: dep.Name, control: name, sc: sc, results: make([][]moveOutcome, seeds)}
				allSeries = append(allSeries, s)
				for n := range seeds {
					jobs = append(jobs, job{sc, dep, newControl, familySeed(sc.Name, first+n), &s.results[n]})
				}
			}
		}
	}
	return allSeries, jobs, nil
}

func controlFactory(name string, sc *scenario, dep *deployment) (func(uint64) control, error) {
	settings, err := dep.settings()
	if err != nil {
		return nil, err
	}
	switch name {
	case "guarded":
		return func(seed uint64) control { return newGuarded(settings, sc, seed) }, nil
	case "fixed-steps":
		return func(uint64) control { return newBaseline(sc, fixedThreshold) }, nil
	case "no-guard":
		return func(uint64) control { return newBaseline(sc, 0) }, nil
	}
	return nil, fmt.Errorf("unknown control %q; allowed are guarded, fixed-steps and no-guard", name)
}

// familySeed returns the nth seed of a family. It is the same for every control
// and deployment.
func familySeed(family string, n int) uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s/%d", family, n)
	return h.Sum64()
}

func runAll(jobs []job) {
	queue := make(chan job)
	var workers sync.WaitGroup
	for range min(maxWorkers, runtime.NumCPU()) {
		workers.Go(func() {
			for j := range queue {
				*j.results = newSimulation(j.sc, j.dep, j.make(j.seed), j.seed).run()
			}
		})
	}
	for _, j := range jobs {
		queue <- j
	}
	close(queue)
	workers.Wait()
}

// printUnexpected prints the moves that did not end as expected, with the reason.
func printUnexpected(s *series) {
	for n, results := range s.results {
		for i := range results {
			if o := &results[i]; !o.asExpected() {
				fmt.Fprintf(os.Stderr, "%s %s %s seed %d service %d: bad=%v done=%v taken back=%v first bad=%v: %s\n",
					s.control, s.deployment, s.sc.Name, n, i, o.bad, o.doneAt, o.takenBackAt, o.firstBadCall.Round(time.Second), o.reason)
			}
		}
	}
}
