package quota

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/mesh"
)

func TestQuota(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "quota")
}

// strictBound is the bound less the part of the allowance for requests that wait at a server.
func strictBound(l Limit) float64 {
	return testSettings.Bound(l) - (1-lineShare-extraBurstShare-startShare)*testSettings.allowance(l)
}

func expectBound(m *testMesh) {
	GinkgoHelper()
	for name, l := range m.limits {
		Expect(float64(m.most(name))).To(BeNumerically("<=", strictBound(l)), "account %s with %+v", name, l)
	}
}

// Guards against an overspend that needs a combination of faults: partitions, restarts,
// changes of the granting node, lost and late messages, and clocks of different speed.
var _ = Describe("the bound over all nodes", func() {
	for seed := range uint64(16) {
		It(fmt.Sprintf("holds at several times the limit with faults of all kinds, seed %d", seed), func() {
			limits := map[mesh.AccountName]Limit{"a00": {100, 100}, "a01": {5, 5}, "a02": {40, 0}, "a03": {300, 250}, "a04": {1, 20}}
			limits["a05"] = Limit{20, 250}
			m := newTestMesh(seed, 5+int(seed%8), limits, false)
			m.notRun = 0.1
			for range 6 {
				m.group(1)
				m.load(time.Duration(5+m.random.IntN(4))*time.Second, m.rates(0.1, 0.6)) // buckets fill
				m.loss = 0.2 * m.random.Float64()
				for range 5 {
					m.fault()
					m.load(time.Duration(200+m.random.IntN(1500))*time.Millisecond, m.rates(0.5, 4, 7))
				}
			}
			expectBound(m)
		})
	}
})

// rates returns for each account one of the multiples of its limit.
func (m *testMesh) rates(multiples ...float64) map[mesh.AccountName]float64 {
	rates := map[mesh.AccountName]float64{}
	for _, name := range sortedAccounts(m.limits) {
		rates[name] = m.limits[name].Rate * multiples[m.random.IntN(len(multiples))]
	}
	return rates
}

// group divides the nodes at random into groups that do not reach each other.
func (m *testMesh) group(groups int) {
	for _, n := range m.nodes {
		n.group = m.random.IntN(groups)
	}
}

// fault causes one fault.
func (m *testMesh) fault() {
	n := m.nodes[m.random.IntN(len(m.nodes))]
	switch m.random.IntN(6) {
	case 0:
		m.group(1 + m.random.IntN(3))
	case 1:
		m.group(1)
	case 2:
		n.down = true
	case 3:
		for _, n := range m.nodes {
			if n.down {
				m.start(n, false)
			}
		}
	case 4:
		m.start(n, false)
	case 5:
		for _, n := range m.nodes {
			m.start(n, false)
		}
	}
}

// Pattern: a step of one account to seven times its limit, beside accounts below theirs.
var _ = Describe("an account that sends seven times its limit for 6 s", func() {
	It("gets its limit and no more, and takes nothing from the others", func() {
		limits := map[mesh.AccountName]Limit{"a00": {100, 100}, "a01": {100, 100}, "a02": {20, 20}, "a03": {6, 10}}
		m := newTestMesh(1, 71, limits, true)
		usual := map[mesh.AccountName]float64{"a00": 62, "a01": 62, "a02": 12, "a03": 2}
		m.load(20*time.Second, usual)
		for name := range limits {
			Expect(m.refused[name]).To(BeZero(), "account %s at its usual load", name)
		}
		step := map[mesh.AccountName]float64{"a00": 700, "a01": 62, "a02": 12, "a03": 2}
		before := len(m.runs["a00"])
		m.load(6*time.Second, step)
		served := len(m.runs["a00"]) - before
		m.load(6*time.Second, usual)
		expectBound(m)
		Expect(served).To(BeNumerically(">", 600), "rate and burst are used")
		Expect(m.refused["a01"] + m.refused["a02"] + m.refused["a03"]).To(BeZero())
		GinkgoWriter.Printf("served %d, refused %v, waited %v, asks %d in %v\n", served, m.refused, m.waited, m.asks, m.now)
	})
})

// Pattern: the granting nodes are lost without a trace.
var _ = Describe("the loss of a third of the nodes", func() {
	It("leaves an account a part of its limit, and its whole share after a term", func() {
		limits := map[mesh.AccountName]Limit{"a00": {100, 100}, "a01": {10, 10}}
		m := newTestMesh(3, 12, limits, false)
		usual := map[mesh.AccountName]float64{"a00": 50, "a01": 5}
		m.load(15*time.Second, usual)
		for i, n := range m.nodes {
			if i%3 == 0 {
				n.group = 9
			}
		}
		m.load(8*time.Second, usual)
		for name := range limits {
			m.refused[name] = 0
		}
		for _, n := range m.nodes {
			n.down = n.group == 9
		}
		m.load(10*time.Second, usual)
		Expect(m.refused["a00"]).To(BeNumerically("<", 10))
		expectBound(m)
	})
})

// Pattern: all nodes start at once and nothing is known.
var _ = Describe("the start of all nodes", func() {
	It("refuses none of few requests", func() {
		limits := map[mesh.AccountName]Limit{"a00": {100, 100}, "a01": {20, 20}}
		m := newTestMesh(4, 71, limits, true)
		m.load(5*time.Second, map[mesh.AccountName]float64{"a00": 20, "a01": 2})
		Expect(m.refused["a00"] + m.refused["a01"]).To(BeZero())
		expectBound(m)
	})
})
