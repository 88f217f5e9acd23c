package suite

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/test/harness"
)

// fault is a failure that inject starts and ends again after about a second. Lost
// platform responses end by their count.
type fault struct {
	name   string
	inject func(s *system, target int)
}

var faults = []fault{
	{"kill of an owner node", func(s *system, target int) { s.owners[target].Kill(); holdFault(); s.owners[target].Restart() }},
	{"kill of an entry node", func(s *system, _ int) { s.entry.Kill(); holdFault(); s.entry.Restart() }},
	{"kill of an upstream", func(s *system, target int) { s.upstreams[target].Kill(); holdFault(); s.upstreams[target].Restart() }},
	{"pause of an owner node", func(s *system, target int) { s.owners[target].Pause(); holdFault(); s.owners[target].Resume() }},
	{"pause of an upstream", func(s *system, target int) { s.upstreams[target].Pause(); holdFault(); s.upstreams[target].Resume() }},
	{"outage of the platform", func(s *system, _ int) {
		s.Platform.Control(map[string]any{"outage": true})
		holdFault()
		s.Platform.Control(map[string]any{"outage": false})
	}},
	{"lost responses of the platform", func(s *system, _ int) { s.Platform.Control(map[string]any{"lose_answers": 20}) }},
}

func holdFault() { time.Sleep(time.Second) }

// Guards against faults that the system survives one at a time but not together.
// The seed selects two faults and the endpoints that they hit.
var _ = DescribeTable("two faults at once give every caller a correct result", func(seed int) {
	seed = envInt("TEASELRING_SEED", seed)
	random := rand.New(rand.NewPCG(uint64(seed), 1))
	chosen := random.Perm(len(faults))[:2]
	targets := random.Perm(3)[:2]
	logf("seed %d: %s at %d, %s at %d", seed, faults[chosen[0]].name, targets[0]+1, faults[chosen[1]].name, targets[1]+1)
	AddReportEntry("seed", seed)

	s := newSystem(3)
	results := s.runUnderLoad(func(r *harness.RunningLoad) {
		r.WaitStarted(loadCalls() / 5)
		done := make(chan struct{})
		go func() {
			defer GinkgoRecover()
			defer close(done)
			faults[chosen[0]].inject(s, targets[0])
		}()
		faults[chosen[1]].inject(s, targets[1])
		<-done
	})
	s.recover()
	s.expectNoFaults()
	account := s.account(results)
	Expect(account.Answered).To(BeNumerically(">=", account.Calls/3), account.String())
},
	Entry("by seed 1", 1),
	fullRunOnly(Entry("by seed 2", 2), Entry("by seed 3", 3)),
)

// Guards against incorrect refusals under overload. The goodput is reported without
// a bound because it depends on the machine.
var _ = It("a load of twice the slots gives every caller a correct result", func() {
	s := newSystem(3)
	goodput := func(share float64) float64 {
		began := time.Now()
		results := s.H.StartLoad(s.load(loadCalls(), share)).Wait()
		took := time.Since(began)
		s.results = append(s.results, results...)
		account := s.account(results)
		Expect(account.Unanswered(nil)).To(BeEmpty())
		return float64(account.Answered) / took.Seconds()
	}
	full := goodput(1)
	double := goodput(2)
	s.expectNoFaults()
	AddReportEntry("goodput at 100% and 200% of the slots, calls/s", []float64{full, double})
	logf("goodput %.0f/s at 100%%, %.0f/s at 200%% (%.0f%%)", full, double, 100*double/full)
})
