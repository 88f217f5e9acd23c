package sidecar

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/test/harness"
)

// handlesHangup reports whether a process ignores or catches SIGHUP.
func handlesHangup(pid int) bool {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return false
	}
	for line := range strings.Lines(string(status)) {
		name, mask, _ := strings.Cut(strings.TrimSpace(line), ":\t")
		if name != "SigIgn" && name != "SigCgt" {
			continue
		}
		if bits, err := strconv.ParseUint(mask, 16, 64); err == nil && bits&(1<<(syscall.SIGHUP-1)) != 0 {
			return true
		}
	}
	return false
}

// The Go runtime catches SIGHUP early, but it ends the process until main has asked for the
// signal. A node that is restarted while its settings change gets one at that time.
var _ = It("a node survives a SIGHUP at any moment after the dynamic loader", func() {
	const starts = 40
	h := harness.New(GinkgoTB())
	survived := 0
	for i := range starts {
		// Without settings the program ends by itself with an exit code.
		p := h.Start(fmt.Sprint("early", i), "teasel-sidecar", "run")
		exited := false
		for !exited && !handlesHangup(p.PID()) {
			select {
			case <-p.Exited():
				exited = true
			case <-time.After(50 * time.Microsecond):
			}
		}
		p.Signal(syscall.SIGHUP)
		if p.ExitCode() >= 0 {
			survived++
		}
	}
	Expect(survived).To(Equal(starts))
})

var _ = It("nodes of the platform keep serving after SIGHUP", func() {
	m := NewMesh(harness.New(GinkgoTB()), 3)
	DeferCleanup(m.Stop)
	Expect(syscall.Kill(m.Machines[0].PID(), syscall.SIGHUP)).To(Succeed())
	Consistently(servesPath(m.Machines[0], "/read/"), "300ms").Should(Succeed())
})
