package suite

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/test/harness"
)

// silenceBound is the time after which a silent connection must not delay or fail
// new calls (design page, section 8).
const silenceBound = 3 * time.Second

// Guards against connections that stay open and drop all bytes: without pings each
// call on such a connection waits for its deadline, until it is closed.
var _ = DescribeTable("silent connections between entry and owner node", func(directions ...harness.Direction) {
	var proxy *harness.Proxy
	s := newSystem(1, func(s *system) { proxy = s.Proxy(s.owners[0]) })
	load := s.load(loadCalls()/5, 0.8)
	load.Entries = []*harness.Node{s.entry}
	running := s.H.StartLoad(load)
	running.WaitStarted(load.Calls / 3)
	proxy.SilenceOpen(directions...)
	time.Sleep(silenceBound)
	// The first call after the failures is a trial: the router sends no other call
	// until it has a response.
	trial := s.load(1, 0.5)
	trial.Entries, trial.Mix = []*harness.Node{s.entry}, []harness.Class{harness.Read}
	Expect(s.account(s.H.StartLoad(trial).Wait()).Answered).To(Equal(1))

	followUp := s.load(60, 0.5)
	followUp.Entries = []*harness.Node{s.entry}
	followUpResults := s.H.StartLoad(followUp).Wait()
	results := running.Wait()
	s.results = append(append(s.results, results...), followUpResults...)
	s.account(results)
	Expect(s.account(followUpResults).Answered).To(Equal(followUp.Calls))
	proxy.Heal()
	s.recover()
	s.expectNoFaults()
	Expect(s.account(s.results).Unanswered(nil)).To(BeEmpty())
},
	Entry("both ways", harness.ToServer, harness.FromServer),
	Entry("to the owner node", harness.ToServer),
	fullRunOnly(Entry("from the owner node", harness.FromServer)),
)
