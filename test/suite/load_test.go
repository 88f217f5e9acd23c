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

// number returns an integer of the environment, or a default.
func number(name string, standard int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return standard
}

const (
	// slotsEach is the number of slots of one upstream in the records.
	slotsEach = 6
	// serviceMS is the duration of a call on the upstream. Faults must find
	// calls in flight.
	serviceMS = 60
)

// system is a cluster whose first node is an entry node only. Each other node
// has an upstream beside it.
type system struct {
	*harness.Cluster
	entry     *harness.Node
	owners    []*harness.Node
	upstreams []harness.Upstream // upstreams[i] is beside owners[i]
	results   []harness.Result   // of all loads
	loads     int
}

// newSystem starts a system and waits until each node reaches each upstream.
func newSystem(owners int, before ...func(*system)) *system {
	names := []string{"n0"}
	for i := range owners {
		names = append(names, fmt.Sprintf("n%d", i+1))
	}
	// In one zone, each node spreads its calls over all upstreams.
	c := harness.NewCluster(harness.New(GinkgoT()), 1, names...)
	s := &system{Cluster: c, entry: c.Nodes[0], owners: c.Nodes[1:]}
	for _, f := range before {
		f(s)
	}
	c.Start()
	c.WaitListening()
	for i, n := range s.owners {
		s.upstreams = append(s.upstreams, c.H.StartUpstream(fmt.Sprintf("u%d", i+1), "stock", "v1", n.Announce,
			"-service-ms", strconv.Itoa(serviceMS)))
	}
	applied(c, "first")
	s.awaitAll()
	note("system is up")
	return s
}

// awaitAll waits until calls through each node reach each upstream.
func (s *system) awaitAll() {
	GinkgoHelper()
	for _, n := range s.Nodes {
		s.awaitThrough(n, s.upstreams...)
	}
}

// awaitThrough waits until calls through a node reach each of the upstreams.
// The calls come in bursts: single calls all go to the fastest upstreams.
func (s *system) awaitThrough(n *harness.Node, upstreams ...harness.Upstream) {
	GinkgoHelper()
	s.H.WaitUntil("calls through "+n.Name+" to reach each upstream", func() error {
		s.loads++
		burst := harness.Load{
			Name: fmt.Sprintf("burst%d", s.loads), Entries: []*harness.Node{n}, Mix: []harness.Class{harness.Read},
			Calls: slotsEach * len(s.upstreams), Workers: slotsEach * len(s.upstreams),
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

// load is a load through all nodes, within the given share of all slots.
func (s *system) load(calls int, share float64) harness.Load {
	s.loads++
	return harness.Load{
		Name: fmt.Sprintf("load%d", s.loads), Entries: s.Nodes, Calls: calls,
		Workers: int(share * float64(slotsEach*len(s.upstreams))),
		Seed:    uint64(number("TEASELRING_SEED", 1)) + uint64(s.loads),
	}
}

// calls is the size of a load that faults happen under. A full run has 5000.
func calls() int { return number("TEASELRING_CALLS", 500) }

// inFullRun returns further entries of a table, which take too long for a run
// of the short version with each change.
func inFullRun(entries ...TableEntry) []TableEntry {
	if calls() < 5000 {
		return nil
	}
	return entries
}

// underLoad breaks things while a load runs within the slots, and returns the
// account of that load when all calls have a result. The account is complete
// only after settle.
func (s *system) underLoad(fault func(running *harness.RunningLoad)) []harness.Result {
	GinkgoHelper()
	running := s.H.StartLoad(s.load(calls(), 0.8))
	fault(running)
	note("fault is over")
	results := running.Wait()
	note("load is over")
	s.results = append(s.results, results...)
	return results
}

// recover waits until each node reaches each upstream again and expects every
// call of a further load to be answered.
func (s *system) recover() {
	GinkgoHelper()
	s.awaitAll()
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

// expectTrue expects that every caller so far was told the truth.
func (s *system) expectTrue() {
	GinkgoHelper()
	account := harness.NewAccount(s.results, s.journals()...)
	note("all loads: %v", account)
	for _, u := range s.upstreams {
		note("%s: %d lines, %d calls never ended", u.Name, len(u.Calls()), inFlight(u))
	}
	Expect(account.Violations).To(BeEmpty())
}

// inFlight counts the calls of an upstream that began and did not end.
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

// account returns the account of some results and prints it.
func (s *system) account(results []harness.Result) *harness.Account {
	account := harness.NewAccount(results, s.journals()...)
	note("%v", account)
	return account
}

func note(format string, args ...any) {
	_, _ = fmt.Fprintf(GinkgoWriter, time.Now().Format("15:04:05.000 ")+format+"\n", args...)
}
