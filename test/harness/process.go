package harness

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Process is one child process. Its methods fail the test when they can't do
// their work.
type Process struct {
	Name string
	h    *Harness
	path string
	args []string
	env  []string // in addition to the test's own
	run  *run
}

// run is one life of a process.
type run struct {
	command *exec.Cmd
	ended   chan struct{}
}

// Start runs a binary built from this module. Its output is appended to
// <name>.log in the harness's directory.
func (h *Harness) Start(name, binary string, args ...string) *Process {
	h.tb.Helper()
	return h.StartWith(nil, name, binary, args...)
}

// StartWith is Start with further variables of the environment, as "NAME=value".
func (h *Harness) StartWith(env []string, name, binary string, args ...string) *Process {
	h.tb.Helper()
	p := &Process{Name: name, h: h, path: h.binary(binary), args: args, env: env}
	p.start()
	h.tb.Cleanup(func() {
		p.Kill()
		if h.tb.Failed() {
			h.tb.Logf("end of the log of %s:\n%s", name, tail(p.logPath(), 30))
		}
	})
	return p
}

func (p *Process) logPath() string { return filepath.Join(p.h.dir, p.Name+".log") }

func (p *Process) start() {
	p.h.tb.Helper()
	output, err := os.OpenFile(p.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.h.tb.Fatalf("log of %s: %v", p.Name, err)
	}
	defer func() { _ = output.Close() }()
	command := exec.Command(p.path, p.args...)
	command.Stdout, command.Stderr = output, output
	command.Env = append(os.Environ(), p.env...)
	// A test process that is killed takes its children along.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		p.h.tb.Fatalf("starting %s: %v", p.Name, err)
	}
	r := &run{command: command, ended: make(chan struct{})}
	go func() { _ = command.Wait(); close(r.ended) }()
	p.run = r
}

// PID returns the process id of the current life.
func (p *Process) PID() int { return p.run.command.Process.Pid }

// Ended is closed when the current life has ended.
func (p *Process) Ended() <-chan struct{} { return p.run.ended }

// ExitCode waits for the end and returns the exit code, -1 after a signal.
func (p *Process) ExitCode() int {
	p.h.tb.Helper()
	p.await()
	return p.run.command.ProcessState.ExitCode()
}

func (p *Process) signal(s syscall.Signal) {
	p.h.tb.Helper()
	if err := p.run.command.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.h.tb.Fatalf("signal %v to %s: %v", s, p.Name, err)
	}
}

func (p *Process) await() {
	p.h.tb.Helper()
	select {
	case <-p.run.ended:
	case <-time.After(Deadline):
		p.h.tb.Fatalf("%s did not end within %v", p.Name, Deadline)
	}
}

// Kill ends the process at once, also when it is paused.
func (p *Process) Kill() { p.signal(syscall.SIGKILL); p.await() }

// Terminate sends SIGTERM and does not wait.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

// Stop sends SIGTERM and waits for the end.
func (p *Process) Stop() { p.Terminate(); p.await() }

// Pause stops the process from running; its connections stay open.
func (p *Process) Pause() { p.signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// Restart kills the process if it runs and starts it with the same arguments.
func (p *Process) Restart() { p.Kill(); p.start() }

// Log returns what the process has written so far.
func (p *Process) Log() string { return tail(p.logPath(), 1<<30) }

func tail(path string, lines int) string {
	content, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	all := strings.Split(strings.TrimSuffix(string(content), "\n"), "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}
