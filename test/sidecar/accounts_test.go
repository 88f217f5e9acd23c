package sidecar

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/test/harness"
)

// configureAccounts writes a configuration with client accounts.
func (m *Mesh) configureAccounts(version int, accounts ...any) {
	route := func(prefix string, anonymous bool) map[string]any {
		return map[string]any{
			"Name": prefix, "Host": Host, "Prefix": prefix, "Kind": "idempotent", "TimeoutS": 4.0, "TargetLatencyS": 1.0,
			"Priority": 1, "Service": Service, "MaxAttempts": 2, "AllowAnonymous": anonymous,
		}
	}
	m.Store.Put("op", "config", map[string]any{
		"Version": "r" + strconv.Itoa(version), "Tenants": accounts,
		"Routes":   []any{route("/read/", false), route("/open/", true)},
		"Services": []any{map[string]any{"Name": Service, "HealthPath": "/health"}},
		"Limits":   map[string]any{"HeaderBytes": 16384, "BodyBytes": 1 << 24, "HeaderTimeoutS": 3, "IdleTimeoutS": 15},
	})
}

// statusWith sends a request with a key and returns the status.
func (m *Machine) statusWith(path, key string) int {
	r, err := http.NewRequest(http.MethodGet, "http://"+m.Address.Outbound+path, nil)
	if err != nil {
		return 0
	}
	r.Host = Host
	r.Header = http.Header{"Attempt-Id": {CallIDPrefix + strconv.FormatInt(m.mesh.requests.Add(1), 16)}, "Tenant": {"forged"}}
	if key != "" {
		r.Header.Set("Key", key)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func (m *Machine) answers(path, key string, status int) func() error {
	return func() error {
		if s := m.statusWith(path, key); s != status {
			return fmt.Errorf("status %d in place of %d", s, status)
		}
		return nil
	}
}

var _ = Describe("client accounts", func() {
	var (
		h       *harness.Harness
		m       *Mesh
		exposed atomic.Int64 // requests that reached a server with a key or a forged account
		hotel   atomic.Int64 // requests of the account that ran
	)
	account := func(perS float64, keys ...string) map[string]any {
		return map[string]any{"Name": "hotel", "ApiKeys": keys, "PerS": perS, "Burst": 10}
	}
	BeforeEach(func() {
		exposed.Store(0)
		hotel.Store(0)
		h = harness.New(GinkgoTB())
		m = NewMeshWithOptions(h, Options{Machines: 3, Prepare: func(_ int, machine *Machine) {
			machine.Server.OnRun = func(_ *Server, r *http.Request) {
				if r.Header.Get("Key") != "" || r.Header.Get("Tenant") == "forged" {
					exposed.Add(1)
				}
				if r.Header.Get("Tenant") == "hotel" {
					hotel.Add(1)
				}
			}
		}})
		DeferCleanup(m.Stop)
	})

	// awaitAccounts waits until all nodes have accounts. Before, they forward both headers.
	awaitAccounts := func() {
		for _, machine := range m.Machines {
			h.WaitUntil("accounts at "+machine.name, machine.answers("/read/x", "", http.StatusUnauthorized))
		}
		exposed.Store(0)
	}

	It("are identified by keys, which servers never get and which a new version removes", func() {
		m.configureAccounts(2, account(0, "first", "second"))
		awaitAccounts()
		for _, machine := range m.Machines {
			Expect(machine.statusWith("/read/x", "other")).To(Equal(http.StatusUnauthorized))
			Expect(machine.statusWith("/read/x", "first")).To(Equal(http.StatusOK))
			Expect(machine.statusWith("/open/x", "")).To(Equal(http.StatusOK))
		}
		m.configureAccounts(3, account(0, "second"))
		for _, machine := range m.Machines {
			h.WaitUntil("version 3", machine.answers("/read/x", "first", http.StatusUnauthorized))
			Expect(machine.statusWith("/read/x", "second")).To(Equal(http.StatusOK))
		}
		Expect(exposed.Load()).To(BeZero())
		Expect(hotel.Load()).To(BeNumerically(">=", 6))
	})

	// Guards against an empty list of accounts that is taken for a missing one: every request
	// was let in, and servers got the keys.
	DescribeTable("let nobody in after the last one was taken away", func(none []any) {
		m.configureAccounts(2, account(0, "first"))
		awaitAccounts()
		h.WaitUntil("the key of the account", m.Machines[0].answers("/read/x", "first", http.StatusOK))
		m.configureAccounts(3, none...)
		check := func(machine *Machine) {
			h.WaitUntil("version 3 at "+machine.name, machine.answers("/read/x", "first", http.StatusUnauthorized))
			Expect(machine.statusWith("/read/x", "other")).To(Equal(http.StatusUnauthorized))
			Expect(machine.statusWith("/read/x", "")).To(Equal(http.StatusUnauthorized))
			Expect(machine.statusWith("/open/x", "first")).To(Equal(http.StatusOK))
		}
		for _, machine := range m.Machines {
			check(machine)
		}
		m.Machines[1].Restart()
		h.WaitUntil("the restarted node", m.Machines[1].Ready)
		check(m.Machines[1])
		Expect(exposed.Load()).To(BeZero())
	},
		Entry("with an empty list", []any{}),
		Entry("with null", nil),
	)

	// Guards against nodes that each grant the whole limit, and against a limit that ends
	// with the node that grants it.
	It("stay within their limit over all nodes, also when one of them is killed", func() {
		const perS, burst = 20.0, 10.0
		m.configureAccounts(2, account(perS, "k"))
		awaitAccounts()
		began := time.Now()
		stop := make(chan struct{})
		var clients sync.WaitGroup
		for i := range 6 {
			clients.Go(func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(10 * time.Millisecond):
						m.Machines[i%3].statusWith("/read/x", "k")
					}
				}
			})
		}
		h.WaitUntil("the account to get its limit", func() error { return atLeast(hotel.Load(), 40) })
		m.Machines[2].kill()
		before := hotel.Load()
		h.WaitUntil("the account to get its limit from two nodes", func() error { return atLeast(hotel.Load(), before+60) })
		close(stop)
		clients.Wait()
		elapsed := time.Since(began).Seconds()
		windows := 1 + int(elapsed/5) // the default of the platform's settings
		Expect(float64(hotel.Load())).To(BeNumerically("<=", 1.1*(perS*elapsed+burst*float64(windows))))
	})
})

func atLeast(got, want int64) error {
	if got < want {
		return fmt.Errorf("%d of %d", got, want)
	}
	return nil
}
