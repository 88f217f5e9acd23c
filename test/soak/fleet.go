package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"teaselring/test/harness"
	"teaselring/test/sidecar"
)

const (
	callersEach = 3 // callers of each machine
	workMost    = 60 * time.Millisecond
	zones       = 2

	oldVersion, newVersion = "v1", "v2"
	moveSpan               = 8 * time.Second // of the order
	// rollbackBound is the time after the last of enoughBad bad answers from which a
	// bad version gets nothing.
	rollbackBound = 5 * time.Second
	enoughBad     = 50
)

// fleet is a mesh whose links pass proxies, with callers and a ledger.
type fleet struct {
	h        *harness.Harness
	mesh     *sidecar.Mesh
	ledger   *ledger
	rnd      *rand.Rand
	proxies  []map[sidecar.Link]*harness.Proxy
	newest   atomic.Int64 // version of the configuration
	lives    map[string]*atomic.Int64
	replaced int

	move struct {
		sync.Mutex
		bad     bool
		states  []string
		answers []time.Time // bad ones of the new version
	}
}

func newFleet(h *harness.Harness, seed uint64, machines int) *fleet {
	f := &fleet{h: h, ledger: newLedger(), rnd: rand.New(rand.NewPCG(seed, 1)), lives: map[string]*atomic.Int64{}}
	f.proxies = make([]map[sidecar.Link]*harness.Proxy, machines)
	f.mesh = sidecar.NewMeshOf(h, sidecar.Options{Machines: machines, Zones: zones, Through: f.through, Prepare: f.prepare})
	return f
}

func (f *fleet) through(link sidecar.Link, machine int, address string) string {
	if f.proxies[machine] == nil {
		f.proxies[machine] = map[sidecar.Link]*harness.Proxy{}
	}
	p := f.h.StartProxy(address)
	f.proxies[machine][link] = p
	return p.Address
}

// prepare sets up a machine before its process starts. The last third runs the
// new version.
func (f *fleet) prepare(i int, m *sidecar.Machine) {
	f.lives[m.String()] = new(atomic.Int64)
	m.Server.Work(time.Duration(f.rnd.Int64N(int64(workMost))))
	if 3*i >= 2*len(f.proxies) {
		m.Server.SetVersion(newVersion)
	}
	m.Server.OnRun = func(s *sidecar.Server, r *http.Request) {
		f.ledger.ran(m.String(), s.Acked(), s, r)
		f.exposure(s)
	}
}

func (f *fleet) life(m *sidecar.Machine) int64 { return f.lives[m.String()].Load() }

func (f *fleet) version() int { return int(f.newest.Load()) }

func versionPrefix(v int) string { return fmt.Sprintf("/v%d/", v) }

// configure writes the next configuration.
func (f *fleet) configure() {
	v := f.version() + 1
	prefixes := []string{stablePrefix(false)}
	for _, kept := range []int{v, v - 1, v - 2} {
		prefixes = append(prefixes, versionPrefix(kept))
	}
	f.mesh.Configure(v, prefixes...)
	f.newest.Store(int64(v))
}

// order asks for a move to the new version.
func (f *fleet) order() {
	f.move.bad = f.rnd.IntN(2) == 0
	for _, m := range f.mesh.Machines {
		if m.Server.Version() == newVersion {
			m.Server.Fail(f.move.bad)
		}
	}
	f.mesh.Store.OnPut = f.moved
	f.mesh.Order(newVersion, moveSpan)
}

// moved notes each state of the move that the nodes write.
func (f *fleet) moved(table, key string, value []byte) {
	var status struct{ State string }
	if table != "status" || key != sidecar.OrderKey || json.Unmarshal(value, &status) != nil {
		return
	}
	f.move.Lock()
	defer f.move.Unlock()
	f.move.states = append(f.move.states, status.State)
}

// exposure judges a run on a server of a version that is bad.
func (f *fleet) exposure(s *sidecar.Server) {
	f.move.Lock()
	defer f.move.Unlock()
	if !f.move.bad || s.Version() != newVersion {
		return
	}
	now := time.Now()
	if n := len(f.move.answers); n >= enoughBad {
		last := f.move.answers[enoughBad-1]
		if now.Sub(last) > rollbackBound && f.ledger.calm(last, now) {
			f.ledger.violation("EXPOSURE", "the bad version got a request %v after its bad answer number %d", now.Sub(last), enoughBad)
		}
	}
	if s.FailsNext() {
		f.move.answers = append(f.move.answers, now)
	}
}

// judgeMove judges the states of the move at the end.
func (f *fleet) judgeMove() {
	f.move.Lock()
	defer f.move.Unlock()
	final := ""
	for _, state := range f.move.states {
		if final != "" && state != final {
			f.ledger.violation("MOVE", "the state went from %q to %q", final, state)
		}
		if state != "running" {
			final = state
		}
	}
	switch {
	case final == "":
		f.ledger.violation("MOVE", "the move did not end: %v", f.move.states)
	case f.move.bad && final == "completed" && len(f.move.answers) >= enoughBad:
		f.ledger.violation("MOVE", "the bad version is in use after %d bad answers", len(f.move.answers))
	}
}

// callers starts the callers of all machines; the returned function waits for
// their end.
func (f *fleet) callers(ctx context.Context) (wait func()) {
	var running sync.WaitGroup
	for i, m := range f.mesh.Machines {
		for n := range callersEach {
			c := &caller{fleet: f, machine: m, name: fmt.Sprintf("%s-%d", m.String(), n), rnd: rand.New(rand.NewPCG(f.rnd.Uint64(), uint64(i)))}
			running.Go(func() { c.run(ctx) })
		}
	}
	return running.Wait
}

// recovered returns what does not work yet: each machine must be ready and serve
// the newest configuration.
func (f *fleet) recovered() error {
	for _, m := range f.mesh.Machines {
		if err := m.Ready(); err != nil {
			return fmt.Errorf("%s is not ready: %w", m.String(), err)
		}
		for _, path := range []string{versionPrefix(f.version()), stablePrefix(false), stablePrefix(true)} {
			answer, err := m.Call(http.MethodGet, path+"recovered", "")
			if err != nil || answer.Status != http.StatusOK {
				return fmt.Errorf("%s serves %s with status %d, %s, error: %v", m.String(), path, answer.Status, answer.Body, err)
			}
		}
	}
	return nil
}
