package limit

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Calls with a soft deadline were queued until their responses were late, and short calls
// made by servers were refused although their callers could wait.
var _ = DescribeTable("the latest start of a call",
	func(q Request, hold, want time.Duration) {
		s := NewSlots(DefaultParams())
		q.Deadline, q.HasPriority = at(2*time.Second), true
		s.holdTimes.usual[q.rank()][classIndex(q.Class)] = float64(hold)
		Expect(s.latestStart(&q, start)).To(Equal(at(want)))
	},
	Entry("is the queue wait without StartBy", Request{}, time.Duration(0), 250*time.Millisecond),
	Entry("leaves time for the execution", Request{StartBy: at(600 * time.Millisecond), SoftDeadline: at(time.Second)}, 400*time.Millisecond, 400*time.Millisecond),
	Entry("is not after StartBy", Request{StartBy: at(300 * time.Millisecond), SoftDeadline: at(time.Second)}, 100*time.Millisecond, 300*time.Millisecond),
	Entry("allows half of the queue wait on a slow server", Request{StartBy: at(600 * time.Millisecond), SoftDeadline: at(time.Second)}, time.Second, 125*time.Millisecond),
	Entry("may be after the soft deadline if StartBy is", Request{StartBy: at(250 * time.Millisecond), SoftDeadline: at(150 * time.Millisecond)}, 40*time.Millisecond, 250*time.Millisecond),
	Entry("is never after the deadline", Request{StartBy: at(3 * time.Second), SoftDeadline: at(3 * time.Second)}, time.Duration(0), 2*time.Second),
)
