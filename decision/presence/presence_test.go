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

// A restarted node took a late heartbeat of a server that had left for the first one of a
// new server, and announced the server as ready (review/3).
var _ = DescribeTable("an announcement to a restarted node, before or after it reads its row,",
	func(row State, a Announcement, want State) {
		restored, _ := Next(State{}.Restore(row), a)
		Expect(restored).To(Equal(want), "after the row")
		if !a.LeaveNotice {
			return // others are held until the row is read
		}
		early, _ := Next(State{}, a)
		Expect(early.Restore(row).Leaving).To(Equal(want.Leaving), "before the row")
	},
	Entry("is a late one of the server that left",
		State{Instance: "i", StartedAt: 100, Leaving: true}, Announcement{Instance: "i", StartedAt: 100, Sequence: 7},
		State{Instance: "i", StartedAt: 100, Sequence: 7, Leaving: true}),
	Entry("is a late one of an earlier server at the address",
		State{Instance: "i", StartedAt: 100}, Announcement{Instance: "h", StartedAt: 90, Sequence: 70},
		State{Instance: "i", StartedAt: 100, Sequence: unknownSequence}),
	Entry("is a late one of an earlier start with the same id",
		State{Instance: "i", StartedAt: 100, Leaving: true}, Announcement{Instance: "i", StartedAt: 90, Sequence: 70},
		State{Instance: "i", StartedAt: 100, Sequence: unknownSequence, Leaving: true}),
	Entry("is of the server that was ready, with the lowest sequence",
		State{Instance: "i", StartedAt: 100}, Announcement{Instance: "i", StartedAt: 100},
		State{Instance: "i", StartedAt: 100}),
	Entry("is of a server that started since with the same id",
		State{Instance: "i", StartedAt: 100, Leaving: true}, Announcement{Instance: "i", StartedAt: 200, Sequence: 1},
		State{Instance: "i", StartedAt: 200, Sequence: 1}),
	Entry("is the first one that the machine ever got", State{}, Announcement{Instance: "i", StartedAt: 100, Sequence: 3},
		State{Instance: "i", StartedAt: 100, Sequence: 3}),
	Entry("is a leave notice of the server in the row",
		State{Instance: "i", StartedAt: 100}, Announcement{Instance: "i", StartedAt: 100, LeaveNotice: true},
		State{Instance: "i", StartedAt: 100, Sequence: unknownSequence, Leaving: true}),
	Entry("is a leave notice without a start time",
		State{Instance: "i", StartedAt: 100}, Announcement{Instance: "i", LeaveNotice: true},
		State{Instance: "i", StartedAt: 100, Sequence: unknownSequence, Leaving: true}),
	Entry("is a late leave notice of an earlier server",
		State{Instance: "i", StartedAt: 100}, Announcement{Instance: "h", StartedAt: 90, LeaveNotice: true},
		State{Instance: "i", StartedAt: 100, Sequence: unknownSequence}),
)

// The rows of a node that lags behind the store may show an earlier state.
var _ = DescribeTable("a row that is older than the state changes nothing",
	func(s State) { Expect(s.Restore(State{Instance: "i", StartedAt: 100})).To(Equal(s)) },
	Entry("of the same server, which leaves", State{Instance: "i", StartedAt: 100, Sequence: 4, Leaving: true}),
	Entry("of an earlier server", State{Instance: "j", StartedAt: 200, Sequence: 4}),
)

// An absurd start time of another writer would make all real announcements outdated.
var _ = DescribeTable("a start time is plausible",
	func(startedAt int64, want bool) {
		Expect(PlausibleStart(startedAt)).To(Equal(want))
	},
	Entry("unknown", int64(0), true),
	Entry("of these years", int64(1_790_000_000_000), true),
	Entry("in the next century", int64(maxStart), false),
	Entry("absurd", int64(1<<62), false),
	Entry("negative", int64(-1), false),
)
