package once

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"teaselring/result"
)

func TestOnce(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "once")
}

// If a row is misinterpreted, either a call runs twice, or a call that never ran is
// refused permanently.
var _ = DescribeTable("an existing row",
	func(row Row, code *result.Code) { Expect(result.Of(CheckRow(row, "mine"))).To(Equal(code)) },
	Entry("own claim whose response was lost", Row{Attempt: "mine", State: Claimed}, result.OK),
	Entry("claim of another attempt", Row{Attempt: "other", State: Claimed}, result.KeyMayHaveRun),
	Entry("finished by another attempt", Row{Attempt: "other", State: Ended, Status: 201}, result.AlreadyRan),
	Entry("finished by the same attempt", Row{Attempt: "mine", State: Ended}, result.AlreadyRan),
	Entry("in an unknown state", Row{Attempt: "other"}, result.KeyMayHaveRun),
)

var _ = Describe("a batch", func() {
	start := time.Unix(1000, 0)

	It("is due one window after its first item, so that a lone claim does not wait for others", func() {
		b := NewBatch[int](10, 5*time.Millisecond)
		_, ok := b.Due()
		Expect(ok).To(BeFalse())
		b.Add(1, start)
		b.Add(2, start.Add(3*time.Millisecond))
		due, ok := b.Due()
		Expect(ok).To(BeTrue())
		Expect(due).To(Equal(start.Add(5 * time.Millisecond)))
	})

	It("is full at its maximum size and empty after Take", func() {
		b := NewBatch[int](2, time.Second)
		Expect(b.Add(1, start)).To(BeFalse())
		Expect(b.Add(2, start)).To(BeTrue())
		Expect(b.Take()).To(Equal([]int{1, 2}))
		_, ok := b.Due()
		Expect(ok).To(BeFalse())
	})
})
