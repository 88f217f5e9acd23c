package suite

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/test/harness"
)

// silenceBound is the time after which a silent connection must not harm new
// calls (design page, section 8).
const silenceBound = 3 * time.Second

// Guards against connections that stay open and swallow bytes: without pings
// each call on them waits for its deadline, for as long as they are kept.
var _ = DescribeTable("silent connections between entry and owner node", func(directions ...harness.Direction) {
	var proxy *harness.Proxy
	s := newSystem(1, func(s *system) { proxy = s.Proxy(s.owners[0]) })
	load := s.load(calls()/5, 0.8)
	load.Entries = []*harness.Node{s.entry}
	running := s.H.StartLoad(load)
	running.WaitStarted(load.Calls / 3)
	proxy.SilenceOpen(directions...)
	time.Sleep(silenceBound)
	// The first call after the failures is a trial: the router sends no other
	// until it is answered.
	trial := s.load(1, 0.5)
	trial.Entries, trial.Mix = []*harness.Node{s.entry}, []harness.Class{harness.Read}
	Expect(s.account(s.H.StartLoad(trial).Wait()).Answered).To(Equal(1))

	after := s.load(60, 0.5)
	after.Entries = []*harness.Node{s.entry}
	answered := s.H.StartLoad(after).Wait()
	results := running.Wait()
	s.results = append(append(s.results, results...), answered...)
	s.account(results)
	Expect(s.account(answered).Answered).To(Equal(after.Calls))
	proxy.Heal()
	s.recover()
	s.expectTrue()
	Expect(s.account(s.results).Unanswered(nil)).To(BeEmpty())
},
	Entry("both ways", harness.ToServer, harness.FromServer),
	Entry("to the owner node", harness.ToServer),
	inFullRun(Entry("from the owner node", harness.FromServer)),
)
