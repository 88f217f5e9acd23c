package presence

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestPresence(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "presence")
}

var current = State{Instance: "i", StartedAt: 100, Sequence: 5}

// A delayed announcement must not restore a server that has left, nor replace one
// that has started since.
var _ = DescribeTable("an announcement",
	func(s State, a Announcement, want State) {
		got, counts := Next(s, a)
		Expect(got).To(Equal(want))
		Expect(counts).To(Equal(got != s))
	},
	Entry("is the first", State{}, Announcement{Instance: "i", StartedAt: 100, Sequence: 1}, State{Instance: "i", StartedAt: 100, Sequence: 1}),
	Entry("is the next", current, Announcement{Instance: "i", StartedAt: 100, Sequence: 6}, State{Instance: "i", StartedAt: 100, Sequence: 6}),
	Entry("is out of order", current, Announcement{Instance: "i", StartedAt: 100, Sequence: 4, Leaving: true}, current),
	Entry("is a duplicate", current, Announcement{Instance: "i", StartedAt: 100, Sequence: 5}, current),
	Entry("is from an earlier start", current, Announcement{Instance: "h", StartedAt: 90, Sequence: 50}, current),
	Entry("is from a restart with the same id, which resets the sequence", current, Announcement{Instance: "i", StartedAt: 200, Sequence: 1}, State{Instance: "i", StartedAt: 200, Sequence: 1}),
	Entry("reports draining", current, Announcement{Instance: "i", StartedAt: 100, Sequence: 6, Leaving: true}, State{Instance: "i", StartedAt: 100, Sequence: 6, Leaving: true}),
	Entry("reports ready after draining", State{Instance: "i", StartedAt: 100, Sequence: 6, Leaving: true}, Announcement{Instance: "i", StartedAt: 100, Sequence: 7}, State{Instance: "i", StartedAt: 100, Sequence: 7, Leaving: true}),
	Entry("is a leave notice without a start time", current, Announcement{Instance: "i", LeaveNotice: true}, State{Instance: "i", StartedAt: 100, Sequence: 5, Leaving: true}),
	Entry("is a leave notice from an earlier start", current, Announcement{Instance: "i", StartedAt: 90, LeaveNotice: true}, current),
	Entry("is a leave notice of another server", current, Announcement{Instance: "h", LeaveNotice: true}, current),
	Entry("lacks the start time although it is known", current, Announcement{Instance: "i", Sequence: 9}, current),
)
