package sidecar

import (
	"bytes"
	"net/http"
	"strconv"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/test/harness"
)

var _ = Describe("a server", func() {
	// Otherwise the server would trust a forged caller, and go on after the client's
	// deadline.
	It("gets the service of the machine where a request began and a shorter deadline than the client's", func() {
		var (
			mu      sync.Mutex
			headers = map[string]http.Header{} // by request id
		)
		h := harness.New(GinkgoTB())
		m := NewMeshWithOptions(h, Options{Machines: 2, Prepare: func(_ int, machine *Machine) {
			machine.Server.OnRun = func(_ *Server, r *http.Request) {
				mu.Lock()
				defer mu.Unlock()
				headers[r.Header.Get("Attempt-Id")] = r.Header.Clone()
			}
		}})
		DeferCleanup(m.Stop)
		for _, machine := range m.Machines {
			r, err := http.NewRequest(http.MethodPost, "http://"+machine.Address.Outbound+"/once/x", bytes.NewBufferString("b"))
			Expect(err).NotTo(HaveOccurred())
			r.Host = Host
			r.Header.Set("Attempt-Id", "contract-"+machine.String())
			r.Header.Set("Deadline-Milliseconds", "3000")
			r.Header.Set("Caller-Service", "forged")
			a, err := http.DefaultClient.Do(r)
			Expect(err).NotTo(HaveOccurred())
			Expect(a.Body.Close()).To(Succeed())
			Expect(a.StatusCode).To(Equal(http.StatusOK))
			mu.Lock()
			got := headers["contract-"+machine.String()]
			mu.Unlock()
			Expect(got.Values("Caller-Service")).To(Equal([]string{Service}))
			remaining, err := strconv.Atoi(got.Get("Deadline-Milliseconds"))
			Expect(err).NotTo(HaveOccurred())
			Expect(remaining).To(And(BeNumerically(">", 0), BeNumerically("<", 3000)))
			Expect(got.Get("Expected-Instance")).To(HavePrefix("i-"))
		}
	})

	// Guards against a row that keeps the previous server, which no longer exists.
	It("that was replaced during an outage of the store is in the store afterwards", func() {
		h := harness.New(GinkgoTB())
		m := NewMesh(h, 2)
		DeferCleanup(m.Stop)
		for _, machine := range m.Machines {
			m.Store.Refuse(machine.String(), http.StatusServiceUnavailable)
		}
		m.Machines[1].Server.Replace("i-next")
		Eventually(func() (string, error) {
			a, err := m.Machines[1].Call(http.MethodGet, "/read/x", "")
			return a.Server, err
		}, harness.Deadline).Should(Equal("i-next"), "its node uses it without the store")
		for _, machine := range m.Machines {
			m.Store.Refuse(machine.String(), 0)
		}
		Eventually(func() string { return string(m.Store.Row("teaselring", "node/"+m.Machines[1].String())) }, harness.Deadline).
			Should(ContainSubstring("i-next"))
		Eventually(func() (string, error) {
			a, err := m.Machines[0].Call(http.MethodGet, "/read/x", "")
			return a.Server, err
		}, harness.Deadline).Should(Equal("i-next"), "other nodes use it")
	})
})
