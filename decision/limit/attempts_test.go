package limit

import (
	"fmt"
	"runtime"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/mesh"
	"teaselring/result"
)

var _ = Describe("Attempts", func() {
	var a *Attempts
	deadline := at(2 * time.Second)
	BeforeEach(func() { a = NewAttempts(4) })

	It("admits an id once", func() {
		Expect(a.Admit("x", deadline, start)).To(Succeed())
		Expect(result.Of(a.Admit("x", deadline, start))).To(Equal(result.AttemptDuplicate))
	})

	// Ids of 15,608 characters, legal in size, took a node's memory (review/9).
	It("holds the same few bytes of an attempt whatever the length of its id", func() {
		const attempts, idBytes, maxBytes = 5000, 15_608, 256 // a full table: 16 MB
		inUse := func() uint64 {
			var m runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&m)
			return m.HeapAlloc
		}
		a = NewAttempts(attempts)
		before := inUse()
		for i := range attempts {
			Expect(a.Admit(mesh.AttemptID(strings.Repeat("x", idBytes)+strconv.Itoa(i)), deadline, start)).To(Succeed())
		}
		Expect(inUse()).To(BeNumerically("<", before+attempts*maxBytes))
		Expect(a.Len()).To(Equal(attempts))
	})

	It("never starts an attempt that was settled before it arrived", func() {
		Expect(a.Settle("x", deadline, start)).To(BeTrue())
		Expect(result.Of(a.Admit("x", deadline, start))).To(Equal(result.Fenced))
		Expect(a.Begin("x")).To(BeFalse())
		Expect(a.Settle("x", deadline, start)).To(BeTrue())
	})

	It("never starts an attempt that was settled while it waited", func() {
		Expect(a.Admit("x", deadline, start)).To(Succeed())
		Expect(a.Settle("x", deadline, start)).To(BeTrue())
		Expect(a.Begin("x")).To(BeFalse())
	})

	It("never reports a started attempt as not run", func() {
		Expect(a.Admit("x", deadline, start)).To(Succeed())
		Expect(a.Begin("x")).To(BeTrue())
		Expect(a.Settle("x", deadline, start)).To(BeFalse())
		a.End("x")
		Expect(a.Settle("x", deadline, at(11*time.Second))).To(BeFalse())
		Expect(a.Settle("x", deadline, at(13*time.Second))).To(BeFalse(), "its entry may have expired")
	})

	It("keeps the entry of an attempt that still runs after its deadline", func() {
		Expect(a.Admit("x", deadline, start)).To(Succeed())
		Expect(a.Begin("x")).To(BeTrue())
		Expect(a.Settle("x", time.Time{}, at(time.Minute))).To(BeFalse())
		a.End("x")
		a.Expire(at(2 * time.Minute))
		Expect(a.Len()).To(BeZero())
	})

	It("refuses new attempts rather than evict an unexpired fence", func() {
		for i := range 4 {
			Expect(a.Settle(mesh.AttemptID(fmt.Sprint(i)), deadline, start)).To(BeTrue())
		}
		Expect(result.Of(a.Admit("x", deadline, start))).To(Equal(result.RingFull))
		Expect(a.Settle("x", deadline, start)).To(BeFalse(), "not-run was reported without a fence")
		Expect(result.Of(a.Admit("0", deadline, start))).To(Equal(result.Fenced))
		Expect(a.Admit("x", at(time.Minute), at(13*time.Second))).To(Succeed())
		Expect(a.Len()).To(Equal(1))
	})
})

var _ = Describe("CallerLimits", func() {
	var l *CallerLimits
	BeforeEach(func() { l = NewCallerLimits(CallerParams{Capacity: 40, DefaultLimit: 12}) })
	take := func(id mesh.CallerID, declared, n int) (taken int) {
		for range n {
			if l.Acquire(id, declared) == nil {
				taken++
			}
		}
		return taken
	}

	It("limits a caller to the limit of its record, or to the default", func() {
		Expect(take("billing", 5, 20)).To(Equal(5))
		Expect(take("shop", 0, 20)).To(Equal(12))
		l.Release("billing")
		Expect(take("billing", 5, 20)).To(Equal(1))
	})

	It("caps all callers without a record together, so that many names gain nothing", func() {
		total := 0
		for i := range 30 {
			total += take(mesh.CallerID(fmt.Sprint("bot", i)), 0, 4)
		}
		Expect(total).To(Equal(20))
		Expect(take("billing", 10, 10)).To(Equal(10))
	})

	It("refuses the flooding caller first", func() {
		Expect(take("flood", 1000, 1000)).To(BeNumerically("<=", 40))
		Expect(take("billing", 10, 10)).To(BeNumerically(">", 0), "a flood took the whole capacity")
	})

	It("keeps no entry for a caller without calls in flight", func() {
		take("a", 0, 3)
		for range 5 {
			l.Release("a")
		}
		caller, all := l.InFlight("a")
		Expect([]int{caller, all, len(l.callers), l.undeclared}).To(Equal([]int{0, 0, 0, 0}))
	})
})
