package sidecar

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/test/harness"
)

func TestSidecar(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "sidecar")
}

var _ = AfterSuite(harness.RemoveBinaries)

var _ = Describe("nodes of the platform", func() {
	var (
		h *harness.Harness
		m *Mesh
	)
	BeforeEach(func() {
		h = harness.New(GinkgoTB())
		m = NewMesh(h, 3)
		DeferCleanup(m.Stop)
	})

	inForce := func(machine *Machine, path string) func() error {
		return func() error {
			a, err := machine.Call(http.MethodGet, path+"x", "")
			if err == nil && a.Status != http.StatusOK {
				err = fmt.Errorf("status %d: %s", a.Status, a.Body)
			}
			return err
		}
	}

	It("serve calls of each machine, bodies unchanged", func() {
		body := strings.Repeat("upload ", 40_000)
		a, err := m.Machines[0].Call(http.MethodPost, "/once/x", body)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Status).To(Equal(http.StatusOK))
		Expect(a.Body).To(Equal(body))
		Expect(a.Header).NotTo(HaveKey("Teasel-Load"), "headers between nodes are not for clients")
	})

	It("take over a configuration, and no older one after it", func() {
		m.Configure(5, "/new/")
		for _, machine := range m.Machines {
			h.WaitUntil(machine.name+" has version 5", inForce(machine, "/new/"))
		}
		m.Configure(4, "/old/")
		Consistently(inForce(m.Machines[0], "/new/"), "500ms").Should(Succeed())
	})

	// One node a zone follows the store; the others must not depend on it.
	It("take over a configuration while any one of them is frozen", func() {
		for i, machine := range m.Machines {
			prefix := fmt.Sprintf("/p%d/", i)
			machine.Pause()
			m.Configure(10+i, prefix)
			for j, other := range m.Machines {
				if j != i {
					h.WaitUntil(other.name+" has "+prefix, inForce(other, prefix))
				}
			}
			machine.Resume()
			h.WaitUntil(machine.name+" has "+prefix, inForce(machine, prefix))
		}
	})

	It("serve while the store is down, and catch up when it is back", func() {
		m.Store.Refuse("", http.StatusServiceUnavailable)
		for range 20 {
			Expect(inForce(m.Machines[0], "/read/")()).To(Succeed())
		}
		m.Configure(2, "/later/")
		m.Store.Refuse("", 0)
		for _, machine := range m.Machines {
			h.WaitUntil(machine.name+" has version 2", inForce(machine, "/later/"))
		}
	})

	// Such a node knew no other node and no configuration, and the others addressed
	// its earlier life until the store came back.
	It("serve again after a restart while the store is down", func() {
		m.Store.Refuse("", http.StatusServiceUnavailable)
		m.Machines[1].Restart()
		h.WaitUntil("ready again", func() error {
			_ = inForce(m.Machines[0], "/read/")() // calls tell the node where others are
			return m.Machines[1].Ready()
		})
		h.WaitUntil("every node knows every server", func() error { return m.AllReached("/read/") })
	})

	It("list the rows again when the store has forgotten its history", func() {
		m.Store.Forget()
		m.Configure(2, "/later/")
		for _, machine := range m.Machines {
			h.WaitUntil(machine.name+" has version 2", inForce(machine, "/later/"))
		}
	})

	// The bound counts from the acknowledgement; half of it leaves room.
	It("send a leaving server nothing after the platform's bound", func() {
		leaving := m.Machines[1].Server
		leaving.state.Store("draining")
		h.WaitUntil("the acknowledgement", func() error {
			if leaving.acked.Load() == 0 {
				return errors.New("none yet")
			}
			return nil
		})
		for end := time.Now().Add(3 * time.Second); time.Now().Before(end); {
			Expect(inForce(m.Machines[0], "/read/")()).To(Succeed())
		}
		Expect(leaving.lastRan.Load()).To(BeNumerically("<", leaving.acked.Load()+2000))
	})

	// A new process knows nothing of an acknowledgement that the one before it gave.
	It("send a leaving server nothing after a restart of its node", func() {
		leaving := m.Machines[1]
		leaving.Server.state.Store("draining")
		leaving.Server.paused.Store(true)
		leaving.Restart()
		h.WaitUntil("ready again", leaving.Ready)
		ran := leaving.Server.ran.Load()
		for range 50 {
			_, _ = leaving.Call(http.MethodGet, "/read/x", "")
		}
		Expect(leaving.Server.ran.Load()).To(Equal(ran))
	})

	It("find a server again after a restart of its node", func() {
		m.Machines[1].Restart()
		h.WaitUntil("ready again", m.Machines[1].Ready)
		h.WaitUntil("every node knows every server", func() error { return m.AllReached("/read/") })
	})

	It("finish the calls in progress when told to stop", func() {
		stopping := m.Machines[1]
		for _, machine := range m.Machines {
			machine.Server.workMS.Store(1500)
		}
		answers := make(chan error, 8)
		for range cap(answers) {
			go func() {
				a, err := stopping.Call(http.MethodPost, "/once/x", "charge")
				if err == nil && a.Status != http.StatusOK {
					err = fmt.Errorf("status %d", a.Status)
				}
				answers <- err
			}()
		}
		time.Sleep(300 * time.Millisecond)
		stopping.Terminate()
		for range cap(answers) {
			Eventually(answers, "20s").Should(Receive(Succeed()))
		}
		Expect(stopping.Ready()).NotTo(Succeed())
		Eventually(stopping.Exited(), "20s").Should(BeClosed())
	})

	// Each retry of such a request takes another server down.
	It("stop a request that crashes servers", func() {
		crashes := func() (n int64) {
			for _, machine := range m.Machines {
				n += machine.Server.poisoned.Load()
			}
			return n
		}
		for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			for _, machine := range m.Machines {
				_, _ = machine.Call(http.MethodGet, "/read/poison", "")
			}
		}
		Expect(crashes()).To(BeNumerically("<=", 6), "two crashes show it, the others were on their way")
	})

	// The server beside a stopping node stood idle for most of the stop.
	It("use the server of a stopping node while the platform still sends clients there", func() {
		// Of three servers the router compares two at random; of two, both each time,
		// so that it always prefers the faster one.
		m.Machines[0].Server.workMS.Store(30)
		m.Machines[2].Server.state.Store("draining")
		reached := func() map[string]int {
			servers := map[string]int{}
			for range 20 {
				a, err := m.Machines[0].Call(http.MethodGet, "/read/x", "")
				Expect(err).NotTo(HaveOccurred())
				servers[a.Server]++
			}
			return servers
		}
		Eventually(reached, "20s").ShouldNot(HaveKey(m.Machines[2].Server.ID()))
		wanted := HaveKeyWithValue(m.Machines[1].Server.ID(), BeNumerically(">=", 10))
		Eventually(reached, "20s").Should(wanted)
		m.Machines[1].Terminate()
		time.Sleep(1200 * time.Millisecond)
		Expect(reached()).To(wanted)
	})

	It("go on after SIGHUP", func() {
		Expect(syscall.Kill(m.Machines[0].PID(), syscall.SIGHUP)).To(Succeed())
		Consistently(inForce(m.Machines[0], "/read/"), "300ms").Should(Succeed())
	})

	// A write whose answer is lost is done; repeating it must not loop or undo.
	It("write their rows once when the store loses its answers", func() {
		m.Store.LoseAnswers(2, 0)
		before := m.Store.Writes()
		m.Machines[2].Restart()
		h.WaitUntil("every node knows every server", func() error { return m.AllReached("/read/") })
		Expect(m.Store.Writes() - before).To(BeNumerically("<=", 4))
	})

	// Such a write may be done after a later one; without its condition it would
	// bring back what the row said before.
	It("keep their rows when the store does unanswered writes late", func() {
		server := m.Machines[2].Server
		m.Store.LoseAnswers(1, time.Second)
		server.state.Store("draining")
		h.WaitUntil("the acknowledgement", func() error {
			if server.acked.Load() == 0 {
				return errors.New("none yet")
			}
			return nil
		})
		time.Sleep(1500 * time.Millisecond)
		h.WaitUntil("the leaving server is no longer used", func() error {
			ran := server.ran.Load()
			for range 30 {
				_, _ = m.Machines[0].Call(http.MethodGet, "/read/x", "")
			}
			if server.ran.Load() != ran {
				return errors.New("it still gets calls")
			}
			return nil
		})
	})

	// The refused node learns from the others, and its server stays in use.
	It("serve and take over a configuration while the store refuses one of them", func() {
		refused := m.Machines[0]
		m.Store.Refuse(refused.name, http.StatusTooManyRequests)
		m.Configure(7, "/seven/")
		for _, machine := range m.Machines {
			h.WaitUntil(machine.name+" has version 7", inForce(machine, "/seven/"))
		}
		h.WaitUntil("every node knows every server", func() error { return m.AllReached("/seven/") })
		m.Store.Refuse(refused.name, 0)
	})
})
