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
	callersPerMachine = 3
	maxWorkTime       = 60 * time.Millisecond
	zones             = 2

	oldVersion, newVersion = "v1", "v2"
	moveDuration           = 8 * time.Second // duration in the order
	// rollbackBound is the time after badResponseThreshold bad responses from which a
	// bad version must get no requests.
	rollbackBound        = 5 * time.Second
	badResponseThreshold = 50

	// A server is cold for coldStart after a restart and then may get coldAllowance requests
	// in any second: ColdPerS x ColdOverage + ColdSlack of the settings, rounded down.
	coldStart     = 3 * time.Second
	coldRate      = 13
	coldAllowance = 27

	// maxEvacuationInterval is the longest time between evacuations, and for which one
	// lasts after evacuationBound.
	maxEvacuationInterval = 8 * time.Second
)

// fleet is a mesh whose links run through proxies, with callers and a ledger.
type fleet struct {
	h             *harness.Harness
	mesh          *sidecar.Mesh
	ledger        *ledger
	rnd           *rand.Rand
	variants      *rand.Rand // of faults; apart from rnd, so that the plans of earlier seeds stay
	features      *rand.Rand // accounts, evacuations and cold servers; apart for the same reason
	hasAccounts   bool
	evacuates     bool
	hasColdStarts bool
	proxies       []map[sidecar.Link]*harness.Proxy
	configVersion atomic.Int64 // latest version written
	incarnations  map[string]*atomic.Int64
	replacements  int
	nextOrder     time.Time // to evacuate a zone or to take it back

	move struct {
		sync.Mutex
		bad          bool
		states       []string
		badResponses []time.Time // times of the bad responses of the new version
	}
}

func newFleet(h *harness.Harness, seed uint64, machines int) *fleet {
	f := &fleet{h: h, ledger: newLedger(), rnd: rand.New(rand.NewPCG(seed, 1)), variants: rand.New(rand.NewPCG(seed, 2)), incarnations: map[string]*atomic.Int64{}}
	f.proxies = make([]map[sidecar.Link]*harness.Proxy, machines)
	f.features = rand.New(rand.NewPCG(seed, 3))
	f.hasAccounts, f.evacuates, f.hasColdStarts = f.features.IntN(2) == 0, f.features.IntN(2) == 0, f.features.IntN(2) == 0
	if f.hasAccounts && drawLimits {
		f.ledger.limits = drawAccountLimits(f.features)
	}
	f.mesh = sidecar.NewMeshWithOptions(h, sidecar.Options{Machines: machines, Zones: zones, ProxyAddress: f.startProxy, Prepare: f.prepare, Configure: f.addFeatures})
	return f
}

// addFeatures adds the client accounts and the bound for cold servers to all
// configurations of a run that has them.
func (f *fleet) addFeatures(m *sidecar.Mesh) {
	if f.hasAccounts {
		m.Accounts, m.ClientKey = f.tenants, accountKey(accountNames[0], 0)
	}
	if f.hasColdStarts {
		m.ColdRate = coldRate
	}
}

func (f *fleet) startProxy(link sidecar.Link, machine int, address string) string {
	if f.proxies[machine] == nil {
		f.proxies[machine] = map[sidecar.Link]*harness.Proxy{}
	}
	p := f.h.StartProxy(address)
	f.proxies[machine][link] = p
	return p.Address
}

// prepare sets up a machine before its process starts. The last third of the
// machines runs the new version.
func (f *fleet) prepare(i int, m *sidecar.Machine) {
	f.incarnations[m.String()] = new(atomic.Int64)
	m.Server.SetWorkTime(time.Duration(f.rnd.Int64N(int64(maxWorkTime))))
	if 3*i >= 2*len(f.proxies) {
		m.Server.SetVersion(newVersion)
	}
	if f.hasColdStarts {
		m.Server.ColdStart = coldStart
	}
	m.Server.OnRun = func(s *sidecar.Server, r *http.Request) {
		f.ledger.recordRun(m.String(), s.DrainAckedAt(), s, r)
		f.checkExposure(s)
		if n := s.ColdArrivals(); f.hasColdStarts && n > coldAllowance {
			f.ledger.addViolation("COLD", "server %s got %d requests in a second while cold", s.ID(), n)
		}
	}
}

func (f *fleet) incarnation(m *sidecar.Machine) int64 { return f.incarnations[m.String()].Load() }

func (f *fleet) version() int { return int(f.configVersion.Load()) }

func versionPrefix(v int) string { return fmt.Sprintf("/v%d/", v) }

// configure writes the next configuration.
func (f *fleet) configure() {
	v := f.version() + 1
	prefixes := []string{stablePrefix(false)}
	for _, kept := range []int{v, v - 1, v - 2} {
		prefixes = append(prefixes, versionPrefix(kept))
	}
	f.mesh.Configure(v, prefixes...)
	f.ledger.recordVersion()
	f.configVersion.Store(int64(v))
}

