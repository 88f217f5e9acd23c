package limit

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Calls with an aim were queued until their answers were late, and short calls of
// servers were refused although their callers could wait.
var _ = DescribeTable("the latest start of a call",
	func(q Request, hold, want time.Duration) {
		s := NewSlots(DefaultParams())
		q.Deadline, q.Ranked = at(2*time.Second), true
		s.holdTime[q.rank()] = float64(hold)
		Expect(s.until(&q, start)).To(Equal(at(want)))
	},
	Entry("without one is the queue's wait", Request{}, time.Duration(0), 250*time.Millisecond),
	Entry("leaves time for its work", Request{StartBy: at(600 * time.Millisecond), Aim: at(time.Second)}, 400*time.Millisecond, 400*time.Millisecond),
	Entry("is at most what its entry node set", Request{StartBy: at(300 * time.Millisecond), Aim: at(time.Second)}, 100*time.Millisecond, 300*time.Millisecond),
	Entry("leaves some wait to a slow server", Request{StartBy: at(600 * time.Millisecond), Aim: at(time.Second)}, time.Second, 125*time.Millisecond),
	Entry("may be after the aim of a short call", Request{StartBy: at(250 * time.Millisecond), Aim: at(150 * time.Millisecond)}, 40*time.Millisecond, 250*time.Millisecond),
	Entry("is never after the deadline", Request{StartBy: at(3 * time.Second), Aim: at(3 * time.Second)}, time.Duration(0), 2*time.Second),
)
