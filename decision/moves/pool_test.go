package moves

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func repeatRates(n int, p rates) []rates {
	list := make([]rates, n)
	for i := range list {
		list[i] = p
	}
	return list
}

var _ = Describe("the pooled test", func() {
	// An average over all routes hides a route that always fails but has a
	// tenth of the calls.
	It("detects a version that is bad on one of many routes only", func() {
		routes := repeatRates(10, rates{0.02, 0.01})
		routes[7].new = 0.5
		p := NewPool(SockOffice)
		v := newTraffic(p, 1, 8, routes...).run(60)
		Expect(v.Bad).To(BeTrue())
		Expect(v.Reason).To(ContainSubstring(`route "r7"`))
	})

	// A fixed threshold of a few percent never detects this version.
	It("detects a version that fails one percent more often", func() {
		v := newTraffic(NewPool(SockOffice), 2, 8, rates{0.005, 0.015}).run(600)
		Expect(v.Bad).To(BeTrue())
	})

	// A sum since the start takes as long to detect the fault as the version
	// was good before.
	It("detects a version that turns bad late within seconds", func() {
		t := newTraffic(NewPool(SockOffice), 3, 8, rates{0.005, 0.005})
		Expect(t.run(600).Bad).To(BeFalse())
		t.routes[0].new = 0.2
		Expect(t.run(10).Bad).To(BeTrue())
	})

	// While the platform is down both versions fail. If the share grows at the
	// same time, totals over the whole move make the new version look worse.
	It("does not blame the new version for an outage of both", func() {
		t := newTraffic(NewPool(LicenceMesh), 4, 8, rates{0.005, 0.005})
		t.run(120)
		t.share, t.routes[0] = 0.6, rates{0.4, 0.4}
		t.run(60)
		t.routes[0] = rates{0.005, 0.005}
		Expect(t.run(60).Bad).To(BeFalse())
	})

	// One broken or misreporting node must not take a good move back.
	DescribeTable("one node that reports only failures of the new version",
		func(nodes int, s Settings) {
			t := newTraffic(NewPool(s), 5, nodes, rates{0.005, 0.005})
			t.misreports = 0
			v := t.run(120)
			Expect(v.Bad).To(BeFalse())
			Expect(v.Cuts).To(BeZero())
		},
		Entry("of 8, sock office", 8, SockOffice),
		Entry("of 8, licence mesh", 8, LicenceMesh),
		Entry("of 4", 4, SockOffice),
		Entry("of 24", 24, LicenceMesh),
	)

	// The stated error rate holds over all routes and windows together.
	It("keeps the false alarms of good versions below the stated rate", func() {
		const moves = 300
		alarms := 0
		for seed := range uint64(moves) {
			t := newTraffic(NewPool(LicenceMesh), seed, 4, repeatRates(3, rates{0.02, 0.02})...)
			t.calls = 4
			if t.run(150).Bad {
				alarms++
			}
		}
		Expect(alarms).To(BeNumerically("<=", moves*LicenceMesh.FalseAlarmRate()))
	})

	// A report that arrives twice or late would count its calls twice.
	It("ignores duplicated and older reports", func() {
		p := NewPool(SockOffice)
		t := newTraffic(p, 6, 3, rates{0.01, 0.01})
		t.run(1)
		first := t.nodes[0]
		calls := t.run(5).Calls
		last := t.nodes[0]
		p.Add(&first)
		p.Add(&last)
		p.CloseWindow(t.now)
		Expect(p.Verdict().Calls).To(Equal(calls))
	})

	// A report after a long gap sums up calls at different shares and rates,
	// which must not be compared.
	It("takes a report after a long gap as a new baseline", func() {
		p := NewPool(SockOffice)
		t := newTraffic(p, 7, 1, rates{0.01, 0.01})
		t.run(1)
		calls := p.Verdict().Calls
		e := t.nodes[0]
		e.Sequence += maxReportGap + 1
		e.Routes[0].New.Calls += 1000
		e.Routes[0].New.Failures += 1000
		p.Add(&e)
		p.CloseWindow(t.now)
		Expect(p.Verdict().Calls).To(Equal(calls))
	})
})

var _ = Describe("recheck at full share", func() {
	atFullShare := func(seed uint64, s Settings) *traffic {
		t := newTraffic(NewPool(s), seed, 8, rates{0.005, 0.005})
		t.run(120)
		t.share = 1
		Expect(t.run(20).Recheck).To(BeFalse())
		return t
	}

	// With no calls to the old version there is nothing to compare with, so
	// an outage in the watch period would take a good version back.
	It("is cleared when both versions fail at half share", func() {
		t := atFullShare(11, SockOffice)
		t.routes[0] = rates{0.3, 0.3}
		Expect(t.run(5).Recheck).To(BeTrue())
		t.share = recheckShare
		v := t.run(60)
		Expect(v.Bad).To(BeFalse())
		Expect(v.Recheck).To(BeFalse())
	})

	// Nodes enter and leave a recheck at different times, so some windows have
	// only a few old calls. Estimating the old version's rate from them lost
	// all the evidence for a good version.
	It("keeps the evidence of a good version through an outage", func() {
		t := atFullShare(14, SockOffice)
		before := t.pool.Verdict().GoodEvidence
		t.routes[0] = rates{0.5, 0.5}
		t.share = 0.97
		Expect(t.run(20).GoodEvidence).To(Equal(before))
	})

	It("ends with a verdict when only the new version fails at half share", func() {
		t := atFullShare(12, SockOffice)
		t.routes[0].new = 0.15
		Expect(t.run(5).Recheck).To(BeTrue())
		t.share = recheckShare
		Expect(t.run(10).Bad).To(BeTrue())
	})

	// A version that fails only under full load looks good in every comparison.
	It("detects a version that is bad at full share only after relapses", func() {
		t := atFullShare(13, LicenceMesh)
		for range LicenceMesh.maxRelapses() {
			Expect(t.pool.Verdict().Bad).To(BeFalse())
			t.share, t.routes[0].new = 1, 0.15
			Expect(t.run(5).Recheck).To(BeTrue())
			t.share, t.routes[0].new = recheckShare, 0.005
			t.run(25)
		}
		Expect(t.pool.Verdict().Bad).To(BeTrue())
	})
})