// evacuateWhenDue evacuates a zone, or takes it back.
func (f *fleet) evacuateWhenDue() {
	switch {
	case !f.evacuates || time.Now().Before(f.nextOrder):
	case f.ledger.evacuatedZone() != "":
		f.endEvacuation()
		f.nextOrder = time.Now().Add(time.Duration(f.features.Int64N(int64(maxEvacuationInterval))))
	default:
		zone := fmt.Sprintf("z%d", f.features.IntN(zones))
		f.mesh.Store.Put("op", sidecar.EvacuationKey(zone), map[string]any{})
		f.ledger.setEvacuated(zone)
		f.nextOrder = time.Now().Add(evacuationBound + time.Duration(f.features.Int64N(int64(maxEvacuationInterval))))
	}
}

func (f *fleet) endEvacuation() {
	if zone := f.ledger.evacuatedZone(); zone != "" {
		f.ledger.setEvacuated("")
		f.mesh.Store.Remove("op", sidecar.EvacuationKey(zone))
	}
}

// orderMove orders a move to the new version, which is bad in half of the cases.
func (f *fleet) orderMove() {
	f.move.bad = f.rnd.IntN(2) == 0
	for _, m := range f.mesh.Machines {
		if m.Server.Version() == newVersion {
			m.Server.SetFailing(f.move.bad)
		}
	}
	f.mesh.Store.OnPut = f.recordMoveState
	f.mesh.OrderMove(newVersion, moveDuration)
}

// recordMoveState records each state of the move that the nodes write.
func (f *fleet) recordMoveState(table, key string, value []byte) {
	var status struct{ State string }
	if table != "status" || key != sidecar.OrderKey || json.Unmarshal(value, &status) != nil {
		return
	}
	f.move.Lock()
	defer f.move.Unlock()
	f.move.states = append(f.move.states, status.State)
}

// checkExposure checks that a bad version gets no requests after rollbackBound. It
// is called for each run on a server.
func (f *fleet) checkExposure(s *sidecar.Server) {
	f.move.Lock()
	defer f.move.Unlock()
	if !f.move.bad || s.Version() != newVersion {
		return
	}
	now := time.Now()
	if n := len(f.move.badResponses); n >= badResponseThreshold {
		last := f.move.badResponses[badResponseThreshold-1]
		if now.Sub(last) > rollbackBound && f.ledger.faultFree(last, now) {
			f.ledger.addViolation("EXPOSURE", "the bad version got a request %v after its bad response number %d", now.Sub(last), badResponseThreshold)
		}
	}
	if s.FailsCurrentRequest() {
		f.move.badResponses = append(f.move.badResponses, now)
	}
}

// checkMove checks the states of the move at the end of the run.
func (f *fleet) checkMove() {
	f.move.Lock()
	defer f.move.Unlock()
	final := ""
	for _, state := range f.move.states {
		if final != "" && state != final {
			f.ledger.addViolation("MOVE", "the state went from %q to %q", final, state)
		}
		if state != "running" {
			final = state
		}
	}
	switch {
	case final == "":
		f.ledger.addViolation("MOVE", "the move did not end: %v", f.move.states)
	case f.move.bad && final == "completed" && len(f.move.badResponses) >= badResponseThreshold:
		f.ledger.addViolation("MOVE", "the bad version is in use after %d bad responses", len(f.move.badResponses))
	}
}

// startCallers starts the callers of all machines. The returned function waits until
// all have ended.
func (f *fleet) startCallers(ctx context.Context) (wait func()) {
	var running sync.WaitGroup
	for i, m := range f.mesh.Machines {
		for n := range callersPerMachine {
			c := &caller{fleet: f, machine: m, name: fmt.Sprintf("%s-%d", m.String(), n), rnd: rand.New(rand.NewPCG(f.rnd.Uint64(), uint64(i))), keys: rand.New(rand.NewPCG(f.features.Uint64(), uint64(i)))}
			running.Go(func() { c.run(ctx) })
		}
	}
	return running.Wait
}

// checkRecovered returns an error unless each machine is ready and serves the newest
// configuration.
func (f *fleet) checkRecovered() error {
	for _, m := range f.mesh.Machines {
		if err := m.Ready(); err != nil {
			return fmt.Errorf("%s is not ready: %w", m.String(), err)
		}
		for _, path := range []string{versionPrefix(f.version()), stablePrefix(false), stablePrefix(true)} {
			response, err := m.Call(http.MethodGet, path+"recovered", "")
			if err != nil || response.Status != http.StatusOK {
				return fmt.Errorf("%s serves %s with status %d, %s, error: %v", m.String(), path, response.Status, response.Body, err)
			}
		}
	}
	return nil
}
