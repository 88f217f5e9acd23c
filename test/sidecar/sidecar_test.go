package sidecar

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
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

// servesPath returns a function that fails unless a call of a machine succeeds.
func servesPath(machine *Machine, path string) func() error {
	return func() error {
		a, err := machine.Call(http.MethodGet, path+"x", "")
		if err == nil && a.Status != http.StatusOK {
			err = fmt.Errorf("status %d: %s", a.Status, a.Body)
		}
		return err
	}
}

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

	It("serve calls with unchanged bodies", func() {
		body := strings.Repeat("upload ", 40_000)
		a, err := m.Machines[0].Call(http.MethodPost, "/once/x", body)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Status).To(Equal(http.StatusOK))
		Expect(a.Body).To(Equal(body))
		Expect(a.Header).NotTo(HaveKey("Teasel-Load"), "a header between nodes must not reach clients")
	})

	It("apply a configuration, and no older one after it", func() {
		m.Configure(5, "/new/")
		for _, machine := range m.Machines {
			h.WaitUntil(machine.name+" to serve version 5", servesPath(machine, "/new/"))
		}
		m.Configure(4, "/old/")
		Consistently(servesPath(m.Machines[0], "/new/"), "500ms").Should(Succeed())
	})

	// One node in each zone reads the store; the others must not depend on it.
	It("apply a configuration while any one of them is frozen", func() {
		for i, machine := range m.Machines {
			prefix := fmt.Sprintf("/p%d/", i)
			machine.Pause()
			m.Configure(10+i, prefix)
			for j, other := range m.Machines {
				if j != i {
					h.WaitUntil(other.name+" to serve "+prefix, servesPath(other, prefix))
				}
			}
			machine.Resume()
			h.WaitUntil(machine.name+" to serve "+prefix, servesPath(machine, prefix))
		}
	})

	It("serve while the store is down, and catch up afterwards", func() {
		m.Store.Refuse("", http.StatusServiceUnavailable)
		for range 20 {
			Expect(servesPath(m.Machines[0], "/read/")()).To(Succeed())
		}
		m.Configure(2, "/later/")
		m.Store.Refuse("", 0)
		for _, machine := range m.Machines {
			h.WaitUntil(machine.name+" to serve version 2", servesPath(machine, "/later/"))
		}
	})

	// Guards against a restarted node without members and configuration, which the
	// others address by its previous incarnation until the store is back.
	It("serve again after a restart while the store is down", func() {
		m.Store.Refuse("", http.StatusServiceUnavailable)
		m.Machines[1].Restart()
		h.WaitUntil("the node to be ready again", func() error {
			_ = servesPath(m.Machines[0], "/read/")() // calls let the restarted node discover the others
			return m.Machines[1].Ready()
		})
		h.WaitUntil("every node to reach every server", func() error { return m.CheckReachability("/read/") })
	})

	It("list the rows again when the store has dropped its history", func() {
		m.Store.DropHistory()
		m.Configure(2, "/later/")
		for _, machine := range m.Machines {
			h.WaitUntil(machine.name+" to serve version 2", servesPath(machine, "/later/"))
		}
	})

	// The bound starts with the acknowledgement of the drain. Nodes send calls for half
	// of it only, which leaves a margin.
	It("send a draining server nothing after the platform's bound", func() {
		draining := m.Machines[1].Server
		draining.state.Store("draining")
		h.WaitUntil("the acknowledgement", func() error {
			if draining.drainAckedAt.Load() == 0 {
				return errors.New("no acknowledgement")
			}
			return nil
		})
		for end := time.Now().Add(3 * time.Second); time.Now().Before(end); {
			Expect(servesPath(m.Machines[0], "/read/")()).To(Succeed())
		}
		Expect(draining.lastRunAt.Load()).To(BeNumerically("<", draining.drainAckedAt.Load()+2000))
	})

	// The new process has no record of the acknowledgement that the previous one sent.
	It("send a draining server nothing after a restart of its node", func() {
		draining := m.Machines[1]
		draining.Server.state.Store("draining")
		draining.Server.heartbeatsPaused.Store(true)
		draining.Restart()
		h.WaitUntil("the node to be ready again", draining.Ready)
		runCount := draining.Server.runCount.Load()
		for range 50 {
			_, _ = draining.Call(http.MethodGet, "/read/x", "")
		}
		Expect(draining.Server.runCount.Load()).To(Equal(runCount))
	})

	// A heartbeat that arrived late made the new process announce the server as ready
	// (review/3). The previous process may have been stopped, and the store may be away.
	DescribeTable("send nothing to a server that left, after a restart of its node and a late heartbeat,",
		func(stop func(*Machine), storeAway bool) {
			leaving, server := m.Machines[1], m.Machines[1].Server
			late := server.Heartbeat()
			Expect(server.SendLeave(leaving.Address.Control, harness.Deadline)).To(BeTrue())
			acknowledged := time.Now()
			stop(leaving)
			if storeAway {
				m.Store.Refuse("", http.StatusServiceUnavailable)
			}
			leaving.Restart()
			h.WaitUntil("the late heartbeat to arrive", func() error {
				if !server.SendAnnouncement(leaving.Address.Control, late) {
					return errors.New("not acknowledged")
				}
				return nil
			})
			m.Store.Refuse("", 0)
			h.WaitUntil("the node to be ready again", leaving.Ready)
			time.Sleep(time.Until(acknowledged.Add(2 * time.Second))) // the platform's bound
			runCount := server.runCount.Load()
			for end := time.Now().Add(2 * time.Second); time.Now().Before(end); {
				for _, machine := range m.Machines {
					Expect(servesPath(machine, "/read/")()).To(Succeed())
				}
			}
			Expect(server.runCount.Load()).To(Equal(runCount))
		},
		Entry("by SIGKILL", (*Machine).kill, false),
		Entry("by SIGTERM", (*Machine).terminate, false),
		Entry("by SIGKILL, with the store away", (*Machine).kill, true),
		Entry("by SIGTERM, with the store away", (*Machine).terminate, true),
	)

	It("find a server again after a restart of its node", func() {
		m.Machines[1].Restart()
		h.WaitUntil("the node to be ready again", m.Machines[1].Ready)
		h.WaitUntil("every node to reach every server", func() error { return m.CheckReachability("/read/") })
	})

	It("finish the calls in progress when told to stop", func() {
		stopping := m.Machines[1]
		for _, machine := range m.Machines {
			machine.Server.workMS.Store(1500)
		}
		results := make(chan error, 8)
		for range cap(results) {
			go func() {
				a, err := stopping.Call(http.MethodPost, "/once/x", "charge")
				if err == nil && a.Status != http.StatusOK {
					err = fmt.Errorf("status %d", a.Status)
				}
				results <- err
			}()
		}
		time.Sleep(300 * time.Millisecond)
		stopping.Terminate()
		for range cap(results) {
			Eventually(results, "20s").Should(Receive(Succeed()))
		}
		Expect(stopping.Ready()).NotTo(Succeed())
		Eventually(stopping.Exited(), "20s").Should(BeClosed())
	})

	// Requests that came late in the grace were taken, passed on and cut at its end without
	// an answer, among them some that must not run twice.
	DescribeTable("answer each request that they take in a planned stop, however late it comes,", func(work time.Duration) {
		var (
			ran      sync.Map // by request id
			answered sync.Map // status by request id
			timedOut sync.Map // request ids whose deadline had passed at their answer
			workers  sync.WaitGroup
			last     atomic.Int64
		)
		for _, machine := range m.Machines {
			machine.Server.SetWorkTime(work)
			machine.Server.OnRun = func(_ *Server, r *http.Request) { ran.Store(r.Header.Get("Attempt-Id"), true) }
		}
		stopping := m.Machines[1]
		send := func(client *http.Client) {
			id := fmt.Sprintf("late-%d", last.Add(1))
			r, err := http.NewRequest(http.MethodPost, "http://"+stopping.Address.Outbound+"/once/x", strings.NewReader("charge"))
			Expect(err).NotTo(HaveOccurred())
			r.Host = Host
			r.Header.Set("Attempt-Id", id)
			r.Header.Set("Deadline-Milliseconds", "4000")
			sent := time.Now()
			response, err := client.Do(r)
			if err != nil {
				return
			}
			defer func() { _ = response.Body.Close() }()
			if _, err := io.ReadAll(response.Body); err == nil {
				timedOut.Store(id, time.Since(sent) >= 4*time.Second)
				answered.Store(id, response.StatusCode)
			}
		}
		for range 12 { // on kept connections, until the process has ended
			workers.Go(func() {
				defer GinkgoRecover()
				client := &http.Client{Transport: &http.Transport{}}
				defer client.CloseIdleConnections()
				for {
					select {
					case <-stopping.Exited():
						return
					case <-time.After(20 * time.Millisecond):
						send(client)
					}
				}
			})
		}
		time.Sleep(work + 500*time.Millisecond)
		stopping.Terminate()
		workers.Wait()
		served := 0
		ran.Range(func(id, _ any) bool {
			status, ok := answered.Load(id)
			Expect(ok).To(BeTrue(), "%s ran and got no answer", id)
			if late, _ := timedOut.Load(id); late != true {
				Expect(status).To(Equal(http.StatusOK), "%s ran", id)
			} else {
				Expect(status).To(Or(Equal(http.StatusOK), Equal(http.StatusGatewayTimeout)), "%s ran", id)
			}
			served++
			return true
		})
		Expect(served).To(BeNumerically(">", 20))
	},
		Entry("with short requests", 300*time.Millisecond),
		Entry("with requests of a second", time.Second),
		Entry("with requests of two seconds", 2*time.Second),
	)

	crashes := func() (n int64) {
		for _, machine := range m.Machines {
			n += machine.Server.crashCount.Load()
		}
		return n
	}

	// Guards against nodes that forget such a request with their process: after a rolling
	// restart it crashed all servers again.
	It("refuse a request that crashes servers also after each of them was restarted", func() {
		poison := func() {
			for _, machine := range m.Machines {
				_, _ = machine.Call(http.MethodGet, "/read/poison", "")
			}
		}
		h.WaitUntil("the request to be refused", func() error {
			before := crashes()
			poison()
			if crashes() != before {
				return errors.New("it crashed a server")
			}
			return m.CheckReachability("/read/")
		})
		before := crashes()
		Expect(before).To(BeNumerically(">=", 2))
		for _, machine := range m.Machines {
			machine.Restart()
			h.WaitUntil(machine.name+" to be ready again", machine.Ready)
			h.WaitUntil("every node to reach every server", func() error { return m.CheckReachability("/read/") })
		}
		for range 20 {
			poison()
		}
		Expect(crashes()).To(Equal(before))
	})

	// Each retry of such a request would crash another server.
	It("stop a request that crashes servers", func() {
		for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			for _, machine := range m.Machines {
				_, _ = machine.Call(http.MethodGet, "/read/poison", "")
			}
		}
		Expect(crashes()).To(BeNumerically("<=", 6), "two crashes cause the quarantine, the other requests were in flight")
	})

	// Guards against a server that is idle for most of the time that its node takes to
	// stop.
	It("use the server of a stopping node while the platform still sends clients there", func() {
		// Of three servers the router compares a random pair; of two it compares both, so
		// that it always prefers the faster one.
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

	// A write whose response is lost has taken effect. Retrying it must neither loop
	// nor revert it.
	It("write their rows once when the store loses its responses", func() {
		m.Store.DropResponses(2, 0)
		before := m.Store.WriteCount()
		m.Machines[2].Restart()
		h.WaitUntil("every node to reach every server", func() error { return m.CheckReachability("/read/") })
		Expect(m.Store.WriteCount() - before).To(BeNumerically("<=", 4))
	})

	// Such a write may take effect after a later one. Without its precondition it would
	// restore an older value of the row.
	It("keep their rows when the store applies unanswered writes late", func() {
		server := m.Machines[2].Server
		m.Store.DropResponses(1, time.Second)
		server.state.Store("draining")
		h.WaitUntil("the acknowledgement", func() error {
			if server.drainAckedAt.Load() == 0 {
				return errors.New("no acknowledgement")
			}
			return nil
		})
		time.Sleep(1500 * time.Millisecond)
		h.WaitUntil("the draining server to get no calls", func() error {
			runCount := server.runCount.Load()
			for range 30 {
				_, _ = m.Machines[0].Call(http.MethodGet, "/read/x", "")
			}
			if server.runCount.Load() != runCount {
				return errors.New("it still gets calls")
			}
			return nil
		})
	})

	// The refused node gets the configuration from the others, and its server stays in
	// use.
	It("serve and apply a configuration while the store refuses one of them", func() {
		refused := m.Machines[0]
		m.Store.Refuse(refused.name, http.StatusTooManyRequests)
		m.Configure(7, "/seven/")
		for _, machine := range m.Machines {
			h.WaitUntil(machine.name+" to serve version 7", servesPath(machine, "/seven/"))
		}
		h.WaitUntil("every node to reach every server", func() error { return m.CheckReachability("/seven/") })
		m.Store.Refuse(refused.name, 0)
	})
})
