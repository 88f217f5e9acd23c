package sidecar

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/test/harness"
)

// newMoveMesh starts a mesh of two zones with a server of each version in each zone. The
// machines send calls on two routes until the test ends.
func newMoveMesh(h *harness.Harness) *Mesh {
	const machines = 4
	m := NewMeshWithOptions(h, Options{Machines: machines, Zones: 2, Prepare: func(i int, machine *Machine) {
		machine.Server.SetWorkTime(20 * time.Millisecond)
		if i >= machines/2 {
			machine.Server.SetVersion("v2")
		}
	}})
	DeferCleanup(m.Stop)
	m.Configure(2, "/read/", "/test/")
	stopped := make(chan struct{})
	DeferCleanup(func() { close(stopped) })
	for _, machine := range m.Machines {
		for _, path := range []string{"/read/x", "/read/y", "/test/x"} {
			go func() {
				for {
					select {
					case <-stopped:
						return
					case <-time.After(25 * time.Millisecond):
						_, _ = machine.Call(http.MethodGet, path, "")
					}
				}
			}()
		}
	}
	return m
}

// moveEndedAs returns a condition that holds once the move has ended in a state. It
// stops the test if the move ends in another one.
func (m *Mesh) moveEndedAs(want string) func() error {
	return func() error {
		row := m.Store.Row("status", OrderKey)
		var status struct{ State, Target string }
		if row == nil {
			return errors.New("the move has no status")
		}
		if err := json.Unmarshal(row, &status); err != nil {
			return err
		}
		if status.State != "running" && status.State != want {
			StopTrying(fmt.Sprintf("the move ended as %q", status.State)).Now()
		}
		if status.State != want || status.Target != "v2" {
			return fmt.Errorf("state %q of target %q", status.State, status.Target)
		}
		return nil
	}
}

var _ = Describe("a move of a service", func() {
	var m *Mesh
	runs := func() (n int64) {
		for _, machine := range m.Machines {
			if machine.Server.Version() == "v2" {
				n += machine.Server.RunCount()
			}
		}
		return n
	}
	BeforeEach(func() { m = newMoveMesh(harness.New(GinkgoTB())) })

	// Guards against a rollback that comes from comparing latencies of different kinds
	// of calls.
	It("to a good version is completed, and all calls go to it", func() {
		m.OrderMove("v2", 8*time.Second)
		Eventually(m.moveEndedAs("completed"), harness.Deadline).Should(Succeed())
		for _, machine := range m.Machines {
			Eventually(func() (string, error) {
				a, err := machine.Call(http.MethodGet, "/read/x", "")
				return a.Server, err
			}, harness.Deadline).Should(BeElementOf("i-m2", "i-m3"), machine.String())
		}
	})

	It("to a bad version is taken back, and no more calls go to it", func() {
		for _, machine := range m.Machines {
			machine.Server.SetFailing(machine.Server.Version() == "v2")
		}
		m.OrderMove("v2", 20*time.Second)
		Eventually(m.moveEndedAs("rolled_back"), harness.Deadline).Should(Succeed())
		Expect(runs()).To(BeNumerically(">", 0), "calls to the new version")
		Eventually(func() int64 { before := runs(); time.Sleep(500 * time.Millisecond); return runs() - before }, harness.Deadline).Should(BeZero())
	})
})
