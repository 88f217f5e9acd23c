// Command standin2 plays the scripts of the second review: it starts a store, servers
// and clients on loopback addresses, and the project's own sidecar processes.
package main

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// record writes what happened to record.txt.
type record struct {
	out   io.Writer
	start time.Time
}

func (r *record) line(format string, args ...any) {
	_, _ = fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// scene plays one case and reports whether the rule held.
type scene func(r *record, program, dir string, trouble bool) (held bool, err error)

var scenes = map[string]scene{
	"ids":     longIDs,
	"long":    longBodies,
	"door":    crowdAtDoor,
	"keys":    lastKeys,
	"paths":   escapedPaths,
	"ready":   crowdAtReady,
	"stopped": stoppedBodies,
}

// usage: standin2 SCENE PROGRAM FOLDER; the exit code is that of run.sh.
func main() {
	if len(os.Args) != 4 || scenes[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 SCENE PROGRAM FOLDER")
		os.Exit(2)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		started.end()
		os.Exit(2)
	}()
	code := play(os.Args[1], os.Args[2], os.Args[3])
	started.end()
	os.Exit(code)
}

func play(name, program, folder string) int {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = file.Close() }()
	r := &record{out: io.MultiWriter(file, os.Stdout), start: time.Now()}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		r.line("no temporary folder: %v", err)
		return 2
	}
	defer func() { _ = os.RemoveAll(dir) }()
	trouble := os.Getenv("TROUBLE") != "0"
	r.line("scene %s, disruption: %v", name, trouble)
	held, err := scenes[name](r, program, dir, trouble)
	started.end()
	switch {
	case err != nil:
		r.line("the case could not run: %v", err)
		return 2
	case !held:
		r.line("result: the rule was broken")
		return 1
	}
	r.line("result: the rule held")
	return 0
}
