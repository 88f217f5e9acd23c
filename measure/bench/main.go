// Package bench holds code shared by the measurement programs: a test harness
// for main functions, an open-loop load generator, and resource usage and
// metrics of processes and nodes.
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

// tb implements harness.TB for a program that is not a test.
type tb struct {
	dir      string
	failed   bool
	cleanups []func()
}

// failure is the panic value of Fatalf.
type failure string

// Helper implements harness.TB.
func (*tb) Helper() {}

// Fatalf implements harness.TB. It panics, so that Run runs the cleanups.
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

// Run runs a measurement with a harness and returns the exit code. Its cleanups
// end all processes. A signal or the timeout exits the program without them;
// the operating system then ends the processes.
func Run(timeout time.Duration, measure func(*harness.Harness)) (code int) {
	dir, err := os.MkdirTemp("", "teaselring-measure-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	t := &tb{dir: dir}
	stop := exitOnSignalOrTimeout(timeout, dir)
	defer stop()
	defer func() { _ = os.RemoveAll(dir); harness.RemoveBinaries() }()
	defer t.runCleanups()
	defer func() {
		if text, ok := recover().(failure); ok {
			fmt.Fprintln(os.Stderr, string(text))
			code = 1
		}
	}()
	defer func() { // any panic marks the run as failed and runs the cleanups
		if r := recover(); r != nil {
			t.failed = true
			panic(r)
		}
	}()
	measure(harness.New(t))
	return 0
}

func (t *tb) runCleanups() {
	for i := len(t.cleanups) - 1; i >= 0; i-- {
		t.cleanups[i]()
	}
}

// exitOnSignalOrTimeout exits the program on a signal or after the timeout.
func exitOnSignalOrTimeout(timeout time.Duration, dir string) (stop func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	done := make(chan struct{})
	go func() {
		timer := time.NewTimer(timeout)
		defer timer.Stop()
		select {
		case <-done:
			return
		case <-signals:
			fmt.Fprintln(os.Stderr, "stopped by a signal")
		case <-timer.C:
			fmt.Fprintf(os.Stderr, "stopped after the timeout of %v\n", timeout)
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

// EmitMachine prints the conditions of the run.
func EmitMachine(processes string) {
	load, _ := os.ReadFile("/proc/loadavg")
	Emit(map[string]any{
		"kind": "machine", "date": time.Now().UTC().Format(time.RFC3339), "cores": runtime.NumCPU(),
		"load_average_before": string(load[:max(len(load)-1, 0)]), "shared_by": processes,
		"note": "loopback only; whatever else ran on the machine is part of the figures",
	})
}

// ParsePositiveInts parses a comma-separated list of positive integers.
func ParsePositiveInts(list string) ([]int, error) {
	var numbers []int
	for _, text := range strings.Split(list, ",") {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 {
			return nil, fmt.Errorf("%q is not a comma-separated list of positive integers", list)
		}
		numbers = append(numbers, n)
	}
	return numbers, nil
}
