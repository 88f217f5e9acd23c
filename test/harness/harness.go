// Package harness runs the programs of teaselring and its stand-ins as child
// processes of an integration test, injects faults into them and the connections
// between them, and cleans up at the end.
package harness

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// Deadline is the time limit of WaitUntil. It is generous because the machine may
// be busy; no test measures speed with it.
const Deadline = 30 * time.Second

// TB is the part of testing.TB that the harness uses. GinkgoT() and *testing.T
// implement it.
type TB interface {
	Helper()
	Fatalf(format string, args ...any)
	Logf(format string, args ...any)
	Failed() bool
	TempDir() string
	Cleanup(func())
}

// Harness owns the processes and proxies of one test.
type Harness struct {
	tb  TB
	dir string // logs, settings and journals
	// NodeCommand holds the arguments of teasel-node before the path of its settings file.
	NodeCommand []string
}

// New returns a harness whose processes end with the test. Logs are kept in
// a new directory below $TEASELRING_LOGS; when it is unset, the ends of the logs are
// printed if the test fails. Tests don't share a directory, so that their journals
// don't mix.
func New(tb TB) *Harness {
	dir := os.Getenv("TEASELRING_LOGS")
	if dir == "" {
		dir = tb.TempDir()
	} else {
		err := os.MkdirAll(dir, 0o700)
		if err == nil {
			dir, err = os.MkdirTemp(dir, "test-")
		}
		if err != nil {
			tb.Fatalf("log directory: %v", err)
		}
	}
	return &Harness{tb: tb, dir: dir, NodeCommand: []string{"run", "--settings"}}
}

// Dir returns the directory of logs, settings and journals.
func (h *Harness) Dir() string { return h.dir }

var (
	buildOnce sync.Once
	buildDir  string
	errBuild  error
)

// binary returns the path of a program. The first call in a test process builds all
// programs.
func (h *Harness) binary(name string) string {
	h.tb.Helper()
	buildOnce.Do(func() { buildDir, errBuild = build() })
	if errBuild != nil {
		h.tb.Fatalf("building the programs: %v", errBuild)
	}
	return filepath.Join(buildDir, name)
}

func build() (string, error) {
	module, err := exec.Command("go", "env", "GOMOD").Output()
	if err != nil {
		return "", err
	}
	dir, err := os.MkdirTemp("", "teaselring-bin-")
	if err != nil {
		return "", err
	}
	command := exec.Command("go", "build", "-o", dir, "./cmd/teasel-node", "./cmd/teasel-sidecar", "./cmd/teaselctl", "./test/platform", "./test/upstream")
	command.Dir = filepath.Dir(strings.TrimSpace(string(module)))
	if output, err := command.CombinedOutput(); err != nil {
		return dir, fmt.Errorf("%w\n%s", err, output)
	}
	return dir, nil
}

// RemoveBinaries deletes the built programs. A suite calls it after its last test.
func RemoveBinaries() {
	if buildDir != "" {
		_ = os.RemoveAll(buildDir)
	}
}

var addresses struct {
	sync.Mutex
	last int
}

// FreeAddress returns an IP:port to listen on, with a port chosen by the
// system. Each address has its own loopback IP, derived from the process id.
// Outgoing connections use 127.0.0.1, so none can take the port before the listener.
func (h *Harness) FreeAddress() string {
	h.tb.Helper()
	addresses.Lock()
	addresses.last++
	n := addresses.last
	addresses.Unlock()
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 64+(pid>>8+n/250)%128, pid%256, 1+n%250)
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		h.tb.Fatalf("free address: %v", err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// WaitUntil waits until condition returns nil. After Deadline it fails the test
// with the last error.
func (h *Harness) WaitUntil(what string, condition func() error) {
	h.tb.Helper()
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	deadline := time.After(Deadline)
	for {
		err := condition()
		if err == nil {
			return
		}
		select {
		case <-ticker.C:
		case <-deadline:
			h.tb.Fatalf("waited %v for %s: %v", Deadline, what, err)
		}
	}
}

// ReadJournal returns the lines of a journal. An incomplete last line is omitted; a
// journal that does not exist yet is empty.
func ReadJournal[T any](path string) ([]T, error) {
	file, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	var lines []T
	for reader := bufio.NewReader(file); ; {
		text, err := reader.ReadBytes('\n')
		if err != nil {
			return lines, nil
		}
		var line T
		if err := json.Unmarshal(text, &line); err != nil {
			return lines, fmt.Errorf("%s: line %d: %w", path, len(lines)+1, err)
		}
		lines = append(lines, line)
	}
}
