package quota

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/mesh"
)

// Guards against an account that is refused altogether because its limit was lowered, and
// against a lower limit that applies later than one window.
var _ = Describe("a limit that is lowered", func() {
	start := time.Unix(1000, 0)
	limits := func(rate float64) map[mesh.AccountName]Limit {
		return map[mesh.AccountName]Limit{"a": {Rate: rate, Burst: rate}}
	}
	var w *Lowering
	BeforeEach(func() {
		w = NewLowering(testSettings)
		Expect(w.InEffect(start, limits(100))).To(Equal(limits(100)), "a node that starts")
	})

	It("applies within a window, however often the configuration changes", func() {
		for at := time.Duration(0); at < 4*time.Second; at += 200 * time.Millisecond {
			Expect(w.InEffect(start.Add(at), limits(40))).To(Equal(limits(100)))
			Expect(w.Pending()).To(BeTrue())
		}
		Expect(w.InEffect(start.Add(4*time.Second), limits(40))).To(Equal(limits(40)))
		Expect(w.Pending()).To(BeFalse())
	})

	It("applies at once when it is raised, also above the earlier one", func() {
		w.InEffect(start, limits(40))
		Expect(w.InEffect(start.Add(time.Second), limits(200))).To(Equal(limits(200)))
	})

	It("is dropped with its account", func() {
		w.InEffect(start, limits(40))
		Expect(w.InEffect(start.Add(time.Second), nil)).To(BeEmpty())
		Expect(w.InEffect(start.Add(2*time.Second), limits(40))).To(Equal(limits(40)))
	})
})
