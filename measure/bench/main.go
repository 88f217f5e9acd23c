// Package bench holds what the measuring programs share: a harness for mains,
// open-loop load, and readings of processes and nodes.
package bench

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"

	"teaselring/test/harness"
)

// tb implements harness.TB outside of a test.
type tb struct {
	dir      string
	failed   bool
	cleanups []func()
}

// failure is what Fatalf panics with.
type failure string

// Helper implements harness.TB.
func (*tb) Helper() {}

// Fatalf implements harness.TB: it ends the program by way of its cleanups.
func (t *tb) Fatalf(format string, args ...any) {
	t.failed = true
	panic(failure(fmt.Sprintf(format, args...)))
}

// Logf implements harness.TB.
func (*tb) Logf(format string, args ...any) { fmt.Fprintf(os.Stderr, format+"\n", args...) }

// Failed implements harness.TB.
func (t *tb) Failed() bool { return t.failed }

// TempDir implements harness.TB.
func (t *tb) TempDir() string { return t.dir }

// Cleanup implements harness.TB.
func (t *tb) Cleanup(f func()) { t.cleanups = append(t.cleanups, f) }

// Run runs one measurement with a harness and returns the exit code. All
// processes end with it; a signal or the limit of time ends the program, and
// the kernel then ends the processes.
func Run(limit time.Duration, measure func(*harness.Harness)) (code int) {
	dir, err := os.MkdirTemp("", "teaselring-measure-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	t := &tb{dir: dir}
	stop := watch(limit, dir)
	defer stop()
	defer func() { _ = os.RemoveAll(dir); harness.RemoveBinaries() }()
	defer t.cleanup()
	defer func() {
		if text, ok := recover().(failure); ok {
			fmt.Fprintln(os.Stderr, string(text))
			code = 1
		}
	}()
	defer func() { // a panic other than a failure still ends the processes
		if r := recover(); r != nil {
			t.failed = true
			panic(r)
		}
	}()
	measure(harness.New(t))
	return 0
}

func (t *tb) cleanup() {
	for i := len(t.cleanups) - 1; i >= 0; i-- {
		t.cleanups[i]()
	}
}

// watch ends the program at a signal or after the limit.
func watch(limit time.Duration, dir string) (stop func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	done := make(chan struct{})
	go func() {
		timer := time.NewTimer(limit)
		defer timer.Stop()
		select {
		case <-done:
			return
		case <-signals:
			fmt.Fprintln(os.Stderr, "stopped by a signal")
		case <-timer.C:
			fmt.Fprintf(os.Stderr, "stopped after the limit of %v\n", limit)
		}
		_ = os.RemoveAll(dir)
		harness.RemoveBinaries()
		os.Exit(1)
	}()
	return func() { close(done) }
}

// Emit prints one result as a JSON line.
func Emit(line any) {
	text, err := json.Marshal(line)
	if err != nil {
		panic(err)
	}
	fmt.Println(string(text))
}

// EmitMachine prints what the figures of the run share.
func EmitMachine(processes string) {
	load, _ := os.ReadFile("/proc/loadavg")
	Emit(map[string]any{
		"kind": "machine", "date": time.Now().UTC().Format(time.RFC3339), "cores": runtime.NumCPU(),
		"load_average_before": string(load[:max(len(load)-1, 0)]), "shared_by": processes,
		"note": "loopback only; whatever else ran on the machine is part of the figures",
	})
}

// Numbers parses a list of positive numbers with commas between them.
func Numbers(list string) ([]int, error) {
	var all []int
	for _, text := range strings.Split(list, ",") {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 {
			return nil, fmt.Errorf("%q is not a list of positive numbers", list)
		}
		all = append(all, n)
	}
	return all, nil
}
