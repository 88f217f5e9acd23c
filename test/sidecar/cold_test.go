package sidecar

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/test/harness"
)

// Cold servers got up to 36 requests in a second where 27 are allowed, and crashed.
var _ = Describe("cold servers", func() {
	const (
		coldRate  = 13
		allowance = 27 // coldRate x 1.5 + 8, rounded down
	)
	var (
		h *harness.Harness
		m *Mesh
	)
	BeforeEach(func() {
		h = harness.New(GinkgoTB())
		m = NewMesh(h, 3)
		DeferCleanup(m.Stop)
	})

	It("get no more requests than they tolerate, also while a node restarts, and all when they are warm", func() {
		m.ColdRate = coldRate
		m.Configure(2, "/read/")
		for _, machine := range m.Machines {
			machine.Server.SetCold(time.Minute)
			machine.Server.SetWorkTime(20 * time.Millisecond)
		}
		var callers sync.WaitGroup
		var stopped atomic.Bool
		for i := range 24 {
			callers.Go(func() {
				for !stopped.Load() {
					_, _ = m.Machines[i%3].Call(http.MethodGet, "/read/x", "")
				}
			})
		}
		time.Sleep(2 * time.Second) // the configuration is in force and the servers are known to be cold
		from := time.Now()
		time.Sleep(2 * time.Second)
		m.Machines[1].Restart()
		time.Sleep(3 * time.Second)
		for _, machine := range m.Machines {
			most, total := machine.Server.MostArrivals(from)
			Expect(most).To(BeNumerically("<=", allowance), machine.name)
			Expect(total).To(BeNumerically(">=", coldRate), "%s is left idle", machine.name)
		}
		stopped.Store(true)
		callers.Wait()
		for _, machine := range m.Machines {
			machine.Server.SetCold(0)
		}
		h.WaitUntil("the servers to take more than when they were cold", func() error {
			begin, ok := time.Now(), 0
			for range 4 * allowance {
				if a, err := m.Machines[0].Call(http.MethodGet, "/read/x", ""); err == nil && a.Status == http.StatusOK {
					ok++
				}
			}
			if ok < 4*allowance {
				return fmt.Errorf("%d of %d calls in %v", ok, 4*allowance, time.Since(begin))
			}
			return nil
		})
	})
})
