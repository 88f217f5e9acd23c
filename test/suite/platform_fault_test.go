package suite

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/result"
	"teaselring/test/harness"
)

// result returns the result code of a reply, OK for a response of the upstream.
func (r reply) result() *result.Code {
	number := 0
	_, _ = fmt.Sscan(r.code, &number)
	return result.ByNumber(number)
}

// Guards against once calls that run while their claims cannot be stored, and
// against keys that a failed claim blocks forever.
var _ = DescribeTable("while the platform fails, once calls wait and others go on",
	func(fault, recovery map[string]any, refused bool) {
		s := newSystem(2)
		s.Platform.Control(fault)
		onceLoad := s.load(12, 0.5)
		onceLoad.Mix = []harness.Class{harness.Once}
		otherLoad := s.load(loadCalls()/3, 0.4)
		otherLoad.Mix = []harness.Class{harness.Read, harness.Upload}
		running := s.H.StartLoad(onceLoad)
		account := s.account(s.H.StartLoad(otherLoad).Wait())
		Expect(account.Violations).To(BeEmpty())
		Expect(account.Answered).To(Equal(otherLoad.Calls))

		onceAccount := s.account(running.Wait())
		Expect(onceAccount.Violations).To(BeEmpty())
		if refused {
			Expect(onceAccount.Answered).To(BeZero())
			Expect(onceAccount.Codes).To(HaveLen(1))
			Expect(onceAccount.Codes).To(HaveKeyWithValue(result.KeyStoreDown.Number, onceLoad.Calls))
		}
		s.Platform.Control(recovery)
		for i, p := range onceLoad.Plan() {
			s.H.WaitUntil("key "+p.Key+" to run", func() error {
				r := call(s.Nodes[i%len(s.Nodes)], p.Method, p.Path, p.Key, p.Body)
				if r.status != 200 && r.result() != result.AlreadyRan {
					return fmt.Errorf("status %d, code %s, %v", r.status, r.code, r.err)
				}
				return nil
			})
		}
		Expect(s.countRunOnce(onceLoad)).To(Equal(onceLoad.Calls))
	},
	Entry("with an outage", map[string]any{"outage": true}, map[string]any{"outage": false}, true),
	Entry("without responses", map[string]any{"stall": true}, map[string]any{"stall": false}, false),
	fullRunOnly(Entry("with responses after 4 s", map[string]any{"latency_ms": 4000}, map[string]any{"latency_ms": 0}, false)),
)

// countRunOnce returns the number of a load's keys whose call began exactly once.
func (s *system) countRunOnce(l harness.Load) int {
	began := map[string]int{}
	for _, journal := range s.journals() {
		for _, line := range journal {
			if line.Event == "began" {
				began[line.Key]++
			}
		}
	}
	n := 0
	for _, p := range l.Plan() {
		if began[p.Key] == 1 {
			n++
		}
	}
	return n
}

// Guards against a claim that is attributed to another attempt or made twice when
// the platform applies it but its response is lost.
var _ = It("once calls run once when answers to their claims are lost", func() {
	s := newSystem(2)
	s.Platform.Control(map[string]any{"lose_answers": 10})
	l := s.load(loadCalls()/3, 0.8)
	l.Mix = []harness.Class{harness.Once}
	results := s.H.StartLoad(l).Wait()
	s.results = append(s.results, results...)
	account := s.account(results)
	Expect(s.Platform.Stats()["lost"]).To(Equal(10))
	Expect(account.Answered).To(Equal(l.Calls))
	Expect(s.countRunOnce(l)).To(Equal(l.Calls))
	s.expectNoFaults()
})
