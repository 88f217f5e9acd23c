package suite

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/test/harness"
	"teaselring/test/standin"
)

// envInt returns an integer from the environment, or a fallback.
func envInt(name string, fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return fallback
}

const (
	// slotsPerUpstream is the number of slots of one upstream in the records.
	slotsPerUpstream = 6
	// serviceMS is the duration of a call on the upstream, long enough that faults
	// hit calls in flight.
	serviceMS = 60
)

// system is a cluster whose first node is only an entry node. Each other node has
// a local upstream.
type system struct {
	*harness.Cluster
	entry     *harness.Node
	owners    []*harness.Node
	upstreams []harness.Upstream // upstreams[i] is local to owners[i]
	results   []harness.Result   // of all loads
	loads     int
}

// newSystem starts a system and waits until each node reaches each upstream. The
// functions configure run before the nodes start.
func newSystem(owners int, configure ...func(*system)) *system {
	names := []string{"n0"}
	for i := range owners {
		names = append(names, fmt.Sprintf("n%d", i+1))
	}
	// Within one zone, each node balances its calls over all upstreams.
	c := harness.NewCluster(harness.New(GinkgoT()), 1, names...)
	s := &system{Cluster: c, entry: c.Nodes[0], owners: c.Nodes[1:]}
	for _, f := range configure {
		f(s)
	}
	c.Start()
	c.WaitListening()
	for i, n := range s.owners {
		s.upstreams = append(s.upstreams, c.H.StartUpstream(fmt.Sprintf("u%d", i+1), "stock", "v1", n.Announce,
			"-service-ms", strconv.Itoa(serviceMS)))
	}
	applyRecords(c, "first")
	s.awaitAllReachable()
	logf("system started")
	return s
}

// awaitAllReachable waits until calls through each node reach each upstream.
func (s *system) awaitAllReachable() {
	GinkgoHelper()
	for _, n := range s.Nodes {
		s.awaitReachable(n, s.upstreams...)
	}
}

// awaitReachable waits until calls through a node reach each of the upstreams.
// It sends bursts, because single calls would all go to the fastest upstreams.
func (s *system) awaitReachable(n *harness.Node, upstreams ...harness.Upstream) {
	GinkgoHelper()
	s.H.WaitUntil("calls through "+n.Name+" to reach each upstream", func() error {
		s.loads++
		burst := harness.Load{
			Name: fmt.Sprintf("burst%d", s.loads), Entries: []*harness.Node{n}, Mix: []harness.Class{harness.Read},
			Calls: slotsPerUpstream * len(s.upstreams), Workers: slotsPerUpstream * len(s.upstreams),
		}
		results := s.H.StartLoad(burst).Wait()
		s.results = append(s.results, results...)
		for _, u := range upstreams {
			if u.CountBegan(func(c standin.Call) bool { return strings.Contains(c.Path, burst.Name+"-") }) == 0 {
				return fmt.Errorf("%s: no call of %v", u.Name, harness.NewAccount(results, s.journals()...))
			}
		}
		return nil
	})
}

// load returns a load through all nodes that occupies the given share of all slots.
func (s *system) load(calls int, share float64) harness.Load {
	s.loads++
	return harness.Load{
		Name: fmt.Sprintf("load%d", s.loads), Entries: s.Nodes, Calls: calls,
		Workers: int(share * float64(slotsPerUpstream*len(s.upstreams))),
		Seed:    uint64(envInt("TEASELRING_SEED", 1)) + uint64(s.loads),
	}
}

// loadCalls returns the number of calls in a load that runs during a fault; a full
// run has 5000.
func loadCalls() int { return envInt("TEASELRING_CALLS", 500) }

// fullRunOnly returns the entries in a full run and none in a short one, for which
// they take too long.
func fullRunOnly(entries ...TableEntry) []TableEntry {
	if loadCalls() < 5000 {
		return nil
	}
	return entries
}

// runUnderLoad injects a fault while a load occupies 80% of the slots, and returns
// the results of that load once all calls have one. Upstreams may still be running
// some of the calls then, so the journals are complete only after recover.
func (s *system) runUnderLoad(inject func(running *harness.RunningLoad)) []harness.Result {
	GinkgoHelper()
	running := s.H.StartLoad(s.load(loadCalls(), 0.8))
	inject(running)
	logf("fault ended")
	results := running.Wait()
	logf("load ended")
	s.results = append(s.results, results...)
	return results
}

// recover waits until each node reaches each upstream again and expects that every
// call of another load is answered.
func (s *system) recover() {
	GinkgoHelper()
	s.awaitAllReachable()
	results := s.H.StartLoad(s.load(60, 0.5)).Wait()
	s.results = append(s.results, results...)
	account := harness.NewAccount(results, s.journals()...)
	Expect(account.Answered).To(Equal(60), "after the fault: %v", account)
}

func (s *system) journals() [][]standin.Call {
	var journals [][]standin.Call
	for _, u := range s.upstreams {
		journals = append(journals, u.Calls())
	}
	return journals
}

// expectNoFaults expects that the results of all calls so far agree with the
// upstreams' journals.
func (s *system) expectNoFaults() {
	GinkgoHelper()
	account := harness.NewAccount(s.results, s.journals()...)
	logf("all loads: %v", account)
	for _, u := range s.upstreams {
		logf("%s: %d journal lines, %d calls without an end", u.Name, len(u.Calls()), inFlight(u))
	}
	Expect(account.Violations).To(BeEmpty())
}

// inFlight returns the number of calls that began on an upstream and did not end.
func inFlight(u harness.Upstream) int {
	n := 0
	for _, line := range u.Calls() {
		switch line.Event {
		case "began":
			n++
		case "ended":
			n--
		}
	}
	return n
}

// account returns the account of results and logs it.
func (s *system) account(results []harness.Result) *harness.Account {
	account := harness.NewAccount(results, s.journals()...)
	logf("%v", account)
	return account
}

func logf(format string, args ...any) {
	_, _ = fmt.Fprintf(GinkgoWriter, time.Now().Format("15:04:05.000 ")+format+"\n", args...)
}
