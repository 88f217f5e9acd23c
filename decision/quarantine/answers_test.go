package quarantine

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/mesh"
)

// aged returns a report that another node has kept.
func aged(c *mesh.Crash, age time.Duration) mesh.Crash {
	c.Age = age
	return *c
}

var _ = Describe("the reports that a starting node takes from others", func() {
	p, q := func(age time.Duration, prints ...uint64) mesh.Crash { return aged(crashOf("p", prints...), age) },
		func(age time.Duration, prints ...uint64) mesh.Crash { return aged(crashOf("q", prints...), age) }
	answer := func(reports ...mesh.Crash) Answer { return Answer{Reports: reports} }

	DescribeTable("are those that others confirm", func(answers []Answer, blocked ...uint64) {
		t := New(DefaultParams())
		for _, c := range Agree(answers) {
			t.Report(&c, start)
		}
		var got []uint64
		for print := range uint64(10) {
			if t.Blocked("stock", print, start) {
				got = append(got, print)
			}
		}
		Expect(got).To(ConsistOf(blocked))
	},
		Entry("of all", []Answer{answer(p(2, 1, 2), q(1, 1)), answer(q(1, 1), p(2, 1, 2))}, uint64(1)),
		Entry("of the only node that answers", []Answer{answer(p(2, 1), q(1, 1))}, uint64(1)),
		Entry("of two, while a third has missed one", []Answer{answer(p(2, 1), q(1, 1)), answer(p(2, 1), q(1, 1)), answer(q(1, 1))}, uint64(1)),
		Entry("of one, while the others could not ask", []Answer{answer(p(2, 1), q(1, 1)), {Partial: true}}, uint64(1)),
		Entry("not of one against another", []Answer{answer(p(2, 1), q(1, 1)), answer()}),
		Entry("not of one that repeats itself", []Answer{answer(p(2, 1), p(2, 1), q(1, 1), q(1, 1)), answer()}),
		Entry("not of requests that another has completed", []Answer{answer(p(2, 1), q(1, 1)), answer(p(2, 1), q(1)), answer(p(2, 1), q(1, 1))}),
		Entry("not of none", nil),
	)

	// Without the age, a report that is passed on at each restart never expires.
	It("expire for all nodes at the same time, however often they are passed on", func() {
		first := New(DefaultParams())
		first.Report(crashOf("p", 1), start)
		first.Report(crashOf("q", 1), start.Add(time.Minute))
		now, from := start.Add(time.Minute), first
		for range 3 {
			now = now.Add(150 * time.Second)
			next := New(DefaultParams())
			for _, c := range Agree([]Answer{{Reports: from.Recent("stock", now)}}) {
				next.Report(&c, now)
			}
			Expect(next.Blocked("stock", 1, now)).To(BeTrue())
			from = next
		}
		Expect(from.Blocked("stock", 1, start.Add(11*time.Minute-1))).To(BeTrue())
		Expect(from.Blocked("stock", 1, start.Add(11*time.Minute))).To(BeFalse())
		Expect(from.Recent("stock", start.Add(11*time.Minute))).To(BeEmpty())
		old := aged(crashOf("r", 1), 10*time.Minute)
		isNew, _ := from.Report(&old, now)
		Expect(isNew).To(BeFalse())
	})

	It("leave out what is harmless or of another service, and are bounded", func() {
		params := DefaultParams()
		params.MaxShared = 3
		t := New(params)
		t.Report(crashOf("p", 1, 2), start)
		t.Report(crashOf("q", 2, 3), start.Add(1))
		t.Report(crashOf("r", 3), start.Add(2))
		t.Report(&mesh.Crash{Service: "billing", Node: "x", Process: "b", Fingerprints: []uint64{9}}, start)
		t.RecordCompletion("stock", 3, start)
		Expect(t.Recent("stock", start.Add(2))).To(Equal([]mesh.Crash{aged(crashOf("r", []uint64{}...), 0), aged(crashOf("q", 2), 1), aged(crashOf("p", 1, 2), 2)}))
		t.Report(crashOf("s", 4), start.Add(3))
		Expect(t.Recent("stock", start.Add(3))).To(HaveLen(3), "the oldest has no room")
	})

	DescribeTable("must be plausible", func(change func(a *Answer)) {
		a := answer(p(2, 1, 2))
		Expect(a.Check("stock", DefaultParams())).To(Succeed())
		change(&a)
		Expect(a.Check("stock", DefaultParams())).NotTo(Succeed())
	},
		Entry("number of reports", func(a *Answer) { a.Reports = make([]mesh.Crash, 1<<20) }),
		Entry("number of requests in one", func(a *Answer) { a.Reports[0].Fingerprints = make([]uint64, 4097) }),
		Entry("number of requests in all", func(a *Answer) {
			a.Reports[0].Fingerprints = make([]uint64, 4096)
			a.Reports = append(a.Reports, a.Reports[0], a.Reports[0])
		}),
		Entry("service", func(a *Answer) { a.Reports[0].Service = "billing" }),
		Entry("node", func(a *Answer) { a.Reports[0].Node = "" }),
		Entry("age", func(a *Answer) { a.Reports[0].Age = -time.Hour }),
		Entry("name", func(a *Answer) { a.Reports[0].Process = string(make([]byte, 201)) }),
	)

	It("come from three nodes of the own zone and one of another that serve the service", func() {
		view := &mesh.View{Self: "n0"}
		for i := range 40 {
			view.Members = append(view.Members, mesh.Member{
				Node: mesh.NodeID(fmt.Sprint("n", i)), Zone: mesh.Zone(fmt.Sprint("z", i%4)), PeerAddress: "127.0.0.1:1", State: mesh.NodeAlive,
				Endpoint: mesh.Endpoint{Service: mesh.ServiceID([]string{"stock", "billing"}[i/4%2]), State: mesh.EndpointReady},
			})
		}
		self := mesh.Identity{Node: "n0", Zone: "z0"}
		zones := map[bool]int{}
		for _, m := range Neighbours(view, self, "stock", rand.New(rand.NewPCG(1, 2))) {
			Expect(m.Endpoint.Service).To(BeEquivalentTo("stock"))
			Expect(m.Node).NotTo(Equal(self.Node))
			zones[m.Zone == self.Zone]++
		}
		Expect(zones).To(Equal(map[bool]int{true: 3, false: 1}))
		self.Zone = "elsewhere"
		Expect(Neighbours(view, self, "stock", rand.New(rand.NewPCG(1, 2)))).To(HaveLen(4), "nodes of other zones fill the places")
	})
})
